//! Identifiers, sizes, rates and outcomes that all bridgevane packages share.
//!
//! Every identifier, size and rate is a newtype with `Display` and `FromStr`, so that the compiler
//! rejects a value of one kind where another kind is expected.

mod boot_clock;
mod crash_suspect;
mod ids;
mod outcome;
mod request_fingerprint;
mod short_hash;
mod sizes;
mod time;

pub use boot_clock::boot_time;
pub use crash_suspect::{CrashSuspect, InvalidSuspect, PartFingerprint};
pub use ids::{
    AttemptNumber, ClassName, ConfigVersion, CustomerId, DataCentreId, EndpointId, FenceToken,
    IdempotencyKey, Incarnation, KindName, ModelName, OperationId, OperatorName, RegionId,
    RequestId, ServiceName, SoftwareVersion, VmId,
};
pub use outcome::{Outcome, RefusalCode};
pub use request_fingerprint::{InvalidFingerprint, RequestFingerprint};
pub use short_hash::short_hash;
pub use sizes::{
    Bytes, BytesPerSecond, CallsPerSecond, RequestsPerSecond, Share, Slots, Tier, Tokens,
    TokensPerSecond,
};
pub use time::{DurationMs, TimeMs, WallTimeMs};

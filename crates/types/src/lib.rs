//! Identifiers, sizes, rates and outcomes that every bridgevane package shares.
//!
//! Every identifier, size and rate is a newtype with `Display` and `FromStr`,
//! so that a value of one meaning can't be passed where another is expected.

mod boot_clock;
mod ids;
mod outcome;
mod request_fingerprint;
mod sizes;
mod time;

pub use boot_clock::boot_time;
pub use ids::{
    AttemptNumber, ClassName, ConfigVersion, CustomerId, DataCentreId, EndpointId, FenceToken,
    IdempotencyKey, Incarnation, KindName, ModelName, OperationId, OperatorName, RegionId,
    RequestId, ServiceName, VmId,
};
pub use outcome::{Outcome, RefusalCode};
pub use request_fingerprint::{NoFingerprint, RequestFingerprint};
pub use sizes::{
    Bytes, BytesPerSecond, CallsPerSecond, RequestsPerSecond, Share, Slots, Tier, Tokens,
    TokensPerSecond,
};
pub use time::{DurationMs, TimeMs, WallTimeMs};

//! What the platform gives: key-value service, VM list and weight store.

use bridgevane_types::{DataCentreId, DurationMs, ModelName, VmId};
use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// The revision of a key: it rises with every write, over all keys.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct KvRevision(pub u64);

/// A lease of the key-value service.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvValue {
    /// The value as text.
    pub text: String,
    /// The revision that wrote it.
    pub revision: KvRevision,
}

/// A compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCas {
    /// The key.
    pub key: String,
    /// The revision that the key must have; none: the key must be absent.
    pub expected: Option<KvRevision>,
    /// The new value; none: remove the key.
    pub text: Option<String>,
    /// The lease whose end removes the key.
    pub lease: Option<LeaseId>,
}

/// A granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvLease {
    /// The lease.
    pub id: LeaseId,
    /// How long it lasts from the moment the call was *sent*.
    pub ttl_ms: DurationMs,
}

/// Why a call of the platform failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KvError {
    /// The key isn't at the expected revision; the write did not take effect.
    #[display("the key isn't at the expected revision")]
    Conflict,
    /// The lease is gone.
    #[display("the lease is gone")]
    LeaseGone,
    /// Refused by rate; the call did not take effect.
    #[display("refused by rate, retry after {retry_after_ms} ms")]
    RateLimited {
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// The service was not reached; the call did not take effect.
    #[display("the platform's service was not reached")]
    NotReached,
    /// The answer was lost: a write may have taken effect.
    #[display("the answer was lost, the call may have taken effect")]
    Unknown,
    /// The service answered something that can't be read.
    #[display("the platform's answer can't be read")]
    Malformed,
}

impl KvError {
    /// Whether a write that met this error may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown | Self::Malformed)
    }
}

/// The key-value service.
pub trait KeyValue: Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<KvValue>, KvError>> + Send;

    /// Writes a key if it is at the expected revision.
    fn compare_and_swap(
        &self,
        cas: KvCas,
    ) -> impl Future<Output = Result<KvRevision, KvError>> + Send;

    /// Waits at most `wait_ms` for a value newer than `after`; none: nothing newer.
    fn watch(
        &self,
        key: &str,
        after: KvRevision,
        wait_ms: DurationMs,
    ) -> impl Future<Output = Result<Option<KvValue>, KvError>> + Send;

    /// Grants a lease.
    fn grant_lease(
        &self,
        ttl_ms: DurationMs,
    ) -> impl Future<Output = Result<KvLease, KvError>> + Send;

    /// Renews a lease for its whole time.
    fn renew_lease(&self, id: LeaseId) -> impl Future<Output = Result<KvLease, KvError>> + Send;
}

/// A VM as the lagging list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its daemon listens for other daemons.
    pub peer_address: SocketAddr,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// The lagging list of live and leaving VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, KvError>> + Send;
}

/// The rate-limited weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Asks for a ticket under which an engine may load a model's weights.
    fn ticket(
        &self,
        model: &ModelName,
        model_version: u64,
    ) -> impl Future<Output = Result<String, KvError>> + Send;
}

//! The interfaces of the platform: key-value service, VM list and weight store.

use bridgevane_types::{DataCentreId, DurationMs, ModelName, VmId};
use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// The revision of a key. Every write to any key increments the counter of revisions.
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

/// The identifier of a lease of the key-value service.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvValue {
    /// The value as text.
    pub text: String,
    /// The revision of the write that stored the value.
    pub revision: KvRevision,
}

/// A compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCas {
    /// The key to write.
    pub key: String,
    /// The revision that the key must have; `None` if the key must be absent.
    pub expected: Option<KvRevision>,
    /// The new value; `None` removes the key.
    pub text: Option<String>,
    /// The lease whose end removes the key, if any.
    pub lease: Option<LeaseId>,
}

/// A granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvLease {
    /// The lease's identifier.
    pub id: LeaseId,
    /// The lease's duration, counted from when the call was *sent*.
    pub ttl_ms: DurationMs,
}

/// Why a call of the platform failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KvError {
    /// The key isn't at the expected revision; the write did not take effect.
    #[display("the key isn't at the expected revision")]
    Conflict,
    /// The lease has ended.
    #[display("the lease has ended")]
    LeaseGone,
    /// The call was refused by a rate limit and did not take effect.
    #[display("refused by the platform's rate limit, retry after {retry_after_ms} ms")]
    RateLimited {
        /// How long to wait before a retry.
        retry_after_ms: DurationMs,
    },
    /// The service was not reached; the call did not take effect.
    #[display("the platform's service was not reached")]
    NotReached,
    /// The answer was lost: a write may have taken effect.
    #[display("the answer was lost, the call may have taken effect")]
    Unknown,
    /// The answer can't be decoded; a write may have taken effect.
    #[display("the platform's answer can't be read")]
    Malformed,
}

impl KvError {
    /// Returns whether a write that failed with this error may have taken effect.
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

    /// Waits at most `wait_ms` for a value newer than `after`; returns `None` if there is none.
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

    /// Renews a lease for its full duration.
    fn renew_lease(&self, id: LeaseId) -> impl Future<Output = Result<KvLease, KvError>> + Send;
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// The address at which the VM's daemon listens for other daemons.
    pub peer_address: SocketAddr,
    /// Whether the platform is going to remove the VM.
    pub leaving: bool,
}

/// The list of live and leaving VMs, which lags behind the actual state.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, KvError>> + Send;
}

/// The rate-limited weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Requests a ticket with which an engine may load a model's weights.
    fn ticket(
        &self,
        model: &ModelName,
        model_version: u64,
    ) -> impl Future<Output = Result<String, KvError>> + Send;
}

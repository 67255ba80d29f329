//! The registry of the keys whose home is this daemon, and the claims that wait for other homes.
//!
//! Owns the registry and the pending claims, each behind a lock. All of it is lost with the
//! process. [`super::claims`] sends and decides claims.

use bridgevane_coordination::configs::KeyRegistryConfig;
use bridgevane_coordination::{KeyMember, KeyRegistry, Verdict};
use bridgevane_protocol::KeyVerdict;
use bridgevane_types::{CustomerId, IdempotencyKey, RequestId, ServiceName, TimeMs, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{OnceCell, oneshot};

/// A call with an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct KeyedCall {
    /// The called service.
    pub service: ServiceName,
    /// The calling customer.
    pub customer: CustomerId,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// The id of the request that carries the call.
    pub request: RequestId,
    /// A digest of method, path and body.
    pub call_digest: u64,
}

impl KeyedCall {
    /// Returns the name by which the key's home is found. It contains the customer, so that
    /// customers can't use each other's keys.
    pub(super) fn home_key(&self) -> String {
        format!("key/{}/{}/{}", self.service, self.customer, self.key)
    }
}

/// A call that may run. Its end must be reported to the home that granted the claim.
#[derive(Clone, Debug)]
pub(crate) struct GrantedClaim {
    pub(super) call: KeyedCall,
    /// The address of the home; `None`: this daemon.
    pub(super) home: Option<SocketAddr>,
}

/// The answer of a key's home to a claim.
#[derive(Clone, Debug)]
pub(crate) enum ClaimAnswer {
    /// The call may run, and its end must be reported.
    Granted(GrantedClaim),
    /// The call must not run.
    Denied(Verdict),
}

/// The registry of the keys whose home is this daemon, and claims that wait for other homes.
pub struct KeyHomes {
    registry: Mutex<KeyRegistry>,
    pending_claims: Mutex<HashMap<u64, oneshot::Sender<KeyVerdict>>>,
    /// The reported ends of calls that homes haven't acknowledged.
    unacknowledged: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    /// The id of the next message that waits for an answer: a claim or a report of an end.
    pub(super) next_claim: AtomicU64,
    /// Whether this data centre has had daemons before, once the platform has answered that.
    pub(super) had_daemons: OnceCell<bool>,
}

impl KeyHomes {
    /// Creates an empty registry.
    pub fn new(own: KeyMember, now: TimeMs) -> Self {
        let config = KeyRegistryConfig::default();
        Self {
            registry: Mutex::new(KeyRegistry::new(config, own, now)),
            pending_claims: Mutex::default(),
            unacknowledged: Mutex::default(),
            next_claim: AtomicU64::new(0),
            had_daemons: OnceCell::new(),
        }
    }

    pub(super) fn registry(&self) -> MutexGuard<'_, KeyRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn pending_claims(
        &self,
    ) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<KeyVerdict>>> {
        self.pending_claims
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn unacknowledged(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<()>>> {
        self.unacknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a home's acknowledgement of the end of a call.
    pub(crate) fn on_end_acknowledged(&self, claim: u64) {
        if let Some(waiting) = self.unacknowledged().remove(&claim) {
            // The task that reported the end may have timed out.
            let _ = waiting.send(());
        }
    }

    /// Records that a daemon was lost.
    pub fn record_lost_member(&self, now: TimeMs, vm: &VmId) {
        self.registry().record_lost_member(now, vm);
    }

    /// Applies the platform's list of VMs, reduced to this data centre.
    pub fn apply_vm_list(&self, now: TimeMs, listed: &[VmId]) {
        self.registry().apply_vm_list(now, listed);
    }

    /// Handles a home's answer to a claim.
    pub(crate) fn on_verdict(&self, verdict: &KeyVerdict) {
        if let Some(waiting) = self.pending_claims().remove(&verdict.claim) {
            // The task that sent the claim may have timed out.
            let _ = waiting.send(verdict.clone());
        }
    }
}

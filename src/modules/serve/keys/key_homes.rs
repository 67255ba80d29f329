//! Keys whose home this daemon is, and claims that wait for other homes.
//!
//! Owns the registry and the waiting claims, each behind a lock; lost with the process. Claims are
//! made and decided in [`super::claims`].

use bridgevane_coordination::configs::KeyRegistryConfig;
use bridgevane_coordination::{KeyMember, KeyRegistry, Verdict};
use bridgevane_protocol::KeyVerdict;
use bridgevane_types::{CustomerId, IdempotencyKey, RequestId, ServiceName, TimeMs, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{OnceCell, oneshot};

/// A keyed call, as its daemon knows it.
#[derive(Clone, Debug)]
pub(crate) struct KeyedCall {
    /// Service.
    pub service: ServiceName,
    /// Customer.
    pub customer: CustomerId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request.
    pub request: RequestId,
    /// Digest of method, path and body.
    pub call_digest: u64,
}

impl KeyedCall {
    /// The key's name among all that have homes; customers can't reach each other's.
    pub(super) fn home_key(&self) -> String {
        format!("key/{}/{}/{}", self.service, self.customer, self.key)
    }
}

/// A call that was let run: its end must be reported to the home that let it.
#[derive(Clone, Debug)]
pub(crate) struct LetRun {
    pub(super) call: KeyedCall,
    /// The home; none: this daemon.
    pub(super) home: Option<SocketAddr>,
}

/// What the home of a key said.
#[derive(Clone, Debug)]
pub(crate) enum ClaimAnswer {
    /// Run it, and tell how it ended.
    Run(LetRun),
    /// Don't.
    Not(Verdict),
}

/// Keys whose home this daemon is, and claims that wait for other homes.
pub struct KeyHomes {
    registry: Mutex<KeyRegistry>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<KeyVerdict>>>,
    /// Ends of calls that homes haven't confirmed.
    unheard: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    pub(super) next_claim: AtomicU64,
    /// Whether this data centre has had daemons before, once that was asked.
    pub(super) had_daemons: OnceCell<bool>,
}

impl KeyHomes {
    /// No key yet.
    pub fn new(own: KeyMember, now: TimeMs) -> Self {
        let config = KeyRegistryConfig::default();
        Self {
            registry: Mutex::new(KeyRegistry::new(config, own, now)),
            waiting: Mutex::default(),
            unheard: Mutex::default(),
            next_claim: AtomicU64::new(0),
            had_daemons: OnceCell::new(),
        }
    }

    pub(super) fn registry(&self) -> MutexGuard<'_, KeyRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<KeyVerdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn unheard(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<()>>> {
        self.unheard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A home has heard how a call ended.
    pub(crate) fn on_end_heard(&self, claim: u64) {
        if let Some(unheard) = self.unheard().remove(&claim) {
            // Who told it may have given up.
            let _ = unheard.send(());
        }
    }

    /// A daemon was lost.
    pub fn member_lost(&self, now: TimeMs, vm: &VmId) {
        self.registry().member_lost(now, vm);
    }

    /// The platform's list came.
    pub fn listed(&self, now: TimeMs, listed: &[VmId]) {
        self.registry().listed(now, listed);
    }

    /// A home has answered.
    pub(crate) fn on_verdict(&self, verdict: &KeyVerdict) {
        if let Some(waiting) = self.waiting().remove(&verdict.claim) {
            // Who asked may have given up.
            let _ = waiting.send(verdict.clone());
        }
    }
}

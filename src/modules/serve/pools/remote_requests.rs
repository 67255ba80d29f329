//! The requests of this daemon that other daemons decide on, and the homes that are bypassed for a
//! time.
//!
//! Owns both behind locks; [`super::homes`] uses them.

use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder};
use bridgevane_types::{AttemptNumber, DurationMs, EndpointId, RequestId, TimeMs, Tokens, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// The time for which a home is bypassed, in milliseconds. A process that hangs for longer is
/// confirmed dead by then.
const BYPASS_MS: u64 = 2_000;

/// A request of this daemon that another daemon decides on.
pub(super) struct RemoteRequest {
    pub(super) offer: NamedOffer,
    pub(super) orders: UnboundedSender<PoolOrder>,
    pub(super) home: VmId,
    pub(super) address: SocketAddr,
    pub(super) sent_at: TimeMs,
    pub(super) is_accepted: bool,
    pub(super) running: Option<(EndpointId, AttemptNumber)>,
    pub(super) delivered: Tokens,
}

/// The requests that other daemons decide on, and the bypassed homes.
#[derive(Default)]
pub struct RemoteRequests {
    remote: Mutex<HashMap<RequestId, RemoteRequest>>,
    bypassed_until: Mutex<HashMap<VmId, TimeMs>>,
}

impl RemoteRequests {
    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, RemoteRequest>> {
        self.remote.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_bypassed(&self, now: TimeMs, vm: &VmId) -> bool {
        let bypassed_until = self
            .bypassed_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        bypassed_until.get(vm).is_some_and(|until| now < *until)
    }

    pub(super) fn start_bypass(&self, now: TimeMs, vm: &VmId) {
        let mut bypassed_until = self
            .bypassed_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        bypassed_until.retain(|_, until| now < *until);
        bypassed_until.insert(vm.clone(), now + DurationMs(BYPASS_MS));
    }
}

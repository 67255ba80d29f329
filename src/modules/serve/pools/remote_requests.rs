//! Requests of this daemon that other daemons decide on, and homes that are passed over for a
//! while.
//!
//! Owns both behind locks; what is done with them is [`super::homes`]'.

use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder};
use bridgevane_types::{AttemptNumber, DurationMs, EndpointId, RequestId, TimeMs, Tokens, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// How long a home that was passed over is left alone, in milliseconds. Not measured, chosen
/// because a process that hangs for longer is confirmed dead by then.
const AVOID_MS: u64 = 2_000;

/// A request of this daemon that another one decides on.
pub(super) struct RemoteRequest {
    pub(super) offer: NamedOffer,
    pub(super) orders: UnboundedSender<PoolOrder>,
    pub(super) home: VmId,
    pub(super) address: SocketAddr,
    pub(super) sent_at: TimeMs,
    pub(super) is_taken: bool,
    pub(super) running: Option<(EndpointId, AttemptNumber)>,
    pub(super) delivered: Tokens,
}

/// Requests that other daemons decide on.
#[derive(Default)]
pub struct RemoteRequests {
    remote: Mutex<HashMap<RequestId, RemoteRequest>>,
    avoided: Mutex<HashMap<VmId, TimeMs>>,
}

impl RemoteRequests {
    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, RemoteRequest>> {
        self.remote.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_avoided(&self, now: TimeMs, vm: &VmId) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.get(vm).is_some_and(|until| now < *until)
    }

    pub(super) fn avoid(&self, now: TimeMs, vm: &VmId) {
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        avoided.insert(vm.clone(), now + DurationMs(AVOID_MS));
    }
}

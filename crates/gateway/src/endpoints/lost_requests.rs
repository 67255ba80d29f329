//! Requests that were under way at one endpoint when a connection to it broke, while it is checked
//! whether the endpoint has ended ([`crate::requests::crash_check`]).

use bridgevane_types::RequestFingerprint;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// Requests that are kept at most during one check. Chosen because it is four times what an engine
/// runs at once.
const MAX_LOST: usize = 256;

#[derive(Debug, Default)]
struct State {
    lost: Vec<RequestFingerprint>,
    is_checking: bool,
}

/// The requests, behind a lock.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    state: Mutex<State>,
    /// Whether the verdict on some of them isn't known yet.
    is_open: watch::Sender<bool>,
}

impl LostRequests {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Adds a request; true where a check must begin.
    pub(crate) fn add(&self, request: RequestFingerprint) -> bool {
        let mut state = self.state();
        if state.lost.len() < MAX_LOST {
            state.lost.push(request);
        }
        self.is_open.send_replace(true);
        !std::mem::replace(&mut state.is_checking, true)
    }

    /// The check has its result: gives the requests that it is about. Who comes later begins another.
    pub(crate) fn end_check(&self) -> Vec<RequestFingerprint> {
        let mut state = self.state();
        state.is_checking = false;
        std::mem::take(&mut state.lost)
    }

    /// The result has been taken in.
    pub(crate) fn release(&self) {
        let state = self.state();
        if !state.is_checking {
            self.is_open.send_replace(false);
        }
    }

    /// Waits until there is a verdict on all of them.
    pub(crate) async fn checked(&self) {
        let mut is_open = self.is_open.subscribe();
        // The sender is this owner's, and lives as long.
        let _ = is_open.wait_for(|is_open| !is_open).await;
    }
}

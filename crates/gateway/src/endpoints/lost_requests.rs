//! Requests that were in flight at one endpoint when a connection to it broke, kept while it is
//! checked whether the endpoint has crashed ([`crate::requests::crash_check`]).

use bridgevane_types::CrashSuspect;
use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// The maximum number of requests and parts of their prompts that are kept during one check: four times
/// what an engine runs at once, with three parts each.
const MAX_LOST: usize = 1_024;

#[derive(Debug, Default)]
struct State {
    lost: HashSet<CrashSuspect>,
    is_checking: bool,
}

/// The requests that were in flight when a connection broke, behind a lock.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    state: Mutex<State>,
    /// Whether the result for some of them isn't known yet.
    is_pending: watch::Sender<bool>,
}

impl LostRequests {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Adds a request and the parts of its prompt; returns true if a check must be started.
    pub(crate) fn add(&self, suspects: impl IntoIterator<Item = CrashSuspect>) -> bool {
        let mut state = self.state();
        for suspect in suspects {
            if state.lost.len() < MAX_LOST {
                state.lost.insert(suspect);
            }
        }
        self.is_pending.send_replace(true);
        !std::mem::replace(&mut state.is_checking, true)
    }

    /// Ends the check and returns what it is about. Requests added later start another
    /// check.
    pub(crate) fn end_check(&self) -> Vec<CrashSuspect> {
        let mut state = self.state();
        state.is_checking = false;
        std::mem::take(&mut state.lost).into_iter().collect()
    }

    /// Records that the result was processed, and wakes the requests that wait for it.
    pub(crate) fn mark_checked(&self) {
        let state = self.state();
        if !state.is_checking {
            self.is_pending.send_replace(false);
        }
    }

    /// Waits until the result for all of them is known.
    pub(crate) async fn wait_until_checked(&self) {
        let mut is_pending = self.is_pending.subscribe();
        // The sender is a field of `self`, so it lives as long as this call.
        let _ = is_pending.wait_for(|is_pending| !is_pending).await;
    }
}

//! The health of one endpoint: the outcomes of this daemon's requests there, behind a lock.
//!
//! The rule is [`crate::decisions::endpoint::ejection`].

use crate::decisions::endpoint::ejection::{HealthSnapshot, Outcomes, Trust};
use bridgevane_types::TimeMs;
use std::sync::{Mutex, MutexGuard};

/// The outcomes of requests at one endpoint.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    outcomes: Mutex<Outcomes>,
}

impl EndpointHealth {
    fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().expect("no panic under this lock")
    }

    /// Records that the endpoint could not be reached or was silent; returns true if that ejects
    /// it.
    pub fn on_lost(&self, now: TimeMs) -> bool {
        self.outcomes().on_lost(now)
    }

    /// Records a failed request.
    pub fn on_failed(&self, now: TimeMs) {
        self.outcomes().on_failed(now);
    }

    /// Records a successful answer.
    pub fn on_served(&self, now: TimeMs) {
        self.outcomes().on_served(now);
    }

    /// Ends an ejection that showed nothing about the endpoint.
    pub(crate) fn end_ejection(&self) {
        self.outcomes().end_ejection();
    }

    /// Returns the health at `now`.
    pub fn snapshot(&self, now: TimeMs) -> HealthSnapshot {
        self.outcomes().snapshot(now)
    }

    /// Returns how far the endpoint is trusted at `now`.
    pub fn trust(&self, now: TimeMs) -> Trust {
        self.snapshot(now).trust
    }
}

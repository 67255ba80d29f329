//! Whether an endpoint gets work, by what came of the work it got.

use bridgevane_types::TimeMs;
use std::sync::Mutex;

/// The first ejection, in milliseconds; it doubles with each in a row.
const FIRST_EJECTION_MS: u64 = 500;
/// The longest ejection.
const MAX_EJECTION_MS: u64 = 4_000;
/// Weight of a new outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// The share of failures from which an endpoint is passed over.
const FAILING_SHARE: f64 = 0.25;

/// After so long without an outcome, half of the share of failures is forgotten: an endpoint
/// that gets no work has no success that could speak for it.
const FAILING_HALF_LIFE_MS: f64 = 6_000.0;

#[derive(Debug, Default)]
struct State {
    ejected_until: TimeMs,
    ejections: u32,
    failing: f64,
    failing_at: TimeMs,
}

impl State {
    /// The share of failures as it counts now.
    fn failing(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.failing_at).0 as f64;
        self.failing * 0.5_f64.powf(age_ms / FAILING_HALF_LIFE_MS)
    }

    fn note(&mut self, now: TimeMs, failure: f64) {
        let failing = self.failing(now);
        self.failing = failing + OUTCOME_WEIGHT * (failure - failing);
        self.failing_at = now;
    }
}

/// The health of one endpoint.
#[derive(Debug, Default)]
pub struct Health {
    state: Mutex<State>,
}

/// How much an endpoint is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// In use.
    Sound,
    /// Many of its requests fail.
    Failing,
    /// It gave nothing of late.
    Ejected,
}

impl Health {
    /// It could not be reached, or fell silent: no work for a while. True when that is new.
    pub fn lost(&self, now: TimeMs) -> bool {
        let mut state = self.state.lock().expect("no panic under this lock");
        if now < state.ejected_until {
            return false;
        }
        let doublings = state.ejections.min(8);
        let ejection_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        state.ejections += 1;
        state.ejected_until = TimeMs(now.0 + ejection_ms);
        true
    }

    /// A request there failed.
    pub fn failed(&self, now: TimeMs) {
        let mut state = self.state.lock().expect("no panic under this lock");
        state.note(now, 1.0);
    }

    /// A request there was answered well.
    pub fn served(&self, now: TimeMs) {
        let mut state = self.state.lock().expect("no panic under this lock");
        state.note(now, 0.0);
        state.ejections = 0;
        state.ejected_until = TimeMs(0);
    }

    /// The share of its requests that fail, as it counts now.
    pub fn failing_share(&self, now: TimeMs) -> f64 {
        let state = self.state.lock().expect("no panic under this lock");
        state.failing(now)
    }

    /// How much it is trusted now.
    pub fn trust(&self, now: TimeMs) -> Trust {
        let state = self.state.lock().expect("no panic under this lock");
        if now < state.ejected_until {
            Trust::Ejected
        } else if state.failing(now) > FAILING_SHARE {
            Trust::Failing
        } else {
            Trust::Sound
        }
    }
}

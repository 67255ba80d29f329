//! Ejection: an endpoint that can't be reached gets no work for a while, one that fails gets less.
//!
//! Inputs: outcomes of this daemon's requests at one endpoint, and the moment of each.
//!
//! Rules:
//! - Lost (no connection, another endpoint at the address, or no byte until the deadline): ejected,
//!   at first for `FIRST_EJECTION_MS`, twice as long each time in a row; a good answer ends it.
//! - The share of failures is a moving mean that halves every `FAILURE_HALF_LIFE_MS`, since an
//!   endpoint that gets no work has no success that could speak for it. Above `MAX_FAILURE_SHARE`
//!   the endpoint is not sound: shared prefixes move elsewhere. Below it the share is a cost in
//!   [`super::placement`], so that where all endpoints fail alike none is left out.
//!
//! Measured: commits 0c69d1b (failures that were never forgotten starved three engines of six) and
//! 09f761b (half-life 2, 3, 6 s and a bound of 0.35, 0.25: with 6 s and 0.25 neither of two seeds
//! broke in 8 runs, with 3 s one of 6 did).
//!
//! Tests: `decisions.rs::an_endpoint_that_was_lost…`, `an_endpoint_that_failed_gets_work_again…`,
//! `streams_leave_an_engine_that_loses_three_answers_in_ten`.

use bridgevane_types::TimeMs;

/// The first ejection, in milliseconds. Not measured. Half of it costs more attempts at a dead
/// endpoint, twice leaves one that is back unused for longer.
const FIRST_EJECTION_MS: u64 = 500;
/// The longest ejection, in milliseconds. Not measured; it bounds how long an endpoint that is back
/// stays unused.
const MAX_EJECTION_MS: u64 = 4_000;
/// Doublings that are counted. Chosen because more would overflow; the longest ejection comes after
/// three.
const MAX_DOUBLINGS: u32 = 8;
/// The weight of a new outcome in the share of failures. Not measured by itself (commit c8e2817):
/// two failures in a row pass the bound, one doesn't.
const NEW_OUTCOME_WEIGHT: f64 = 0.2;
/// The share of failures above which an endpoint is not sound. Measured in commit 09f761b: with
/// 0.35 an engine that loses three answers in ten stayed below.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// The time in which the share of failures halves, in milliseconds. Measured in commit 09f761b.
const FAILURE_HALF_LIFE_MS: f64 = 6_000.0;

/// How much an endpoint is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// It gets work.
    Sound,
    /// Many of its requests fail.
    Failing,
    /// It is ejected.
    Ejected,
}

/// An endpoint's health at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSnapshot {
    /// How much it is trusted.
    pub trust: Trust,
    /// The share of its requests that fail.
    pub failure_share: f64,
}

/// The outcomes of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    ejected_until: TimeMs,
    ejections_in_a_row: u32,
    failure_share: f64,
    failure_share_at: TimeMs,
}

impl Outcomes {
    /// The endpoint could not be reached, or was silent; true when that ejects it.
    pub(crate) fn on_lost(&mut self, now: TimeMs) -> bool {
        if now < self.ejected_until {
            return false;
        }
        let doublings = self.ejections_in_a_row.min(MAX_DOUBLINGS);
        let ejection_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejections_in_a_row += 1;
        self.ejected_until = TimeMs(now.0 + ejection_ms);
        true
    }

    /// A request there failed.
    pub(crate) fn on_failed(&mut self, now: TimeMs) {
        self.add_outcome(now, 1.0);
    }

    /// A request there was answered well.
    pub(crate) fn on_served(&mut self, now: TimeMs) {
        self.add_outcome(now, 0.0);
        self.ejections_in_a_row = 0;
        self.ejected_until = TimeMs(0);
    }

    /// The health now.
    pub(crate) fn snapshot(&self, now: TimeMs) -> HealthSnapshot {
        let failure_share = self.failure_share(now);
        let trust = if now < self.ejected_until {
            Trust::Ejected
        } else if failure_share > MAX_FAILURE_SHARE {
            Trust::Failing
        } else {
            Trust::Sound
        };
        HealthSnapshot {
            trust,
            failure_share,
        }
    }

    fn failure_share(&self, now: TimeMs) -> f64 {
        // Most endpoints never failed, and each request asks it of each.
        if self.failure_share == 0.0 {
            return 0.0;
        }
        let age_ms = now.since(self.failure_share_at).0 as f64;
        self.failure_share * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    fn add_outcome(&mut self, now: TimeMs, failure: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + NEW_OUTCOME_WEIGHT * (failure - share);
        self.failure_share_at = now;
    }
}

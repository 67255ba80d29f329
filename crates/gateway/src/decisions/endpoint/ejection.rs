//! Ejection: an endpoint that can't be reached gets no requests for a while, one that fails gets
//! fewer.
//!
//! Inputs: the outcomes of this daemon's requests at one endpoint, and the time of each.
//!
//! Rules:
//! - Lost (no connection, another endpoint at the address, or no byte before the deadline): the
//!   endpoint is ejected, at first for `FIRST_EJECTION_MS`, for twice as long each consecutive
//!   time; a successful answer ends the ejection.
//! - The failure share is a moving average that halves every `FAILURE_HALF_LIFE_MS`, since an
//!   endpoint that gets no requests has no success that could lower it: failures that never expired
//!   starved three of six engines. Above `MAX_FAILURE_SHARE` the endpoint is failing: shared
//!   prefixes move elsewhere. Below it the share is a cost in [`super::placement`], so that no
//!   endpoint is left out where all of them fail alike.
//!
//! Tests: `decisions.rs::a_lost_endpoint_is_avoided_until_its_ejection_ends`,
//! `a_failing_endpoint_gets_requests_again_without_a_success`,
//! `streams_leave_an_engine_that_loses_three_answers_in_ten`.

use bridgevane_types::TimeMs;

/// The duration of the first ejection in milliseconds. Half of it costs more attempts at a dead
/// endpoint, twice leaves a recovered one unused for longer.
const FIRST_EJECTION_MS: u64 = 500;
/// The longest ejection in milliseconds: it bounds how long a recovered endpoint stays unused.
const MAX_EJECTION_MS: u64 = 4_000;
/// The maximum number of doublings, so that the shift can't overflow. The longest ejection is
/// reached after three.
const MAX_DOUBLINGS: u32 = 8;
/// The weight of a new outcome in the failure share: two consecutive failures exceed the maximum,
/// one doesn't.
const NEW_OUTCOME_WEIGHT: f64 = 0.2;
/// The failure share above which an endpoint is failing. At 0.35, an engine that lost three answers
/// in ten stayed below it.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// The half-life of the failure share in milliseconds. With 3 s one of 6 test runs failed, with 6 s
/// none of 8.
const FAILURE_HALF_LIFE_MS: f64 = 6_000.0;

/// How far an endpoint is trusted with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// The endpoint is neither failing nor ejected.
    Healthy,
    /// Many of the endpoint's recent requests failed.
    Failing,
    /// The endpoint gets no requests until its ejection ends, unless all endpoints are ejected.
    Ejected,
}

/// The health of an endpoint at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSnapshot {
    /// How far it is trusted.
    pub trust: Trust,
    /// The moving average of its failed requests, from 0 to 1.
    pub failure_share: f64,
}

/// The outcomes of requests at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    ejected_until: TimeMs,
    ejections_in_a_row: u32,
    failure_share: f64,
    failure_share_at: TimeMs,
}

impl Outcomes {
    /// Records that the endpoint could not be reached or was silent; returns true if that ejects
    /// it.
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

    /// Records a failed request.
    pub(crate) fn on_failed(&mut self, now: TimeMs) {
        self.add_outcome(now, 1.0);
    }

    /// Records a successful answer.
    pub(crate) fn on_served(&mut self, now: TimeMs) {
        self.add_outcome(now, 0.0);
        self.end_ejection();
    }

    /// Ends an ejection; the next one has the first duration.
    pub(crate) fn end_ejection(&mut self) {
        self.ejections_in_a_row = 0;
        self.ejected_until = TimeMs(0);
    }

    /// Returns the health at `now`.
    pub(crate) fn snapshot(&self, now: TimeMs) -> HealthSnapshot {
        let failure_share = self.failure_share(now);
        let trust = if now < self.ejected_until {
            Trust::Ejected
        } else if failure_share > MAX_FAILURE_SHARE {
            Trust::Failing
        } else {
            Trust::Healthy
        };
        HealthSnapshot {
            trust,
            failure_share,
        }
    }

    fn failure_share(&self, now: TimeMs) -> f64 {
        // Most endpoints never failed, and every request calls this for every endpoint.
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

//! Engine need: how many engines a service needs, counted as permanent engines.
//!
//! Inputs: the permanent engines that run at each check of the holder, and the need that an earlier
//! holder left in the duty state.
//!
//! Rule: the need is the largest number of permanent engines that ever ran: the number with which
//! the operator started the service is assumed to be enough for its usual peak. It is settled when
//! the number of engines has not changed for `SETTLING_TIME`: the engines of a starting fleet
//! record themselves one after the other, and a need that is read too early would release most of
//! them. Until then it may be used for orders that add engines, not for those that release any.
//!
//! Tests: `duties_engines.rs`.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the number of engines must not change. Without this delay, a fleet starting with 60
/// engines ordered 3 before their records were there, and served 0.27 of its requests. Engines
/// write their records every 1.2 s; the rest is for the latency.
const SETTLING_TIME: DurationMs = DurationMs(1_500);

/// The number of permanent engines, and since when it has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    permanent: u32,
    since: TimeMs,
}

/// A service's need, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeedEstimate {
    /// The number of engines, counted as permanent engines.
    pub engines: u32,
    /// Whether the number is final and not about to rise.
    pub is_settled: bool,
}

/// Estimates the need of one service.
#[derive(Debug, Default)]
pub struct NeedEstimator {
    observation: Option<Observation>,
}

impl NeedEstimator {
    /// Returns the need, where `recorded` is the one in the duty state (0: none) and `permanent`
    /// engines run.
    pub fn observe(&mut self, now: TimeMs, recorded: u32, permanent: u32) -> NeedEstimate {
        if recorded > 0 {
            return NeedEstimate {
                engines: recorded.max(permanent),
                is_settled: true,
            };
        }
        let observation = self
            .observation
            .filter(|observation| observation.permanent == permanent);
        let observation = *self.observation.insert(observation.unwrap_or(Observation {
            permanent,
            since: now,
        }));
        NeedEstimate {
            engines: permanent,
            is_settled: permanent > 0 && now.since(observation.since) >= SETTLING_TIME,
        }
    }
}

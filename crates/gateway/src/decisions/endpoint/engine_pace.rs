//! Engine pace: how long work takes at an endpoint, relative to the other endpoints of its service.
//!
//! Inputs: for each endpoint the lowest recent work time that it reported ([`WorkTime`]), to any
//! daemon.
//!
//! Rules:
//! - The pace of an endpoint is its work time divided by the median of the service, rounded to a
//!   third of an octave. Endpoints without a work time have the pace 1.
//! - The lowest work time of `WORK_TIME_WINDOW` counts.
//!
//! Reason: a disturbance by other tenants of the VM lasts less than a second, too short for other
//! daemons to react to it; what lasts is the endpoint's own speed. Rounding makes daemons agree
//! although each of them saw other answers.
//!
//! Answers the load of a service whose engines have different speeds: without the pace, slow engines
//! get as much work as fast ones and become a queue.
//!
//! Tests: `engine_pace.rs`.

use bridgevane_types::DurationMs;
use derive_more::{Display, FromStr};

/// How long a low work time counts. Long enough for an engine with few requests to have an
/// undisturbed one, short enough to notice an engine that has become slow for good.
pub const WORK_TIME_WINDOW: DurationMs = DurationMs(10_000);
/// The highest valid work time: a thousand times the usual one. An endpoint that is slower does no work.
const MAX_WORK_TIME: u32 = 100_000;
/// The number of steps in an octave to which paces are rounded.
const STEPS_PER_OCTAVE: f64 = 3.0;

/// How long an endpoint takes for a fixed amount of work, in percent of the usual time.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkTime(pub u32);

impl WorkTime {
    /// Returns a work time if it is in the valid range.
    pub fn new(value: u32) -> Option<Self> {
        (1..=MAX_WORK_TIME).contains(&value).then_some(Self(value))
    }
}

/// The factor by which work takes longer at an endpoint than at the median endpoint of its service.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, PartialOrd)]
pub struct Pace(pub f64);

impl Pace {
    /// The pace of the median endpoint, and of one without a known work time.
    pub const USUAL: Self = Self(1.0);

    /// Returns the rounded pace of an endpoint with this work time.
    fn rounded(work_time: WorkTime, median: WorkTime) -> Self {
        let ratio = f64::from(work_time.0) / f64::from(median.0);
        let steps = (ratio.log2() * STEPS_PER_OCTAVE).round();
        Self((steps / STEPS_PER_OCTAVE).exp2())
    }
}

/// Returns the paces of a service's endpoints, in their order.
pub fn paces(work_times: &[Option<WorkTime>]) -> Vec<Pace> {
    let mut known: Vec<WorkTime> = work_times.iter().copied().flatten().collect();
    if known.is_empty() {
        return vec![Pace::USUAL; work_times.len()];
    }
    let middle = known.len() / 2;
    let median = *known.select_nth_unstable(middle).1;
    let pace = |work_time: &Option<WorkTime>| {
        work_time.map_or(Pace::USUAL, |work_time| Pace::rounded(work_time, median))
    };
    work_times.iter().map(pace).collect()
}

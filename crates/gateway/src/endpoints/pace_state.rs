//! The pace of one endpoint, and the work times that it is computed from.
//!
//! Work times have a short lock, taken for each answer; the pace is an atomic that placement reads.
//! The rule is [`crate::decisions::endpoint::engine_pace`].

use crate::decisions::endpoint::engine_pace::{Pace, WORK_TIME_WINDOW, WorkTime};
use crate::decisions::endpoint::recent_highest::RecentHighest;
use bridgevane_types::TimeMs;
use std::cmp::Reverse;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The recent work times, the lowest first.
type LowestWorkTime = RecentHighest<Reverse<WorkTime>>;

#[derive(Debug)]
struct WorkTimes {
    /// Those of this daemon's answers.
    own: LowestWorkTime,
    /// Those that other daemons report. Kept apart, since a report that came back as this daemon's
    /// own would never expire.
    peers: LowestWorkTime,
}

/// The pace of one endpoint.
#[derive(Debug)]
pub struct PaceState {
    work_times: Mutex<WorkTimes>,
    /// The bits of the pace.
    pace_bits: AtomicU32,
}

impl Default for PaceState {
    fn default() -> Self {
        Self {
            work_times: Mutex::new(WorkTimes {
                own: LowestWorkTime::new(WORK_TIME_WINDOW),
                peers: LowestWorkTime::new(WORK_TIME_WINDOW),
            }),
            pace_bits: AtomicU32::new((Pace::USUAL.0 as f32).to_bits()),
        }
    }
}

impl PaceState {
    fn work_times(&self) -> MutexGuard<'_, WorkTimes> {
        self.work_times.lock().expect("no panic under this lock")
    }

    /// Records the work time that the endpoint reports.
    pub fn on_reported(&self, now: TimeMs, work_time: WorkTime) {
        self.work_times().own.record(now, Reverse(work_time));
    }

    /// Records the lowest work time that other daemons report.
    pub fn on_peers_report(&self, now: TimeMs, work_time: WorkTime) {
        self.work_times().peers.record(now, Reverse(work_time));
    }

    /// Returns the lowest recent work time of this daemon's answers.
    pub fn own_lowest(&self, now: TimeMs) -> Option<WorkTime> {
        self.work_times().own.highest(now).map(|lowest| lowest.0)
    }

    /// Returns the lowest recent work time, also of other daemons.
    pub fn lowest(&self, now: TimeMs) -> Option<WorkTime> {
        let work_times = self.work_times();
        let lowest = work_times
            .own
            .highest(now)
            .max(work_times.peers.highest(now));
        lowest.map(|lowest| lowest.0)
    }

    /// Returns the pace.
    pub fn pace(&self) -> Pace {
        let bits = self.pace_bits.load(Ordering::Relaxed);
        Pace(f64::from(f32::from_bits(bits)))
    }

    /// Sets the pace.
    pub fn set_pace(&self, pace: Pace) {
        let bits = (pace.0 as f32).to_bits();
        self.pace_bits.store(bits, Ordering::Relaxed);
    }
}

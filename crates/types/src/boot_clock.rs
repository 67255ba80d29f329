//! The clock that every daemon's beliefs age by.

use crate::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine's start, its suspensions and those of its VM included
/// (`CLOCK_BOOTTIME`). The steady clock, by which timers go, leaves them out.
pub fn boot_time() -> TimeMs {
    let now = clock_gettime(ClockId::Boottime);
    // The time since the start is never negative.
    TimeMs(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

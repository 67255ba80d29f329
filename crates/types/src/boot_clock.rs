//! The clock by which each daemon measures the age of its data.

use crate::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine's start, including the time in which the machine or its VM was
/// suspended (`CLOCK_BOOTTIME`). The monotonic clock, which timers use, does not count suspensions.
pub fn boot_time() -> TimeMs {
    let now = clock_gettime(ClockId::Boottime);
    // The time since the machine's start is never negative.
    TimeMs(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

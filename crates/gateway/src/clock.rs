//! The gateway's clock: monotonic milliseconds, comparable only within this process.
//!
//! It doesn't start at 0, so that moments before the daemon's start can be represented: another
//! daemon may have proved its configuration long before.
//!
//! It counts the time in which the process is stopped or the VM suspended (`CLOCK_BOOTTIME`), so
//! that a proof of freshness, a lease and a removed key age during it, and are known to be outdated
//! right after it. Rules take its moments as arguments; tests pass their own. Timers of the runtime
//! use the monotonic clock, which doesn't count suspension, and fire late by its length: nothing with
//! a strict time limit depends on a timer alone. See docs/design/18.

use bridgevane_types::{DurationMs, TimeMs, WallTimeMs, boot_time};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The reading of the clock at the daemon's start, which is the greatest age of a proof that can be
/// adopted from another daemon. It is longer than a stale configuration may be served
/// (`--max-stale-s`).
const START: TimeMs = TimeMs(8 * 24 * 60 * 60 * 1_000);

/// The source of a clock's time.
#[derive(Clone, Copy, Debug)]
enum TimeSource {
    /// The machine's clocks.
    Machine {
        /// The start on the monotonic clock.
        started: Instant,
        /// The start on the clock that counts suspension.
        started_boot: TimeMs,
    },
    /// The runtime's clock, changed by a script.
    Scripted {
        started: Instant,
        script: &'static ClockScript,
    },
}

/// Suspensions of the VM that a test simulates.
#[derive(Debug, Default)]
pub struct ClockScript {
    /// The time that passed only for the clock that counts suspension, in milliseconds.
    ahead_ms: AtomicU64,
    /// The time that passed for the runtime and not for the monotonic clock, in milliseconds.
    behind_ms: AtomicU64,
}

impl ClockScript {
    /// Creates a script that lives as long as the process, since clocks are copied.
    pub fn leaked() -> &'static Self {
        Box::leak(Box::default())
    }

    /// Simulates the end of a suspension during which no time passed for the runtime.
    pub fn add_suspension(&self, suspended: DurationMs) {
        self.ahead_ms.fetch_add(suspended.0, Ordering::SeqCst);
    }

    /// Simulates a suspension during which this much time passes for the runtime.
    pub fn mark_suspended(&self, suspended: DurationMs) {
        self.behind_ms.fetch_add(suspended.0, Ordering::SeqCst);
    }
}

/// The gateway's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: TimeSource,
    /// The time of day at the start. It is read once: the system's time of day may be set while the
    /// daemon runs, and hourly counts must not go back in time.
    started_wall: WallTimeMs,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Self {
        let source = TimeSource::Machine {
            started: Instant::now(),
            started_boot: boot_time(),
        };
        Self {
            source,
            started_wall: time_of_day(),
        }
    }

    /// Creates a clock that starts now and is changed by a script.
    pub fn scripted(script: &'static ClockScript) -> Self {
        Self::scripted_at(script, time_of_day())
    }

    /// Creates a clock that starts now, at this time of day, and is changed by a script.
    pub fn scripted_at(script: &'static ClockScript, started_wall: WallTimeMs) -> Self {
        let source = TimeSource::Scripted {
            started: Instant::now(),
            script,
        };
        Self {
            source,
            started_wall,
        }
    }

    /// Returns the current moment.
    pub fn now(&self) -> TimeMs {
        START + self.elapsed()
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> DurationMs {
        match self.source {
            TimeSource::Machine { started_boot, .. } => boot_time().since(started_boot),
            TimeSource::Scripted { started, script } => {
                let ahead_ms = script.ahead_ms.load(Ordering::SeqCst);
                millis(started.elapsed()) + DurationMs(ahead_ms)
            }
        }
    }

    /// Returns the total time in which the VM was suspended since the start: the difference between
    /// the two clocks.
    pub(crate) fn total_suspended(&self) -> DurationMs {
        match self.source {
            TimeSource::Machine { started, .. } => {
                let monotonic = millis(started.elapsed());
                DurationMs(self.elapsed().0.saturating_sub(monotonic.0))
            }
            TimeSource::Scripted { script, .. } => {
                let ahead_ms = script.ahead_ms.load(Ordering::SeqCst);
                DurationMs(ahead_ms + script.behind_ms.load(Ordering::SeqCst))
            }
        }
    }

    /// Returns the time of day at a moment, based on the time of day at the daemon's start.
    pub(crate) fn wall_time_at(&self, at: TimeMs) -> WallTimeMs {
        self.started_wall + at.since(START)
    }
}

fn millis(time: Duration) -> DurationMs {
    DurationMs(time.as_millis() as u64)
}

/// Returns the system's time of day, or 0 if it is before 1970.
fn time_of_day() -> WallTimeMs {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTimeMs(since_1970.unwrap_or_default().as_millis() as u64)
}

/// An optional moment that is read and written without a lock.
#[derive(Debug, Default)]
pub(crate) struct AtomicTime {
    /// The moment in milliseconds plus one; 0 if unset. The last moment of all counts as the one before it.
    millis_plus_one: AtomicU64,
}

impl AtomicTime {
    fn encode(at: TimeMs) -> u64 {
        at.0.saturating_add(1)
    }

    pub(crate) fn get(&self) -> Option<TimeMs> {
        let encoded = self.millis_plus_one.load(Ordering::Acquire);
        encoded.checked_sub(1).map(TimeMs)
    }

    pub(crate) fn set(&self, at: TimeMs) {
        self.millis_plus_one
            .store(Self::encode(at), Ordering::Release);
    }

    /// Sets the moment unless a later one is set.
    pub(crate) fn set_if_later(&self, at: TimeMs) {
        self.millis_plus_one
            .fetch_max(Self::encode(at), Ordering::AcqRel);
    }
}

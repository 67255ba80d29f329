//! The gateway's clock: steady milliseconds, of this process alone.
//!
//! It doesn't begin at 0, so that moments before the daemon's start can be told: another daemon may
//! have proved its configuration long before.
//!
//! It counts the time in which the process is stopped or the VM suspended (`CLOCK_BOOTTIME`), so that a
//! proof of freshness, a lease and a removed key age through it: whoever wakes knows at once. Rules take
//! its moments as arguments; tests pass their own. Timers of the runtime stand on the steady clock, which
//! leaves suspension out, and fire late by it: nothing that must not be done too late or too early hangs
//! on a timer alone (docs/design/18).

use bridgevane_types::{DurationMs, TimeMs, WallTimeMs, boot_time};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// What the clock shows when the daemon starts: proofs up to so old can be taken from another
/// daemon. Chosen longer than a configuration may be served on (`--max-stale-s`).
const START: TimeMs = TimeMs(8 * 24 * 60 * 60 * 1_000);

/// Where a clock has its time from.
#[derive(Clone, Copy, Debug)]
enum TimeSource {
    /// From the machine.
    Machine {
        /// On the steady clock.
        started: Instant,
        /// Since the machine's start.
        started_boot: TimeMs,
    },
    /// From the runtime, changed by a script.
    Scripted {
        started: Instant,
        script: &'static ClockScript,
    },
}

/// Suspensions of the VM, as a test plays them.
#[derive(Debug, Default)]
pub struct ClockScript {
    /// Time that only the clock that counts suspension has seen, in milliseconds.
    ahead_ms: AtomicU64,
    /// Time that the runtime has seen and the steady clock hasn't, in milliseconds.
    behind_ms: AtomicU64,
}

impl ClockScript {
    /// A script that lasts as long as the process: clocks are copied everywhere.
    pub fn leaked() -> &'static Self {
        Box::leak(Box::default())
    }

    /// The VM wakes from a suspension, while no time has passed for the runtime.
    pub fn wake_after(&self, suspended: DurationMs) {
        self.ahead_ms.fetch_add(suspended.0, Ordering::SeqCst);
    }

    /// The VM is suspended while so much time passes for the runtime.
    pub fn stand_still(&self, suspended: DurationMs) {
        self.behind_ms.fetch_add(suspended.0, Ordering::SeqCst);
    }
}

/// Tells the time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: TimeSource,
    /// The time of day at the start. It is read once: the time of day may be set while the daemon
    /// runs, and what it counts by the hour must not go back.
    started_wall: WallTimeMs,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self::from_source(TimeSource::Machine {
            started: Instant::now(),
            started_boot: boot_time(),
        })
    }

    /// A clock that starts now and goes by a script.
    pub fn scripted(script: &'static ClockScript) -> Self {
        Self::from_source(TimeSource::Scripted {
            started: Instant::now(),
            script,
        })
    }

    fn from_source(source: TimeSource) -> Self {
        Self {
            source,
            started_wall: time_of_day(),
        }
    }

    /// Now.
    pub fn now(&self) -> TimeMs {
        START + self.elapsed()
    }

    /// The time since the start.
    pub(crate) fn elapsed(&self) -> DurationMs {
        match self.source {
            TimeSource::Machine { started_boot, .. } => boot_time().since(started_boot),
            TimeSource::Scripted { started, script } => {
                let ahead_ms = script.ahead_ms.load(Ordering::SeqCst);
                millis(started.elapsed()) + DurationMs(ahead_ms)
            }
        }
    }

    /// The time since the start in which the VM was suspended, as the two clocks differ.
    pub(crate) fn suspended(&self) -> DurationMs {
        match self.source {
            TimeSource::Machine { started, .. } => {
                let steady = millis(started.elapsed());
                DurationMs(self.elapsed().0.saturating_sub(steady.0))
            }
            TimeSource::Scripted { script, .. } => {
                let ahead_ms = script.ahead_ms.load(Ordering::SeqCst);
                DurationMs(ahead_ms + script.behind_ms.load(Ordering::SeqCst))
            }
        }
    }

    /// The time of day at a moment, by what it was when the daemon started.
    pub(crate) fn wall(&self, at: TimeMs) -> WallTimeMs {
        self.started_wall + at.since(START)
    }
}

fn millis(time: Duration) -> DurationMs {
    DurationMs(time.as_millis() as u64)
}

/// The time of day; a clock from before 1970 counts as unset.
fn time_of_day() -> WallTimeMs {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTimeMs(since_1970.unwrap_or_default().as_millis() as u64)
}

/// A moment that may be unset, read and written without a lock.
#[derive(Debug, Default)]
pub(crate) struct AtomicTime {
    /// Milliseconds plus one; 0: unset.
    millis_plus_one: AtomicU64,
}

impl AtomicTime {
    fn encode(at: TimeMs) -> u64 {
        at.0 + 1
    }

    pub(crate) fn get(&self) -> Option<TimeMs> {
        let encoded = self.millis_plus_one.load(Ordering::Acquire);
        encoded.checked_sub(1).map(TimeMs)
    }

    pub(crate) fn set(&self, at: TimeMs) {
        self.millis_plus_one
            .store(Self::encode(at), Ordering::Release);
    }

    /// Sets the moment unless it is set to a later one.
    pub(crate) fn set_if_later(&self, at: TimeMs) {
        self.millis_plus_one
            .fetch_max(Self::encode(at), Ordering::AcqRel);
    }

    /// Sets the moment unless it is set.
    pub(crate) fn set_if_unset(&self, at: TimeMs) {
        let unset = 0;
        // An error means that it was set before, and stays.
        let _ = self.millis_plus_one.compare_exchange(
            unset,
            Self::encode(at),
            Ordering::AcqRel,
            Ordering::Relaxed,
        );
    }

    pub(crate) fn unset(&self) {
        self.millis_plus_one.store(0, Ordering::Release);
    }
}

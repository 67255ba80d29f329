//! Usage windows: equal spans of the wall clock. For each of them the number of requests of each
//! customer that started to run is submitted to the platform once.
//!
//! Inputs: wall time in milliseconds since 1970, and the platform's window and lateness.
//!
//! Rule: a window's usage is submitted as soon as every daemon has closed it, and at the latest
//! `LATE_MARGIN` before it counts as missing, with the counts known by then. A daemon closes a
//! window `CLOSE_DELAY` after its end: a plain request counts from the time it was sent, and only
//! its response shows whether it ran.
//!
//! Tests: `duties_usage.rs`.

use bridgevane_types::{DurationMs, WallTimeMs};
use derive_more::{Display, FromStr};

/// How long after its end a daemon's counts of a window are final. Plain routes usually end
/// requests after 0.8 s.
pub const CLOSE_DELAY: DurationMs = DurationMs(1_000);
/// The time left before a window counts as missing when it is submitted though some daemons are
/// silent: enough for one write of the store and two calls of the platform at the slowest that was
/// seen (0.75 s each).
const LATE_MARGIN: DurationMs = DurationMs(2_000);

/// The most by which the times of day of two VMs differ: the largest difference that the users'
/// platform allows.
pub const MAX_CLOCK_DIFFERENCE: DurationMs = DurationMs(6_000);

/// The number of a window: it starts this many widths after the beginning of 1970.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// Returns the window after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the window this many before this one.
    pub fn minus(self, windows: u64) -> Self {
        Self(self.0.saturating_sub(windows))
    }
}

/// The width of windows, and how late their usage may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageCalendar {
    /// The width of a window, in milliseconds.
    pub width_ms: DurationMs,
    /// How long after a window's end its usage must have been submitted.
    pub late_ms: DurationMs,
}

/// When a window's usage is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageDue {
    /// Its usage is submitted now.
    Now,
    /// At this time, or earlier if the window is closed by every daemon before.
    At(WallTimeMs),
}

impl UsageCalendar {
    /// Returns the window that contains a time.
    pub fn window_at(&self, at: WallTimeMs) -> UsageWindow {
        UsageWindow(at.0 / self.width_ms.0.max(1))
    }

    /// Returns how many of the newest windows can still be submitted in time, the current one
    /// included.
    pub fn timely_windows(&self) -> u64 {
        self.late_ms.0.div_ceil(self.width_ms.0.max(1)) + 2
    }

    /// Returns the first window that isn't closed at a given time.
    pub fn first_open_at(&self, at: WallTimeMs) -> UsageWindow {
        self.window_at(WallTimeMs(at.0.saturating_sub(CLOSE_DELAY.0)))
    }

    /// Returns the first window that no daemon of the fleet has closed at a given time, since their
    /// times of day differ.
    pub fn first_open_everywhere_at(&self, at: WallTimeMs) -> UsageWindow {
        self.first_open_at(at + MAX_CLOCK_DIFFERENCE)
    }

    /// Returns when a window ends.
    pub fn end_of(&self, window: UsageWindow) -> WallTimeMs {
        WallTimeMs(window.next().0 * self.width_ms.0)
    }

    /// Returns when a window's usage is submitted; `is_complete`: every daemon has closed it.
    pub fn due(&self, now: WallTimeMs, window: UsageWindow, is_complete: bool) -> UsageDue {
        let end = self.end_of(window);
        let closes_at = end + CLOSE_DELAY;
        let late_ms = self.late_ms.0.saturating_sub(LATE_MARGIN.0);
        let deadline = closes_at.max(end + DurationMs(late_ms));
        if now >= deadline || (now >= closes_at && is_complete) {
            return UsageDue::Now;
        }
        if now < closes_at {
            return UsageDue::At(closes_at);
        }
        UsageDue::At(deadline)
    }
}

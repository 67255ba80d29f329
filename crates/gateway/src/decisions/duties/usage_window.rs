//! Usage windows: equal spans of the wall clock, for each of which the platform is told once how
//! many requests of each customer began to run.
//!
//! Inputs: wall time in milliseconds since 1970, and the platform's window and lateness.
//!
//! Rule: a window's usage is told as soon as every daemon has closed it, and at the latest
//! `LATE_MARGIN` before it counts as missing, with what is known then. A daemon closes a window
//! `CLOSE_DELAY` after its end: a plain request counts at the moment it was sent, and whether it
//! ran is known when it is answered.
//!
//! Tests: `duties_usage.rs`.

use bridgevane_types::{DurationMs, WallTimeMs};
use derive_more::{Display, FromStr};

/// How long after its end a daemon's counts of a window are final. Not measured, chosen because the
/// users' plain routes end requests after 0.8 s.
pub const CLOSE_DELAY: DurationMs = DurationMs(1_000);
/// What is left of a window's time when it is told though some daemons are silent. Not measured,
/// chosen for one write of the store and two calls of the platform at the slowest that the users'
/// platform has shown (0.75 s each).
const LATE_MARGIN: DurationMs = DurationMs(2_000);

/// The number of a window: it begins so many widths after the beginning of 1970.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The window so many before this one.
    pub fn minus(self, windows: u64) -> Self {
        Self(self.0.saturating_sub(windows))
    }
}

/// How long windows are, and how late their usage may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageCalendar {
    /// The width of a window, in milliseconds.
    pub width_ms: DurationMs,
    /// How long after a window's end its usage must have been told.
    pub late_ms: DurationMs,
}

/// What becomes of a window now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageDue {
    /// Its usage is told.
    Now,
    /// Nothing before this moment, unless another daemon closes the window meanwhile.
    At(WallTimeMs),
}

impl UsageCalendar {
    /// The window that a moment belongs to.
    pub fn window_at(&self, at: WallTimeMs) -> UsageWindow {
        UsageWindow(at.0 / self.width_ms.0.max(1))
    }

    /// How many of the newest windows may still be told in time, the one in progress included.
    pub fn timely_windows(&self) -> u64 {
        self.late_ms.0.div_ceil(self.width_ms.0.max(1)) + 2
    }

    /// The first window that isn't closed at a moment.
    pub fn first_open_at(&self, at: WallTimeMs) -> UsageWindow {
        self.window_at(WallTimeMs(at.0.saturating_sub(CLOSE_DELAY.0)))
    }

    /// When a window ends.
    pub fn end_of(&self, window: UsageWindow) -> WallTimeMs {
        WallTimeMs(window.next().0 * self.width_ms.0)
    }

    /// Whether a window's usage is told now; `is_complete`: every daemon has closed it.
    pub fn due(&self, now: WallTimeMs, window: UsageWindow, is_complete: bool) -> UsageDue {
        let end = self.end_of(window);
        let closes_at = end + CLOSE_DELAY;
        let late_ms = self.late_ms.0.saturating_sub(LATE_MARGIN.0);
        let last_call_at = closes_at.max(end + DurationMs(late_ms));
        if now >= last_call_at || (now >= closes_at && is_complete) {
            return UsageDue::Now;
        }
        if now < closes_at {
            return UsageDue::At(closes_at);
        }
        UsageDue::At(last_call_at)
    }
}

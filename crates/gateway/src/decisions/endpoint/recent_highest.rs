//! The highest of the values recorded recently.
//!
//! Two adjacent windows are kept, so that a value counts for one to two windows; this takes constant
//! memory, and a value that isn't repeated is forgotten.

use bridgevane_types::{DurationMs, TimeMs};

/// The highest value of the current and the previous window.
#[derive(Clone, Copy, Debug)]
pub struct RecentHighest<T> {
    window: DurationMs,
    began_at: TimeMs,
    current: Option<T>,
    previous: Option<T>,
}

impl<T: Copy + Ord> RecentHighest<T> {
    /// Creates a record without values, with windows of this length.
    pub fn new(window: DurationMs) -> Self {
        Self {
            window,
            began_at: TimeMs(0),
            current: None,
            previous: None,
        }
    }

    /// Records a value.
    pub fn record(&mut self, now: TimeMs, value: T) {
        let age = now.since(self.began_at);
        if age >= self.window {
            let is_adjacent = age.0 < 2 * self.window.0;
            self.previous = self.current.filter(|_| is_adjacent);
            self.current = None;
            self.began_at = now;
        }
        self.current = self.current.max(Some(value));
    }

    /// Returns the highest value of the last one to two windows.
    pub fn highest(&self, now: TimeMs) -> Option<T> {
        let age = now.since(self.began_at);
        if age < self.window {
            self.current.max(self.previous)
        } else {
            self.current.filter(|_| age.0 < 2 * self.window.0)
        }
    }
}

//! Usage ledger: the requests that one daemon saw start, by window, since its process started.
//!
//! Owns the newest windows only. Counts of a window never fall, so they may be reported again, late
//! and through another daemon without being counted twice: the collecting holder keeps the larger
//! one ([`super::usage_collection`]). The counts since a daemon's last report are lost if it is
//! killed.

use super::usage_counts::UsageCounts;
use super::usage_window::{UsageCalendar, UsageWindow};
use bridgevane_types::{CustomerId, WallTimeMs};
use std::collections::BTreeMap;

/// Windows are kept for this many times the period in which they can be submitted in time. A holder
/// may be absent for several such periods, and late usage is better than none.
const RETENTION_FACTOR: u64 = 3;

/// Returns how many of the newest windows are kept.
pub fn retained_windows(calendar: UsageCalendar) -> u64 {
    calendar.timely_windows() * RETENTION_FACTOR
}

/// The counts of one daemon.
#[derive(Debug)]
pub struct UsageLedger {
    calendar: UsageCalendar,
    windows: BTreeMap<UsageWindow, UsageCounts>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(calendar: UsageCalendar) -> Self {
        Self {
            calendar,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request of a customer that started at the given time.
    pub fn count(&mut self, at: WallTimeMs, customer: &CustomerId) {
        let window = self.calendar.window_at(at);
        self.windows.entry(window).or_default().count(customer);
        let newest = self.windows.last_key_value().map(|(newest, _)| *newest);
        let kept = retained_windows(self.calendar);
        let first_kept = newest.unwrap_or(window).minus(kept - 1);
        while let Some(oldest) = self.windows.first_entry()
            && *oldest.key() < first_kept
        {
            oldest.remove();
        }
    }

    /// Returns the windows with counts, from `first` on.
    pub fn windows_from(
        &self,
        first: UsageWindow,
    ) -> impl Iterator<Item = (UsageWindow, &UsageCounts)> {
        self.windows
            .range(first..)
            .map(|(window, counts)| (*window, counts))
    }
}

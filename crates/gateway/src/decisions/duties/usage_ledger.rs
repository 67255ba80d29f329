//! Usage ledger: the requests that one daemon saw begin, by window, since its process started.
//!
//! Owns the newest windows only. Counts of a window never fall, so that they may be told again,
//! late and by another way without being counted twice: whoever collects them keeps the larger
//! ([`super::usage_collection`]). What a daemon counted since it was last heard is lost with it.

use super::usage_counts::UsageCounts;
use super::usage_window::{UsageCalendar, UsageWindow};
use bridgevane_types::{CustomerId, WallTimeMs};
use std::collections::BTreeMap;

/// Windows are remembered for so many times as long as they may be told in time. Not measured, chosen
/// because a holder may be away for several times that, and late usage is better than none.
const REMEMBERED_TIMES: u64 = 3;

/// How many of the newest windows are remembered.
pub fn remembered_windows(calendar: UsageCalendar) -> u64 {
    calendar.timely_windows() * REMEMBERED_TIMES
}

/// One daemon's counts.
#[derive(Debug)]
pub struct UsageLedger {
    calendar: UsageCalendar,
    windows: BTreeMap<UsageWindow, UsageCounts>,
}

impl UsageLedger {
    /// No counts yet.
    pub fn new(calendar: UsageCalendar) -> Self {
        Self {
            calendar,
            windows: BTreeMap::new(),
        }
    }

    /// A request of a customer began at a moment.
    pub fn count(&mut self, at: WallTimeMs, customer: &CustomerId) {
        let window = self.calendar.window_at(at);
        self.windows.entry(window).or_default().count(customer);
        let newest = self.windows.last_key_value().map(|(newest, _)| *newest);
        let kept = remembered_windows(self.calendar);
        let first_kept = newest.unwrap_or(window).minus(kept - 1);
        while let Some(oldest) = self.windows.first_entry()
            && *oldest.key() < first_kept
        {
            oldest.remove();
        }
    }

    /// The windows from `first` on that have counts.
    pub fn windows_from(
        &self,
        first: UsageWindow,
    ) -> impl Iterator<Item = (UsageWindow, &UsageCounts)> {
        self.windows
            .range(first..)
            .map(|(window, counts)| (*window, counts))
    }
}

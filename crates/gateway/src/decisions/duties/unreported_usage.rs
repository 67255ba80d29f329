//! Unreported usage: which of its counts a daemon sends to the holder of the duties.
//!
//! Inputs: this daemon's counts, the holder, and the counts that it acknowledged.
//!
//! Rule: a report leaves out the windows whose counts the holder has acknowledged; without any
//! other change nothing is sent. After a report that isn't acknowledged the next one has all
//! windows.
//!
//! Tests: `duties_usage.rs`.

use super::usage_collection::{DaemonIncarnation, UsageReport};
use super::usage_window::UsageWindow;
use std::collections::BTreeMap;

/// The counts that a holder has acknowledged.
#[derive(Clone, Debug)]
struct Acknowledged {
    holder: DaemonIncarnation,
    first_open: UsageWindow,
    /// The number of requests by window. Counts only rise, so an equal sum means equal counts.
    requests: BTreeMap<UsageWindow, u64>,
}

/// Plans a daemon's reports.
#[derive(Clone, Debug, Default)]
pub struct UnreportedUsage {
    acknowledged: Option<Acknowledged>,
}

impl UnreportedUsage {
    /// Returns the part of this daemon's counts that the holder hasn't acknowledged; none if it has
    /// acknowledged all.
    pub fn report(&self, holder: &DaemonIncarnation, own: &UsageReport) -> Option<UsageReport> {
        let acknowledged = self.acknowledged.as_ref();
        let Some(known) = acknowledged.filter(|known| known.holder == *holder) else {
            return Some(own.clone());
        };
        let mut report = own.clone();
        report
            .windows
            .retain(|(window, counts)| known.requests.get(window) != Some(&counts.total()));
        let is_unchanged = report.windows.is_empty() && known.first_open == report.first_open;
        (!is_unchanged).then_some(report)
    }

    /// Records that the holder has acknowledged all counts of `own`.
    pub fn on_acknowledged(&mut self, holder: DaemonIncarnation, own: &UsageReport) {
        let windows = own.windows.iter();
        self.acknowledged = Some(Acknowledged {
            holder,
            first_open: own.first_open,
            requests: windows
                .map(|(window, counts)| (*window, counts.total()))
                .collect(),
        });
    }

    /// Records that a report wasn't acknowledged: it may have arrived or not.
    pub fn on_not_acknowledged(&mut self) {
        self.acknowledged = None;
    }
}

//! Unreported usage: which of its counts a daemon sends to the holder of the duties.
//!
//! Inputs: this daemon's counts, the holder, and the counts that the holder's session acknowledged.
//!
//! Rule: a report leaves out the windows whose counts were acknowledged, and names the session that
//! did; without any other change nothing is sent. A holder that takes the duties again begins a new
//! session, which knows no counts and doesn't accept such a report. Then, and after a report that
//! isn't acknowledged, the next one has all windows.
//!
//! The whole argument: docs/design/30.
//!
//! Tests: `duties_usage.rs`, `duties_store_from_copy.rs`.

use super::usage_collection::{DaemonIncarnation, UsageReport};
use super::usage_window::UsageWindow;
use bridgevane_types::FenceToken;
use std::collections::BTreeMap;

/// The counts that a session of a holder has acknowledged.
#[derive(Clone, Debug)]
struct Acknowledged {
    holder: DaemonIncarnation,
    fence: FenceToken,
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
        report.acknowledged_by = Some(known.fence);
        (!is_unchanged).then_some(report)
    }

    /// Records the answer of a holder's session to `report`, which was made of `own`; returns
    /// whether the session has accepted it.
    pub fn on_answer(
        &mut self,
        holder: &DaemonIncarnation,
        own: &UsageReport,
        report: &UsageReport,
        fence: FenceToken,
    ) -> bool {
        if !report.is_accepted_by(fence) {
            self.acknowledged = None;
            return false;
        }
        let windows = own.windows.iter();
        self.acknowledged = Some(Acknowledged {
            holder: holder.clone(),
            fence,
            first_open: own.first_open,
            requests: windows
                .map(|(window, counts)| (*window, counts.total()))
                .collect(),
        });
        true
    }

    /// Records that a report wasn't answered by a holder: it may have arrived or not.
    pub fn on_no_answer(&mut self) {
        self.acknowledged = None;
    }
}

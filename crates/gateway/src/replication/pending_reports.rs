//! What other daemons report of the prompts that they have sent and that were not read yet.
//!
//! Owns the newest report of each; expired ones count as nothing.

use crate::decisions::endpoint::load_report::is_peer_report_current;
use crate::pending_prefill::PendingPrefill;
use bridgevane_types::TimeMs;
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct Report {
    at: TimeMs,
    pending: PendingPrefill,
}

/// The newest reports.
#[derive(Debug, Default)]
pub struct PendingReports {
    /// From the upstream: the total of all daemons, with this daemon's tree in it.
    total: Option<Report>,
    /// From other seeds: those of their trees.
    seeds: HashMap<SocketAddr, Report>,
}

impl PendingReports {
    /// The upstream reports the total of all daemons.
    pub fn on_total(&mut self, now: TimeMs, pending: PendingPrefill) {
        self.total = Some(Report { at: now, pending });
    }

    /// Another seed reports that of its tree.
    pub fn on_seed(&mut self, now: TimeMs, seed: SocketAddr, pending: PendingPrefill) {
        self.seeds.insert(seed, Report { at: now, pending });
    }

    /// The total of all daemons, where `tree` is that of this daemon's own tree.
    pub fn total(&self, now: TimeMs, tree: &PendingPrefill) -> PendingPrefill {
        let is_current = |report: &&Report| is_peer_report_current(now, report.at);
        if let Some(total) = self.total.as_ref().filter(is_current) {
            return total.pending.clone();
        }
        let mut total = tree.clone();
        for report in self.seeds.values().filter(is_current) {
            total.add_all(&report.pending);
        }
        total
    }
}

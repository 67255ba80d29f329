//! What other daemons report of the work that they have under way at endpoints.
//!
//! Owns the newest report of each; expired ones count as nothing.

use crate::decisions::endpoint::load_report::is_peer_report_current;
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_types::TimeMs;
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct Report {
    at: TimeMs,
    work: WorkByEndpoint,
}

/// The newest reports.
#[derive(Debug, Default)]
pub struct WorkReports {
    /// From the upstream: the total of all daemons, with this daemon's tree in it.
    total: Option<Report>,
    /// From other seeds: those of their trees.
    seeds: HashMap<SocketAddr, Report>,
}

impl WorkReports {
    /// The upstream reports the total of all daemons.
    pub fn on_total(&mut self, now: TimeMs, work: WorkByEndpoint) {
        self.total = Some(Report { at: now, work });
    }

    /// Another seed reports that of its tree.
    pub fn on_seed(&mut self, now: TimeMs, seed: SocketAddr, work: WorkByEndpoint) {
        self.seeds.insert(seed, Report { at: now, work });
    }

    /// How many seeds with an address smaller than this one have reported lately.
    pub(crate) fn live_seeds_before(&self, now: TimeMs, own: SocketAddr) -> usize {
        let is_before = |(seed, report): &(&SocketAddr, &Report)| {
            **seed < own && is_peer_report_current(now, report.at)
        };
        self.seeds.iter().filter(is_before).count()
    }

    /// The total of all daemons, where `tree` is that of this daemon's own tree.
    pub fn total(&self, now: TimeMs, tree: &WorkByEndpoint) -> WorkByEndpoint {
        let is_current = |report: &&Report| is_peer_report_current(now, report.at);
        if let Some(total) = self.total.as_ref().filter(is_current) {
            return total.work.clone();
        }
        let mut total = tree.clone();
        for report in self.seeds.values().filter(is_current) {
            total.add_all(&report.work);
        }
        total
    }
}

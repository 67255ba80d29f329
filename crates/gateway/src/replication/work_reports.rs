//! Other daemons' reports of the work that they have under way at endpoints.
//!
//! Owns the newest report of each daemon; expired reports are ignored.

use crate::decisions::endpoint::load_report::is_peer_report_current;
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_types::TimeMs;
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct WorkReport {
    at: TimeMs,
    work: WorkByEndpoint,
}

/// The newest reports.
#[derive(Debug, Default)]
pub struct WorkReports {
    /// The upstream's report: the total of all daemons, including this daemon's subtree.
    total: Option<WorkReport>,
    /// The other seeds' reports: the work of their subtrees.
    seeds: HashMap<SocketAddr, WorkReport>,
}

impl WorkReports {
    /// Stores the upstream's report of the total work.
    pub fn on_total(&mut self, now: TimeMs, work: WorkByEndpoint) {
        self.total = Some(WorkReport { at: now, work });
    }

    /// Stores another seed's report of its subtree's work.
    pub fn on_seed(&mut self, now: TimeMs, seed: SocketAddr, work: WorkByEndpoint) {
        self.seeds.insert(seed, WorkReport { at: now, work });
    }

    /// Returns how many seeds with an address smaller than `own` have reported recently.
    pub(crate) fn live_seeds_before(&self, now: TimeMs, own: SocketAddr) -> usize {
        let is_before = |(seed, report): &(&SocketAddr, &WorkReport)| {
            **seed < own && is_peer_report_current(now, report.at)
        };
        self.seeds.iter().filter(is_before).count()
    }

    /// Returns the total work of all daemons; `subtree` is the work of this daemon's own subtree.
    pub fn total(&self, now: TimeMs, subtree: &WorkByEndpoint) -> WorkByEndpoint {
        let is_current = |report: &&WorkReport| is_peer_report_current(now, report.at);
        if let Some(total) = self.total.as_ref().filter(is_current) {
            return total.work.clone();
        }
        let mut total = subtree.clone();
        for report in self.seeds.values().filter(is_current) {
            total.add_all(&report.work);
        }
        total
    }
}

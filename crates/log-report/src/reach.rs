//! Compares how clients were served by daemons that were cut off from the endpoints of a service with
//! how they were served by the others.
//!
//! Owns the tries of each VM, service, route and second (event 1317), and the services that each VM
//! found out of reach (event 1418); memory grows with these. A try is one request of a client: daemons
//! can't tell a client's first try from its later ones. Seconds are those of the VMs' own clocks.

use crate::line::LogLine;
use bridgevane_events::Event;
use derive_more::AddAssign;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The route and service of requests that were refused before these were known.
const UNKNOWN: &str = "-";
/// The status with which a daemon refuses a proper request that has not run.
const UNAVAILABLE: u64 = 503;

/// How many tries there were, and how many of them were served.
#[derive(AddAssign, Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TryCounts {
    /// All tries.
    pub tries: u64,
    /// Those with a complete answer of an endpoint that is no server error.
    pub served: u64,
    /// Those of `served` whose answer came through another daemon.
    pub served_by_daemons: u64,
    /// Those with a server error of an endpoint, which an endpoint in reach gives, too.
    pub server_errors: u64,
}

impl TryCounts {
    /// Returns the share of the tries that an endpoint answered; `None` without tries.
    pub fn answered_share(&self) -> Option<f64> {
        let answered = self.served + self.server_errors;
        (self.tries > 0).then(|| answered as f64 / self.tries as f64)
    }
}

/// The tries of one group of requests at daemons that were cut off and at the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReachRow {
    /// The service.
    pub service: String,
    /// The route; `None` for all routes of the service.
    pub route: Option<String>,
    /// The second, in seconds since the start of the span; `None` for the whole span.
    pub second: Option<u64>,
    /// The tries at daemons that were cut off.
    pub cut_off: TryCounts,
    /// The tries at the other daemons.
    pub others: TryCounts,
}

impl ReachRow {
    /// Returns how often tries at daemons that were cut off were answered, as a share of how often
    /// those at the others were; `None` if one of both had no tries.
    pub fn ratio(&self) -> Option<f64> {
        let others = self.others.answered_share()?;
        Some(self.cut_off.answered_share()? / others)
    }
}

/// The span of time and the daemons that a comparison is about.
#[derive(Clone, Debug)]
pub struct ReachQuery {
    /// The first second of arrival, in Unix seconds.
    pub from_s: u64,
    /// The second after the last one.
    pub until_s: u64,
    /// The VMs that were cut off; if empty, those that logged a service as out of reach in the span.
    pub cut_off: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TryGroup {
    vm: String,
    service: String,
    route: String,
    second: u64,
}

/// The tries and the reach of all daemons.
#[derive(Clone, Debug, Default)]
pub struct ReachHistory {
    tries: BTreeMap<TryGroup, TryCounts>,
    /// The VMs that found a service out of reach, and the Unix seconds at which they did.
    out_of_reach: Vec<(u64, String)>,
}

impl ReachHistory {
    /// Adds a line if it counts tries or says that a service is out of reach.
    pub fn add(&mut self, line: &LogLine<'_>) {
        let Some(vm) = line.vm.as_deref() else {
            return;
        };
        match line.event {
            Event::ServiceOutOfReach => {
                self.out_of_reach.push((line.at_ms / 1_000, vm.to_owned()));
            }
            Event::TriesCounted => self.add_counts(line, vm),
            // One that was refused with its route known is among the counted ones.
            Event::RequestTurnedAway
                if line.route.as_deref() == Some(UNKNOWN) && line.status == Some(UNAVAILABLE) =>
            {
                let tries = TryCounts {
                    tries: 1,
                    ..TryCounts::default()
                };
                self.add_tries(line, vm, line.at_ms / 1_000, tries);
            }
            _ => {}
        }
    }

    fn add_counts(&mut self, line: &LogLine<'_>, vm: &str) {
        let Some(second) = line.second else {
            return;
        };
        let counts = line.tries;
        let failed = counts.refused + counts.broken_off + counts.clients_left;
        let tries = TryCounts {
            tries: counts.served + counts.server_errors + failed,
            served: counts.served,
            served_by_daemons: counts.served_by_daemons,
            server_errors: counts.server_errors,
        };
        self.add_tries(line, vm, second, tries);
    }

    fn add_tries(&mut self, line: &LogLine<'_>, vm: &str, second: u64, tries: TryCounts) {
        let group = TryGroup {
            vm: vm.to_owned(),
            service: line.service.as_deref().unwrap_or(UNKNOWN).to_owned(),
            route: line.route.as_deref().unwrap_or(UNKNOWN).to_owned(),
            second,
        };
        *self.tries.entry(group).or_default() += tries;
    }

    /// Returns the first and the last second with tries, in Unix seconds.
    pub fn span_s(&self) -> Option<(u64, u64)> {
        let seconds = || self.tries.keys().map(|group| group.second);
        Some((seconds().min()?, seconds().max()?))
    }

    /// Returns the Unix second in which a service was first found out of reach.
    pub fn first_out_of_reach_s(&self) -> Option<u64> {
        self.out_of_reach.iter().map(|(second, _)| *second).min()
    }

    /// Returns the VMs that were cut off in a span.
    pub fn cut_off(&self, query: &ReachQuery) -> BTreeSet<String> {
        if !query.cut_off.is_empty() {
            return query.cut_off.clone();
        }
        let in_span = self
            .out_of_reach
            .iter()
            .filter(|(second, _)| (query.from_s..query.until_s).contains(second));
        in_span.map(|(_, vm)| vm.clone()).collect()
    }

    /// Compares both groups of daemons: a row for each service, for each of its routes, and for each
    /// second of each service.
    pub fn compare(&self, query: &ReachQuery) -> Vec<ReachRow> {
        let cut_off = self.cut_off(query);
        let mut rows: BTreeMap<(&str, Option<&str>, Option<u64>), ReachRow> = BTreeMap::new();
        for (group, tries) in &self.tries {
            if !(query.from_s..query.until_s).contains(&group.second) {
                continue;
            }
            let second = group.second - query.from_s;
            let (service, route) = (group.service.as_str(), group.route.as_str());
            for (route, second) in [(None, None), (Some(route), None), (None, Some(second))] {
                let row = rows.entry((service, route, second)).or_default();
                if cut_off.contains(&group.vm) {
                    row.cut_off += *tries;
                } else {
                    row.others += *tries;
                }
            }
        }
        let rows = rows.into_iter();
        rows.map(|((service, route, second), row)| ReachRow {
            service: service.to_owned(),
            route: route.map(str::to_owned),
            second,
            ..row
        })
        .collect()
    }
}

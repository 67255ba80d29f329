//! Reconstructs from the logs which daemon each daemon followed at any time.
//!
//! Owns every change of an upstream (event 1208) and the peer address of each process (event 1001);
//! memory grows with these lines only. Times are those of the VMs' own clocks, so that a cycle of a
//! few milliseconds may be a difference between two clocks.

use crate::line::LogLine;
use bridgevane_events::Event;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The value of `upstream` for a daemon that polls the control source itself.
const SOURCE: &str = "source";
/// The name for a value that a line doesn't contain.
const NOT_SAID: &str = "(not said)";

/// The changes of one daemon's upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamHistory {
    data_centre: String,
    /// Its upstreams and the times since which it followed them, in Unix milliseconds and sorted.
    upstreams: Vec<(u64, String)>,
}

/// The upstreams of all daemons over time.
#[derive(Clone, Debug, Default)]
pub struct TreeHistory {
    daemons: BTreeMap<String, UpstreamHistory>,
    vm_by_peer_address: BTreeMap<String, String>,
}

/// The daemons of one data centre at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TreeRow {
    /// The data centre.
    pub data_centre: String,
    /// The number of daemons with an upstream.
    pub daemons: usize,
    /// The number of daemons that polled the control source.
    pub at_source: usize,
    /// The number of levels from the source down to the deepest daemon that is connected to it.
    pub depth: usize,
    /// The number of daemons that followed each other in a cycle.
    pub in_circles: usize,
    /// The number of daemons that followed a daemon in a cycle, directly or not.
    pub below_circles: usize,
    /// The number of daemons whose upstream isn't in the logs.
    pub unknown: usize,
}

/// Where the path of upstreams from a daemon ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathEnd {
    Depth(usize),
    InCycle,
    BelowCycle,
    Unknown,
}

impl TreeHistory {
    /// Adds a line if it contains a daemon's address or upstream.
    pub fn add(&mut self, line: &LogLine<'_>) {
        let Some(vm) = line.vm.as_deref() else {
            return;
        };
        match (line.event, &line.peers, &line.upstream) {
            (Event::Started, Some(address), _) => {
                let address = address.clone().into_owned();
                self.vm_by_peer_address.insert(address, vm.to_owned());
            }
            (Event::UpstreamChanged, _, Some(upstream)) => {
                let daemon = self.daemons.entry(vm.to_owned()).or_default();
                let data_centre = line.data_centre.as_deref().unwrap_or(NOT_SAID);
                data_centre.clone_into(&mut daemon.data_centre);
                let change = (line.at_ms, upstream.clone().into_owned());
                // The lines of one daemon are in order, unless they come from several files.
                let after = daemon
                    .upstreams
                    .partition_point(|(at, _)| *at <= line.at_ms);
                daemon.upstreams.insert(after, change);
            }
            _ => {}
        }
    }

    /// Returns the times of the first and the last change.
    pub fn span_ms(&self) -> Option<(u64, u64)> {
        let changes = || self.daemons.values().flat_map(|daemon| &daemon.upstreams);
        let first = changes().map(|(at, _)| *at).min()?;
        let last = changes().map(|(at, _)| *at).max()?;
        Some((first, last))
    }

    /// Returns the tree at a time, with one row per data centre.
    pub fn at(&self, at_ms: u64) -> Vec<TreeRow> {
        let upstreams = self.upstreams_at(at_ms);
        let mut rows: BTreeMap<&str, TreeRow> = BTreeMap::new();
        for (vm, upstream) in &upstreams {
            let data_centre = self.daemons[*vm].data_centre.as_str();
            let row = rows.entry(data_centre).or_insert_with(|| TreeRow {
                data_centre: data_centre.to_owned(),
                ..TreeRow::default()
            });
            row.daemons += 1;
            row.at_source += usize::from(*upstream == SOURCE);
            match self.path_end(vm, &upstreams) {
                PathEnd::Depth(depth) => row.depth = row.depth.max(depth),
                PathEnd::InCycle => row.in_circles += 1,
                PathEnd::BelowCycle => row.below_circles += 1,
                PathEnd::Unknown => row.unknown += 1,
            }
        }
        rows.into_values().collect()
    }

    /// Returns the upstream of each daemon that had one.
    fn upstreams_at(&self, at_ms: u64) -> BTreeMap<&str, &str> {
        let upstream_at = |daemon: &'_ UpstreamHistory| {
            let changes = daemon.upstreams.partition_point(|(at, _)| *at <= at_ms);
            changes.checked_sub(1)
        };
        let current = self.daemons.iter().filter_map(|(vm, daemon)| {
            let (_, upstream) = &daemon.upstreams[upstream_at(daemon)?];
            Some((vm.as_str(), upstream.as_str()))
        });
        current.collect()
    }

    fn path_end(&self, start: &str, upstreams: &BTreeMap<&str, &str>) -> PathEnd {
        let mut visited = BTreeSet::new();
        let mut vm = start;
        loop {
            if !visited.insert(vm) {
                return if vm == start {
                    PathEnd::InCycle
                } else {
                    PathEnd::BelowCycle
                };
            }
            match upstreams.get(vm) {
                Some(upstream) if *upstream == SOURCE => return PathEnd::Depth(visited.len()),
                Some(upstream) => match self.vm_by_peer_address.get(*upstream) {
                    Some(next) => vm = next,
                    None => return PathEnd::Unknown,
                },
                None => return PathEnd::Unknown,
            }
        }
    }
}

//! The tree of followers: whom each daemon followed at any moment, by its lines.
//!
//! Owns every change of an upstream (event 1208) and the peer address of each process (1001), and
//! nothing else: memory grows with these lines alone. Moments are those of the VMs' own clocks, so that
//! a circle of a few milliseconds may be a difference between two clocks.

use crate::line::LogLine;
use bridgevane_events::Event;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What `upstream` says of a daemon that asks the control source itself.
const SOURCE: &str = "source";
/// The name of what a line doesn't say.
const NOT_SAID: &str = "(not said)";

/// One daemon's changes.
#[derive(Clone, Debug, Default)]
struct Daemon {
    data_centre: String,
    /// Its upstreams and since when, in milliseconds since 1970; sorted once all lines are in.
    upstreams: Vec<(u64, String)>,
}

/// Whom daemons followed over time.
#[derive(Clone, Debug, Default)]
pub struct TreeHistory {
    daemons: BTreeMap<String, Daemon>,
    vm_by_peer_address: BTreeMap<String, String>,
}

/// The daemons of one data centre at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TreeRow {
    /// The data centre.
    pub data_centre: String,
    /// Daemons that had an upstream.
    pub daemons: usize,
    /// Those that asked the control source.
    pub at_source: usize,
    /// Levels from the source down to the deepest one that reached it.
    pub depth: usize,
    /// Daemons that followed each other in a circle.
    pub in_circles: usize,
    /// Daemons that followed one in a circle, directly or not.
    pub below_circles: usize,
    /// Daemons whose upstream's address stands in no line.
    pub unknown: usize,
}

/// Where a daemon's way leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Depth(usize),
    InCircle,
    BelowCircle,
    Unknown,
}

impl TreeHistory {
    /// Takes a line in, if it says where a daemon is or whom it follows.
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
                // Lines of one daemon come in order, but for those of several files.
                let after = daemon
                    .upstreams
                    .partition_point(|(at, _)| *at <= line.at_ms);
                daemon.upstreams.insert(after, change);
            }
            _ => {}
        }
    }

    /// The first and the last moment of which a line tells.
    pub fn span_ms(&self) -> Option<(u64, u64)> {
        let changes = || self.daemons.values().flat_map(|daemon| &daemon.upstreams);
        let first = changes().map(|(at, _)| *at).min()?;
        let last = changes().map(|(at, _)| *at).max()?;
        Some((first, last))
    }

    /// The tree at a moment, a row for each data centre.
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
            match self.place(vm, &upstreams) {
                Place::Depth(depth) => row.depth = row.depth.max(depth),
                Place::InCircle => row.in_circles += 1,
                Place::BelowCircle => row.below_circles += 1,
                Place::Unknown => row.unknown += 1,
            }
        }
        rows.into_values().collect()
    }

    /// The upstream of each daemon that had one.
    fn upstreams_at(&self, at_ms: u64) -> BTreeMap<&str, &str> {
        let upstream_at = |daemon: &'_ Daemon| {
            let since = daemon.upstreams.partition_point(|(at, _)| *at <= at_ms);
            since.checked_sub(1)
        };
        let current = self.daemons.iter().filter_map(|(vm, daemon)| {
            let (_, upstream) = &daemon.upstreams[upstream_at(daemon)?];
            Some((vm.as_str(), upstream.as_str()))
        });
        current.collect()
    }

    fn place(&self, start: &str, upstreams: &BTreeMap<&str, &str>) -> Place {
        let mut seen = BTreeSet::new();
        let mut vm = start;
        loop {
            if !seen.insert(vm) {
                return if vm == start {
                    Place::InCircle
                } else {
                    Place::BelowCircle
                };
            }
            match upstreams.get(vm) {
                Some(upstream) if *upstream == SOURCE => return Place::Depth(seen.len()),
                Some(upstream) => match self.vm_by_peer_address.get(*upstream) {
                    Some(next) => vm = next,
                    None => return Place::Unknown,
                },
                None => return Place::Unknown,
            }
        }
    }
}

//! A simulated fleet of daemons of which some follow the store and the others each other.

use super::{Daemon, DaemonStart, LinkFaults, PeerNetwork, SimulatedPlatform, TreePlace, WINDOW};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The number of seeds.
const SEEDS: usize = 3;
/// The data centres, among which daemons alternate.
const DATA_CENTRES: [&str; 5] = ["dc-1", "dc-2", "dc-3", "dc-4", "dc-5"];
/// The mean interval between two requests of the whole fleet.
const REQUEST_INTERVAL_MS: u64 = 8;
/// How long after a window's end its usage must have been submitted.
const LATE_MS: u64 = 10_000;

/// A fleet whose daemons form a tree.
pub struct TreeFleet {
    pub platform: SimulatedPlatform,
    network: PeerNetwork,
    size: usize,
    /// Whether daemons follow each other.
    is_tree: bool,
    daemons: BTreeMap<String, Daemon>,
}

/// The windows of a fleet that weren't submitted as they should be.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MissedWindows {
    /// Never submitted.
    pub left_out: BTreeSet<u64>,
    /// Submitted after the time at which they count as missing.
    pub late: BTreeSet<u64>,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 7_000))
}

fn vm(at: usize) -> String {
    format!("vm-{at:03}")
}

impl TreeFleet {
    /// Starts all daemons.
    pub fn start(size: usize) -> Self {
        let mut fleet = Self::without_daemons(size, true);
        (0..size).for_each(|at| fleet.start_daemon(&vm(at), 0));
        fleet
    }

    /// Creates a fleet before its daemons are started. If `is_tree` isn't set, all of them follow the
    /// store.
    pub fn without_daemons(size: usize, is_tree: bool) -> Self {
        Self {
            platform: SimulatedPlatform::new(),
            network: PeerNetwork::default(),
            size,
            is_tree,
            daemons: BTreeMap::new(),
        }
    }

    /// Starts a daemon, in place of the one on this VM; its time of day is ahead by `wall_ahead_ms`.
    pub fn start_daemon(&mut self, name: &str, wall_ahead_ms: i64) {
        self.kill(name);
        let at = (0..self.size).find(|at| vm(*at) == name);
        let at = at.expect("a VM of the fleet");
        // Daemons see different work, so that two of them never have equal counts by chance.
        let own_ms = 5 * (at as u64 % 13);
        let request_ms = REQUEST_INTERVAL_MS * self.size as u64 + own_ms;
        let place = || TreePlace {
            network: self.network.clone(),
            address: address(at),
            seeds: (0..SEEDS).map(address).collect(),
            data_centre: DATA_CENTRES[at % DATA_CENTRES.len().min(self.size / 2)],
        };
        let start = DaemonStart {
            request_interval: Duration::from_millis(request_ms),
            wall_ahead_ms,
            tree: self.is_tree.then(place),
        };
        let daemon = Daemon::start_as(&self.platform, name, start);
        self.daemons.insert(name.to_owned(), daemon);
    }

    pub fn kill(&mut self, name: &str) {
        self.daemons.remove(name);
    }

    pub fn daemon(&self, name: &str) -> Option<&Daemon> {
        self.daemons.get(name)
    }

    /// Returns the VMs of the seeds.
    pub fn seeds(&self) -> Vec<String> {
        (0..SEEDS).map(vm).collect()
    }

    /// Returns all VMs.
    pub fn vms(&self) -> Vec<String> {
        (0..self.size).map(vm).collect()
    }

    /// Returns the holder according to the store; panics if there is none.
    pub fn holder(&self) -> String {
        self.platform.holder().expect("a holder")
    }

    /// Returns the VMs whose daemons follow the store themselves.
    pub fn following_source(&self) -> Vec<String> {
        let daemons = self.daemons.iter();
        let following = daemons.filter(|(_, daemon)| daemon.follows_source());
        following.map(|(name, _)| name.clone()).collect()
    }

    /// Cuts VMs off from the store, or ends that.
    pub fn cut_store(&self, names: &[String], is_cut: bool) {
        for name in names {
            let faults = LinkFaults {
                store_cut: is_cut,
                ..LinkFaults::default()
            };
            self.platform.set_faults(name, faults);
        }
    }

    /// Takes the store away, and brings it back from a copy.
    pub async fn drill(&self, copy: &super::StoreCopy, away: Duration) {
        self.platform.set_silent(true);
        sleep(away).await;
        self.platform.come_back_from(copy);
        self.platform.set_silent(false);
    }

    /// Returns the number of the current window by the true time of day.
    pub fn current_window(&self) -> u64 {
        self.platform.time_of_day().0 / WINDOW.as_millis() as u64
    }

    /// Returns the windows from `first` on that the platform should have by now and got too late
    /// or not at all.
    pub fn missed_windows(&self, first: u64) -> MissedWindows {
        let mut missed = MissedWindows::default();
        let now_ms = self.platform.time_of_day().0;
        let width_ms = WINDOW.as_millis() as u64;
        let submitted: BTreeMap<u64, u64> = self.platform.first_submissions();
        for window in first.. {
            let late_from_ms = (window + 1) * width_ms + LATE_MS;
            if late_from_ms > now_ms {
                break;
            }
            match submitted.get(&window) {
                None => drop(missed.left_out.insert(window)),
                Some(at_ms) if *at_ms >= late_from_ms => drop(missed.late.insert(window)),
                Some(_) => {}
            }
        }
        missed
    }
}

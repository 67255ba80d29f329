//! The fleet: what this daemon knows of the other daemons.
//!
//! Owns its followers, the number of daemons, and the reports of prompts that others have sent,
//! each behind a lock that no request takes. All of it is lost with the process and heard again
//! within seconds.

use crate::clock::Clock;
use crate::decisions::replication::fleet_size::FleetSize;
use crate::decisions::replication::followers::{Follower, FollowerPlacement, Followers};
use crate::endpoints::directory::Directory;
use crate::pending_prefill::PendingPrefill;
use crate::replication::pending_reports::PendingReports;
use crate::settings::GatewaySettings;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// The other daemons.
#[derive(Debug)]
pub struct Fleet {
    clock: Clock,
    own_address: Option<SocketAddr>,
    seed_addresses: Vec<SocketAddr>,
    followers: Mutex<Followers>,
    size: Mutex<FleetSize>,
    reports: Mutex<PendingReports>,
}

impl Fleet {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        Self {
            clock,
            own_address: settings.peer_address,
            seed_addresses: settings.seed_addresses.clone(),
            followers: Mutex::new(Followers::new(settings.data_centre.clone())),
            size: Mutex::default(),
            reports: Mutex::default(),
        }
    }

    fn followers(&self) -> MutexGuard<'_, Followers> {
        self.followers.lock().expect("no panic under this lock")
    }

    fn size_lock(&self) -> MutexGuard<'_, FleetSize> {
        self.size.lock().expect("no panic under this lock")
    }

    fn reports(&self) -> MutexGuard<'_, PendingReports> {
        self.reports.lock().expect("no panic under this lock")
    }

    /// This daemon's address among the seeds; none on a daemon that is no seed.
    fn own_seed_address(&self) -> Option<SocketAddr> {
        let own = self.own_address?;
        self.seed_addresses.contains(&own).then_some(own)
    }

    /// The other seeds, if this daemon is one; a daemon that is none has nothing to exchange with
    /// them.
    pub(crate) fn other_seeds(&self) -> Vec<SocketAddr> {
        let Some(own) = self.own_seed_address() else {
            return Vec::new();
        };
        let seeds = self.seed_addresses.iter().copied();
        seeds.filter(|seed| *seed != own).collect()
    }

    /// Where a daemon that asks is answered.
    pub(crate) fn place(&self, follower: Follower) -> FollowerPlacement {
        self.followers().place(self.clock.now(), follower)
    }

    /// Daemons that follow this one, directly or not, itself included.
    pub(crate) fn tree_size(&self) -> u32 {
        self.followers().tree_size(self.clock.now())
    }

    /// How many daemons there are, as far as this one knows.
    pub(crate) fn size(&self) -> Option<u32> {
        self.size_lock().daemons()
    }

    /// Another daemon reports how many there are (0: it doesn't know); gives what counts now.
    pub(crate) fn on_size_report(&self, daemons: u32) -> Option<u32> {
        let mut size = self.size_lock();
        size.on_report(self.clock.now(), daemons);
        size.daemons()
    }

    /// On a seed: takes the other seeds' trees to be as large as its own; gives what counts now.
    pub(crate) fn estimate_size(&self) -> Option<u32> {
        self.own_seed_address()?;
        let seeds = self.seed_addresses.len() as u32;
        self.on_size_report(self.tree_size().saturating_mul(seeds))
    }

    /// Prompts that daemons of this one's tree have sent and that were not read yet, its own
    /// included.
    pub(crate) fn tree_pending(&self, directory: &Directory) -> PendingPrefill {
        let mut pending = own_pending(directory);
        let followers = self.followers().pending_prefill(self.clock.now());
        pending.add_all(&followers);
        pending
    }

    /// The same of all daemons, as far as this one knows.
    pub(crate) fn total_pending(&self, directory: &Directory) -> PendingPrefill {
        let tree = self.tree_pending(directory);
        self.reports().total(self.clock.now(), &tree)
    }

    /// The upstream reports the total, and what of it isn't this daemon's.
    pub(crate) fn on_total_report(
        &self,
        directory: &Directory,
        total: PendingPrefill,
        others: &PendingPrefill,
    ) {
        let now = self.clock.now();
        self.reports().on_total(now, total);
        self.set_others_pending(directory, others);
    }

    /// Another seed reports that of its tree.
    pub(crate) fn on_seed_report(
        &self,
        directory: &Directory,
        seed: SocketAddr,
        pending: PendingPrefill,
    ) {
        let now = self.clock.now();
        self.reports().on_seed(now, seed, pending);
        self.update_others_pending(directory);
    }

    /// On a daemon that follows no other: works out what of the total isn't its own.
    pub(crate) fn update_others_pending(&self, directory: &Directory) {
        let total = self.total_pending(directory);
        let others = total.without(&own_pending(directory));
        self.set_others_pending(directory, &others);
    }

    fn set_others_pending(&self, directory: &Directory, others: &PendingPrefill) {
        let now = self.clock.now();
        for endpoint in directory.endpoints() {
            let tokens = others.at(endpoint.hash);
            endpoint.load.on_peers_report(now, tokens);
        }
    }
}

/// Prompts that this daemon has sent and that were not read yet.
pub(crate) fn own_pending(directory: &Directory) -> PendingPrefill {
    let mut pending = PendingPrefill::default();
    for endpoint in directory.endpoints() {
        pending.add(endpoint.hash, endpoint.load.own_prefill_tokens());
    }
    pending
}

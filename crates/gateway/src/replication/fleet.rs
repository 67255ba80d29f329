//! The fleet: this daemon's knowledge of the other daemons.
//!
//! Owns the followers, the path to the source, the number of daemons, and the reports of others'
//! work, each behind a lock that no request takes. The state is lost with the process and received
//! again within seconds.

use crate::clock::Clock;
use crate::decisions::replication::fleet_size::FleetSize;
use crate::decisions::replication::followers::{Follower, FollowerPlacement, Followers, Subtree};
use crate::decisions::replication::source_path::SourcePath;
use crate::endpoints::directory::Directory;
use crate::replication::work_reports::WorkReports;
use crate::settings::GatewaySettings;
use crate::work_by_endpoint::{Work, WorkByEndpoint};
use bridgevane_types::{TimeMs, VmId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// A daemon that reported a newer proof than this one's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FresherDaemon {
    pub(crate) address: SocketAddr,
    /// When its configuration was proved to be the newest, by this daemon's clock.
    pub(crate) proved_at: TimeMs,
}

/// The other daemons.
#[derive(Debug)]
pub struct Fleet {
    clock: Clock,
    own_address: Option<SocketAddr>,
    seed_addresses: Vec<SocketAddr>,
    followers: Mutex<Followers>,
    path: Mutex<SourcePath>,
    fresher_daemon: Mutex<Option<FresherDaemon>>,
    newer_configuration: Mutex<Option<SocketAddr>>,
    /// Wakes the task that follows the source when `newer_configuration` was set.
    newer_configuration_set: Notify,
    /// Wakes the task that follows the source when `fresher_daemon` was set.
    fresher_daemon_set: Notify,
    size: Mutex<FleetSize>,
    /// The value of `size`, for requests; 0: unknown.
    known_size: AtomicU32,
    reports: Mutex<WorkReports>,
}

impl Fleet {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        Self {
            clock,
            own_address: settings.peer_address,
            seed_addresses: settings.seed_addresses.clone(),
            followers: Mutex::new(Followers::new(settings.data_centre.clone())),
            path: Mutex::default(),
            fresher_daemon: Mutex::default(),
            newer_configuration: Mutex::default(),
            newer_configuration_set: Notify::new(),
            fresher_daemon_set: Notify::new(),
            size: Mutex::default(),
            known_size: AtomicU32::new(0),
            reports: Mutex::default(),
        }
    }

    fn followers(&self) -> MutexGuard<'_, Followers> {
        self.followers.lock().expect("no panic under this lock")
    }

    fn size_lock(&self) -> MutexGuard<'_, FleetSize> {
        self.size.lock().expect("no panic under this lock")
    }

    fn reports(&self) -> MutexGuard<'_, WorkReports> {
        self.reports.lock().expect("no panic under this lock")
    }

    /// Returns whether this daemon is one of the seeds.
    pub(crate) fn is_seed(&self) -> bool {
        self.own_seed_address().is_some()
    }

    /// Returns this daemon's address among the seeds; none if it isn't a seed.
    fn own_seed_address(&self) -> Option<SocketAddr> {
        let own = self.own_address?;
        self.seed_addresses.contains(&own).then_some(own)
    }

    /// Returns this daemon's position in the list of seeds; none if it isn't a seed.
    pub(crate) fn seed_position(&self) -> Option<usize> {
        let own = self.own_seed_address()?;
        self.seed_addresses.iter().position(|seed| *seed == own)
    }

    /// Returns whether this daemon follows the control source itself.
    pub(crate) fn follows_source(&self) -> bool {
        let path = self.path();
        path.reaches_source() && path.daemons().is_empty()
    }

    /// Returns the other seeds if this daemon is a seed, else none: only seeds exchange reports
    /// with seeds.
    pub(crate) fn other_seeds(&self) -> Vec<SocketAddr> {
        let Some(own) = self.own_seed_address() else {
            return Vec::new();
        };
        let seeds = self.seed_addresses.iter().copied();
        seeds.filter(|seed| *seed != own).collect()
    }

    /// Returns the seeds.
    pub(crate) fn seed_addresses(&self) -> &[SocketAddr] {
        &self.seed_addresses
    }

    /// Returns this daemon's path to the source.
    pub fn path(&self) -> SourcePath {
        self.path.lock().expect("no panic under this lock").clone()
    }

    /// Sets this daemon's path to the source.
    pub fn set_path(&self, path: SourcePath) {
        *self.path.lock().expect("no panic under this lock") = path;
    }

    /// Remembers the daemon with the newest of the reported proofs; called while this daemon's own
    /// proof is old.
    pub(crate) fn on_proof_report(&self, report: FresherDaemon) {
        let mut fresher_daemon = self
            .fresher_daemon
            .lock()
            .expect("no panic under this lock");
        if fresher_daemon.is_none_or(|known| known.proved_at <= report.proved_at) {
            *fresher_daemon = Some(report);
            self.fresher_daemon_set.notify_one();
        }
    }

    /// Waits until a daemon has reported a newer proof that wasn't taken yet.
    pub(crate) async fn wait_for_fresher_daemon(&self) {
        while !self.has_fresher_daemon() {
            self.fresher_daemon_set.notified().await;
        }
    }

    fn has_fresher_daemon(&self) -> bool {
        let fresher_daemon = self
            .fresher_daemon
            .lock()
            .expect("no panic under this lock");
        fresher_daemon.is_some()
    }

    /// Takes the daemon with the newest proof that was reported since the last call.
    pub(crate) fn take_fresher_daemon(&self) -> Option<FresherDaemon> {
        self.fresher_daemon
            .lock()
            .expect("no panic under this lock")
            .take()
    }

    /// Remembers a daemon with a newer configuration that the source doesn't list any more.
    pub(crate) fn on_newer_configuration(&self, daemon: SocketAddr) {
        *self.newer_configuration_lock() = Some(daemon);
        self.newer_configuration_set.notify_one();
    }

    /// Waits until a daemon with a newer configuration is remembered.
    pub(crate) async fn wait_for_newer_configuration(&self) {
        while self.newer_configuration_lock().is_none() {
            self.newer_configuration_set.notified().await;
        }
    }

    /// Takes the daemon that was last remembered so.
    pub(crate) fn take_newer_configuration(&self) -> Option<SocketAddr> {
        self.newer_configuration_lock().take()
    }

    fn newer_configuration_lock(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.newer_configuration
            .lock()
            .expect("no panic under this lock")
    }

    /// Decides which daemon answers a follower.
    pub(crate) fn place_follower(&self, follower: Follower) -> FollowerPlacement {
        let path = self.path();
        self.followers().place(self.clock.now(), follower, &path)
    }

    /// Records that a follower's poll was answered.
    pub(crate) fn on_follower_answered(&self, vm: &VmId) {
        self.followers().on_answered(self.clock.now(), vm);
    }

    /// Returns some other followers in the data centre of `vm`.
    pub(crate) fn siblings(&self, vm: &VmId) -> Vec<SocketAddr> {
        self.followers().siblings(self.clock.now(), vm)
    }

    /// Returns the number of daemons, if known.
    pub(crate) fn size(&self) -> Option<u32> {
        let known_size = self.known_size.load(Ordering::Relaxed);
        (known_size > 0).then_some(known_size)
    }

    /// Applies a report on the number of daemons (0: unknown); returns the number that is now
    /// assumed.
    pub(crate) fn on_size_report(&self, daemons: u32) -> Option<u32> {
        let mut size = self.size_lock();
        size.on_report(self.clock.now(), daemons);
        let known = size.daemons();
        self.known_size.store(known.unwrap_or(0), Ordering::Relaxed);
        known
    }

    /// On a seed, estimates the number of daemons by assuming that the other seeds' subtrees are as
    /// large as its own; returns the number that is now assumed.
    pub(crate) fn estimate_size(&self, directory: &Directory) -> Option<u32> {
        self.own_seed_address()?;
        let seeds = self.seed_addresses.len() as u32;
        let subtree = self.own_subtree(directory, None);
        self.on_size_report(subtree.size.saturating_mul(seeds))
    }

    /// Returns this daemon's subtree as it is reported to `peer`, without the part that `peer`
    /// reported itself. Seeds exchange their subtrees among themselves, so a seed that follows this
    /// one for a while isn't counted.
    pub(crate) fn own_subtree(&self, directory: &Directory, peer: Option<SocketAddr>) -> Subtree {
        let is_seed = self.is_seed();
        let is_counted = |follower: &Follower| {
            let is_other_seed = is_seed && self.seed_addresses.contains(&follower.address);
            Some(follower.address) != peer && !is_other_seed
        };
        let now = self.clock.now();
        self.followers()
            .subtree(now, own_work(now, directory), is_counted)
    }

    /// Returns the work of all daemons, as far as this one knows.
    pub(crate) fn total_work(&self, directory: &Directory) -> WorkByEndpoint {
        let subtree = self.own_subtree(directory, None);
        self.reports().total(self.clock.now(), &subtree.work)
    }

    /// Applies the upstream's report of the total work, and of the part that isn't this daemon's.
    pub(crate) fn on_total_report(
        &self,
        directory: &Directory,
        total: WorkByEndpoint,
        others: &WorkByEndpoint,
    ) {
        let now = self.clock.now();
        self.reports().on_total(now, total);
        self.set_others_work(directory, others);
    }

    /// Applies another seed's report of the work in its subtree.
    pub(crate) fn on_seed_report(
        &self,
        directory: &Directory,
        seed: SocketAddr,
        work: WorkByEndpoint,
    ) {
        let now = self.clock.now();
        self.reports().on_seed(now, seed, work);
        self.update_others_work(directory);
    }

    /// Returns how many of the other seeds that reported recently have a smaller address.
    pub(crate) fn live_seeds_before(&self) -> usize {
        let Some(own) = self.own_seed_address() else {
            return 0;
        };
        self.reports().live_seeds_before(self.clock.now(), own)
    }

    /// On a daemon that doesn't follow another one, computes the part of the total work that isn't
    /// its own.
    pub(crate) fn update_others_work(&self, directory: &Directory) {
        let total = self.total_work(directory);
        let others = total.minus(&own_work(self.clock.now(), directory));
        self.set_others_work(directory, &others);
    }

    fn set_others_work(&self, directory: &Directory, others: &WorkByEndpoint) {
        let now = self.clock.now();
        for endpoint in directory.endpoints() {
            let work = others.for_endpoint(endpoint.hash);
            endpoint.load.on_peers_report(now, work);
            if let Some(work_time) = work.work_time {
                endpoint.pace.on_peers_report(now, work_time);
            }
        }
    }
}

/// Returns the work that this daemon has under way.
pub(crate) fn own_work(now: TimeMs, directory: &Directory) -> WorkByEndpoint {
    let mut work = WorkByEndpoint::default();
    for endpoint in directory.endpoints() {
        let own = endpoint.load.own_work();
        // Most endpoints have no work of this daemon, and their lock isn't taken.
        if !own.is_zero() {
            let work_time = endpoint.pace.own_lowest(now);
            work.add(endpoint.hash, Work { work_time, ..own });
        }
    }
    work
}

//! Followers: the daemons that follow this one, and where other daemons are redirected.
//!
//! Inputs: a daemon that polls (its VM, data centre, address and subtree), those that polled
//! recently, and this daemon's own source path.
//!
//! Rule: a few daemons of each data centre are served here; any other is redirected to the one of
//! them with the smallest subtree, counting the daemons that were redirected to it just now. A
//! daemon through which this one follows the source isn't served: it would follow itself. No daemon
//! plans the resulting tree, and the load on one daemon doesn't grow with the fleet.
//!
//! Choosing the smallest subtree keeps the tree shallow. See docs/design/14 (calls of the store by
//! a large fleet fell from 8,283 to 1,835) and docs/design/15 (depth).
//!
//! The subtree that a daemon reports to another one leaves out what that one reported itself: two
//! daemons that follow each other for a moment, while seeds are unreachable, would count each
//! other's work repeatedly (461 requests were reported at an engine that had 10).
//!
//! Tests: `upstream.rs::followers_are_limited…`, `a_subtree_counts…`, `a_silent_follower…`,
//! `follow_tree.rs`.

use super::source_path::{MAX_LOCAL_FOLLOWERS, SourcePath};
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of followers of each other data centre. Traffic between data centres costs
/// more; the second follower remains when the first fails.
const MAX_REMOTE_FOLLOWERS: usize = 2;
/// How long a follower is kept after its last response if it sends no poll: over three times the
/// 600 ms for which a poll is held.
const FOLLOWER_TTL: DurationMs = DurationMs(2_000);
/// How long a redirected daemon is counted separately until its new parent's subtree includes it.
/// It may be redirected further, and reports of subtrees come up level by level.
const REDIRECT_TTL: DurationMs = DurationMs(2_000);
/// The number of siblings in one response. Seeds and ancestors are tried before them.
const MAX_SIBLINGS: usize = 3;
/// The largest subtree that counts. No fleet has so many daemons.
const MAX_TREE_SIZE: u32 = 10_000;
/// The deepest subtree that counts. Eight followers at each level reach any fleet in five levels.
/// Daemons that follow each other in a cycle would count each other without end, at a greater depth
/// each time.
const MAX_TREE_DEPTH: u32 = 8;

/// A daemon that polls this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address at which it can be polled itself.
    pub address: SocketAddr,
    /// The daemon itself and those that follow it, directly or not.
    pub subtree: Subtree,
}

/// A daemon and those that follow it, directly or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subtree {
    /// The number of daemons.
    pub size: u32,
    /// The number of daemons on the longest path down, the first one included.
    pub depth: u32,
    /// The work that they have in progress.
    pub work: WorkByEndpoint,
}

/// Where a daemon that polls is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerPlacement {
    /// By this daemon.
    Here,
    /// By the daemon at this address from now on.
    Redirect(SocketAddr),
    /// Not at all: this daemon follows it, directly or not.
    Cycle,
}

#[derive(Debug)]
struct KnownFollower {
    follower: Follower,
    /// When it last polled, or got its response.
    seen_at: TimeMs,
    /// The number of daemons that were redirected to it and may not be in its subtree yet.
    redirected: u32,
    redirected_at: TimeMs,
}

impl KnownFollower {
    fn is_current(&self, now: TimeMs) -> bool {
        now.since(self.seen_at) < FOLLOWER_TTL
    }

    /// Records a new poll with its current subtree.
    fn update(&mut self, now: TimeMs, follower: Follower) {
        let grown_by = follower
            .subtree
            .size
            .saturating_sub(self.follower.subtree.size);
        self.redirected = self.redirected.saturating_sub(grown_by);
        self.seen_at = now;
        self.follower = follower;
    }

    /// Returns the size of its subtree, including daemons just redirected to it.
    fn expected_size(&self, now: TimeMs) -> u32 {
        let is_redirect_recent = now.since(self.redirected_at) < REDIRECT_TTL;
        let redirected = if is_redirect_recent {
            self.redirected
        } else {
            0
        };
        self.follower.subtree.size.max(1).saturating_add(redirected)
    }
}

/// The followers of one daemon.
#[derive(Debug)]
pub struct Followers {
    own_data_centre: DataCentreId,
    by_vm: BTreeMap<VmId, KnownFollower>,
}

impl Followers {
    /// Creates an empty set for a daemon of this data centre.
    pub fn new(own_data_centre: DataCentreId) -> Self {
        Self {
            own_data_centre,
            by_vm: BTreeMap::new(),
        }
    }

    /// Decides where a daemon that polls is served; `own_path` is the source path of the daemon
    /// that decides.
    pub fn place(
        &mut self,
        now: TimeMs,
        follower: Follower,
        own_path: &SourcePath,
    ) -> FollowerPlacement {
        self.by_vm.retain(|_, known| known.is_current(now));
        if own_path.contains(follower.address) {
            self.by_vm.remove(&follower.vm);
            return FollowerPlacement::Cycle;
        }
        if let Some(known) = self.by_vm.get_mut(&follower.vm) {
            known.update(now, follower);
            return FollowerPlacement::Here;
        }
        let max_followers = if follower.data_centre == self.own_data_centre {
            MAX_LOCAL_FOLLOWERS
        } else {
            MAX_REMOTE_FOLLOWERS
        };
        let neighbours = self
            .by_vm
            .values_mut()
            .filter(|known| known.follower.data_centre == follower.data_centre);
        let neighbours: Vec<&mut KnownFollower> = neighbours.collect();
        if neighbours.len() < max_followers {
            self.add(now, follower);
            return FollowerPlacement::Here;
        }
        let smallest = neighbours
            .into_iter()
            .min_by_key(|known| known.expected_size(now));
        smallest.map_or(FollowerPlacement::Here, |known| {
            let joining_size = follower.subtree.size.max(1);
            known.redirected =
                known.expected_size(now) - known.follower.subtree.size.max(1) + joining_size;
            known.redirected_at = now;
            FollowerPlacement::Redirect(known.follower.address)
        })
    }

    /// Records the response to a follower's poll: the follower's timeout starts again.
    pub fn on_answered(&mut self, now: TimeMs, vm: &VmId) {
        if let Some(known) = self.by_vm.get_mut(vm) {
            known.seen_at = now;
        }
    }

    /// Returns some followers of the same data centre as `vm`, without `vm` itself.
    pub fn siblings(&self, now: TimeMs, vm: &VmId) -> Vec<SocketAddr> {
        let Some(known) = self.by_vm.get(vm) else {
            return Vec::new();
        };
        let data_centre = &known.follower.data_centre;
        let is_sibling = |other: &&Follower| other.vm != *vm && other.data_centre == *data_centre;
        // Starts after `vm` in order, so that not all responses name the same few.
        let (before, after): (Vec<&Follower>, Vec<&Follower>) =
            (self.current(now).filter(is_sibling)).partition(|other| other.vm < *vm);
        let rotated = after.into_iter().chain(before);
        rotated
            .map(|other| other.address)
            .take(MAX_SIBLINGS)
            .collect()
    }

    fn add(&mut self, now: TimeMs, follower: Follower) {
        let known = KnownFollower {
            seen_at: now,
            redirected: 0,
            redirected_at: TimeMs(0),
            follower,
        };
        self.by_vm.insert(known.follower.vm.clone(), known);
    }

    fn current(&self, now: TimeMs) -> impl Iterator<Item = &Follower> {
        let known = self.by_vm.values();
        let current = known.filter(move |known| known.is_current(now));
        current.map(|known| &known.follower)
    }

    /// Returns this daemon's subtree with its own work, limited to the followers for which
    /// `is_counted` holds.
    pub fn subtree(
        &self,
        now: TimeMs,
        own_work: WorkByEndpoint,
        is_counted: impl Fn(&Follower) -> bool,
    ) -> Subtree {
        let mut subtree = Subtree {
            size: 1,
            depth: 1,
            work: own_work,
        };
        for follower in self.current(now) {
            if follower.subtree.depth < MAX_TREE_DEPTH && is_counted(follower) {
                let size = follower.subtree.size.clamp(1, MAX_TREE_SIZE);
                subtree.size = subtree.size.saturating_add(size);
                subtree.depth = subtree.depth.max(follower.subtree.depth + 1);
                subtree.work.add_all(&follower.subtree.work);
            }
        }
        subtree
    }

    /// Returns the number of followers known at the last poll.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Returns whether no follower was known at the last poll.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}

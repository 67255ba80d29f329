//! Followers: which daemons follow this one, and where the others are sent.
//!
//! Inputs: a daemon that asks (its VM, data centre, address and tree), those that asked lately, and
//! this daemon's own source path.
//!
//! Rule: a few daemons of each data centre are answered here; any other is redirected to the one of
//! them that has the smallest tree, counting those that were redirected to it just now. A daemon through
//! which this one follows the source isn't answered: it would follow itself. The tree that comes of it
//! is planned by nobody, and the cost of being followed doesn't grow with the fleet.
//!
//! Measured: commit 19dad9b, docs/design/14 (calls of the store on a grown day 8,283 to 1,835);
//! docs/design/15 (depth by the smallest tree).
//!
//! What a daemon reports of its tree to another one leaves out what that one reported itself: two that
//! follow each other for a moment, while seeds are away, would count each other's work again and again
//! (apie-arena-grown scale-2, seconds 4 to 15: 461 requests reported at an engine that had 10).
//!
//! Tests: `upstream.rs::followers_are_few…`, `a_tree_counts…`, `a_follower_that_asks_no_more…`,
//! `follow_tree.rs`.

use super::source_path::{MAX_LOCAL_FOLLOWERS, SourcePath};
use crate::work_by_endpoint::WorkByEndpoint;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Followers of each other data centre. Not measured, chosen because bytes between data centres
/// cost more, and the second is there when the first fails.
const MAX_REMOTE_FOLLOWERS: usize = 2;
/// A follower that asks nothing for so long after its last answer is gone. Not measured, chosen because
/// it is over three times the 600 ms for which a question is held.
const FOLLOWER_TTL: DurationMs = DurationMs(2_000);
/// A redirected daemon is there by then, and counted in the tree. Not measured, chosen because it may
/// be redirected further, and reports of trees come up level by level.
const REDIRECT_TTL: DurationMs = DurationMs(2_000);
/// Siblings that one answer names. Not measured, chosen because the seeds and the ancestors are tried
/// before them.
const MAX_SIBLINGS: usize = 3;
/// The largest tree that counts. Chosen because no fleet has so many daemons.
const MAX_TREE_SIZE: u32 = 10_000;
/// The deepest tree that counts. Chosen because eight at each level reach any fleet in five; daemons
/// that follow each other in a circle would count each other for ever, and get deeper each time.
const MAX_TREE_DEPTH: u32 = 8;

/// A daemon that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it can be asked itself.
    pub address: SocketAddr,
    /// The daemons that follow it, directly or not, and itself.
    pub tree: Tree,
}

/// A daemon and those that follow it, directly or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// How many daemons these are.
    pub size: u32,
    /// Daemons on the longest way down, the first one included.
    pub depth: u32,
    /// The work that they have under way.
    pub work: WorkByEndpoint,
}

/// Whether a daemon is answered here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerPlacement {
    /// It is.
    Here,
    /// It asks there from now on.
    Redirect(SocketAddr),
    /// This daemon follows it, directly or not.
    Circle,
}

#[derive(Debug)]
struct KnownFollower {
    follower: Follower,
    /// When it last asked, or got its answer.
    seen_at: TimeMs,
    /// Daemons that were redirected to it and may not be in its tree yet.
    redirected: u32,
    redirected_at: TimeMs,
}

impl KnownFollower {
    fn is_current(&self, now: TimeMs) -> bool {
        now.since(self.seen_at) < FOLLOWER_TTL
    }

    /// It asks again, with what its tree is now.
    fn renew(&mut self, now: TimeMs, follower: Follower) {
        let grown_by = follower.tree.size.saturating_sub(self.follower.tree.size);
        self.redirected = self.redirected.saturating_sub(grown_by);
        self.seen_at = now;
        self.follower = follower;
    }

    /// Daemons in its tree, and those that are on their way there.
    fn expected_size(&self, now: TimeMs) -> u32 {
        let is_expected = now.since(self.redirected_at) < REDIRECT_TTL;
        let redirected = if is_expected { self.redirected } else { 0 };
        self.follower.tree.size.max(1).saturating_add(redirected)
    }
}

/// The followers of one daemon.
#[derive(Debug)]
pub struct Followers {
    own_data_centre: DataCentreId,
    by_vm: BTreeMap<VmId, KnownFollower>,
}

impl Followers {
    /// No followers yet, at a daemon of this data centre.
    pub fn new(own_data_centre: DataCentreId) -> Self {
        Self {
            own_data_centre,
            by_vm: BTreeMap::new(),
        }
    }

    /// A daemon asks; says where it is answered, by a daemon with this source path.
    pub fn place(
        &mut self,
        now: TimeMs,
        follower: Follower,
        own_path: &SourcePath,
    ) -> FollowerPlacement {
        self.by_vm.retain(|_, known| known.is_current(now));
        if own_path.contains(follower.address) {
            self.by_vm.remove(&follower.vm);
            return FollowerPlacement::Circle;
        }
        if let Some(known) = self.by_vm.get_mut(&follower.vm) {
            known.renew(now, follower);
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
            let joining = follower.tree.size.max(1);
            known.redirected = known.expected_size(now) - known.follower.tree.size.max(1) + joining;
            known.redirected_at = now;
            FollowerPlacement::Redirect(known.follower.address)
        })
    }

    /// A follower's question was answered: from now on it may take its time until the next one.
    pub fn on_answered(&mut self, now: TimeMs, vm: &VmId) {
        if let Some(known) = self.by_vm.get_mut(vm) {
            known.seen_at = now;
        }
    }

    /// Some followers of the same data centre as `vm`, without itself.
    pub fn siblings(&self, now: TimeMs, vm: &VmId) -> Vec<SocketAddr> {
        let Some(known) = self.by_vm.get(vm) else {
            return Vec::new();
        };
        let data_centre = &known.follower.data_centre;
        let is_sibling = |other: &&Follower| other.vm != *vm && other.data_centre == *data_centre;
        // Those after it in order: not all of them name the same few.
        let (before, after): (Vec<&Follower>, Vec<&Follower>) =
            (self.current(now).filter(is_sibling)).partition(|other| other.vm < *vm);
        let in_turn = after.into_iter().chain(before);
        in_turn
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

    /// The tree below this daemon, whose own work is given: of the followers that `is_counted`.
    pub fn tree(
        &self,
        now: TimeMs,
        own_work: WorkByEndpoint,
        is_counted: impl Fn(&Follower) -> bool,
    ) -> Tree {
        let mut tree = Tree {
            size: 1,
            depth: 1,
            work: own_work,
        };
        for follower in self.current(now) {
            if follower.tree.depth < MAX_TREE_DEPTH && is_counted(follower) {
                let size = follower.tree.size.clamp(1, MAX_TREE_SIZE);
                tree.size = tree.size.saturating_add(size);
                tree.depth = tree.depth.max(follower.tree.depth + 1);
                tree.work.add_all(&follower.tree.work);
            }
        }
        tree
    }

    /// How many followers were known when one last asked.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether there were none.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}

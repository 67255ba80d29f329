//! The daemons that follow this one: a few of each data centre. Others are sent on to one of
//! those, so that the cost of being followed doesn't grow with the fleet.

use crate::replication::work::Work;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Followers of this daemon's own data centre.
const MAX_NEAR: usize = 8;
/// Followers of each other data centre.
const MAX_FAR: usize = 2;
/// A follower that asks nothing for so long is gone.
const LIFETIME: DurationMs = DurationMs(2_000);

/// More daemons than any fleet has; two that follow each other would count each other forever.
const MAX_TREE: u32 = 10_000;

/// A daemon that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it can be asked itself.
    pub address: SocketAddr,
    /// Daemons that follow it, directly or not, itself included.
    pub tree_size: u32,
    /// What these have under way.
    pub tree_work: Work,
}

/// Whether a daemon is answered here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Here,
    /// It shall ask there from now on.
    Redirect(SocketAddr),
}

#[derive(Debug)]
struct Known {
    follower: Follower,
    asked_at: TimeMs,
    /// Daemons that were sent on to it.
    redirected: u32,
}

/// The followers.
#[derive(Debug)]
pub struct Downstreams {
    own_data_centre: DataCentreId,
    by_vm: BTreeMap<VmId, Known>,
}

impl Downstreams {
    /// Nobody follows a daemon of this data centre yet.
    pub fn new(own_data_centre: DataCentreId) -> Self {
        Self {
            own_data_centre,
            by_vm: BTreeMap::new(),
        }
    }

    /// Notes that a daemon asks; says where it shall ask from now on.
    pub fn admit(&mut self, now: TimeMs, follower: Follower) -> Admission {
        self.by_vm
            .retain(|_, known| now.since(known.asked_at) < LIFETIME);
        if let Some(known) = self.by_vm.get_mut(&follower.vm) {
            known.asked_at = now;
            known.follower = follower;
            return Admission::Here;
        }
        let most = if follower.data_centre == self.own_data_centre {
            MAX_NEAR
        } else {
            MAX_FAR
        };
        let near = self
            .by_vm
            .values_mut()
            .filter(|known| known.follower.data_centre == follower.data_centre);
        let near: Vec<&mut Known> = near.collect();
        if near.len() < most {
            let vm = follower.vm.clone();
            let known = Known {
                follower,
                asked_at: now,
                redirected: 0,
            };
            self.by_vm.insert(vm, known);
            return Admission::Here;
        }
        let least = near.into_iter().min_by_key(|known| known.redirected);
        least.map_or(Admission::Here, |known| {
            known.redirected += 1;
            Admission::Redirect(known.follower.address)
        })
    }

    /// Daemons that follow this one, directly or not, itself included.
    pub fn tree_size(&self, now: TimeMs) -> u32 {
        let lately = |known: &&Known| now.since(known.asked_at) < LIFETIME;
        let known = self.by_vm.values().filter(lately);
        let sizes = known.map(|known| known.follower.tree_size.clamp(1, MAX_TREE));
        sizes.fold(1, u32::saturating_add)
    }

    /// What daemons that follow this one, directly or not, have under way.
    pub fn work(&self, now: TimeMs) -> Work {
        let mut work = Work::default();
        let lately = |known: &&Known| now.since(known.asked_at) < LIFETIME;
        for known in self.by_vm.values().filter(lately) {
            work.add_all(&known.follower.tree_work);
        }
        work
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}

//! Who lives in a data centre.
//!
//! Every node sends heartbeats to its successors in the ring of names and hears theirs;
//! updates travel with heartbeats. A neighbour that is silent is suspected by its watchers;
//! it counts as dead when enough of them say so and it hasn't refuted in time. The split
//! into a private suspicion and a confirmed one is that of the Sentinel paper (subjective
//! and objective down); its election is not taken over.
//!
//! Here is the view and what others ask of it; time acts on it in [`super::suspicion`], what other
//! nodes say in [`super::gossip`].

use crate::configs::MembershipConfig;
use crate::modules::member::{Member, MemberState, MemberUpdate, new_member};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the membership asks for or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a heartbeat.
    Heartbeat {
        /// To this node.
        vm: VmId,
        /// At this address.
        address: SocketAddr,
    },
    /// The view of a node changed.
    Changed {
        /// The node.
        vm: VmId,
        /// What it is now.
        state: MemberState,
    },
    /// A later life of this VM is about.
    Superseded,
    /// Others know that this VM leaves, as by the platform's list.
    LeavingRequested,
}

/// The view of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) own: MemberUpdate,
    pub(super) members: BTreeMap<VmId, Member>,
    /// Updates to pass on, with the times that each is still to be sent.
    pub(super) pending: BTreeMap<VmId, u32>,
    pub(super) ticked_at: TimeMs,
    pub(super) beat_at: TimeMs,
}

impl Membership {
    /// The view of a node that has just started and knows nobody.
    pub fn new(
        config: MembershipConfig,
        vm: VmId,
        address: SocketAddr,
        incarnation: Incarnation,
        now: TimeMs,
    ) -> Self {
        let own = MemberUpdate {
            vm,
            address,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
            accuser: None,
        };
        let mut membership = Self {
            config,
            pending: BTreeMap::new(),
            members: BTreeMap::new(),
            ticked_at: now,
            beat_at: TimeMs(0),
            own,
        };
        membership.pass_on_own();
        membership
    }

    /// This node's name.
    pub fn own(&self) -> &VmId {
        &self.own.vm
    }

    /// Live nodes that take work, this one included unless it leaves.
    pub fn live(&self) -> Vec<VmId> {
        let takes_work = |member: &Member| !member.is_leaving && member.state != MemberState::Dead;
        let mut live: Vec<VmId> = self
            .members
            .iter()
            .filter(|(_, member)| takes_work(member))
            .map(|(vm, _)| vm.clone())
            .collect();
        if self.own.state != MemberState::Leaving {
            live.push(self.own.vm.clone());
        }
        live.sort();
        live
    }

    /// The lives of the live nodes, in the order of [`Membership::live`].
    pub fn live_incarnations(&self) -> Vec<Incarnation> {
        let of = |vm: &VmId| match self.members.get(vm) {
            Some(member) => member.incarnation,
            None => self.own.incarnation,
        };
        self.live().iter().map(of).collect()
    }

    /// All known nodes but this one.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.members.iter()
    }

    /// The address of a node that isn't dead.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let member = self.members.get(vm)?;
        (member.state != MemberState::Dead).then_some(member.address)
    }

    /// A digest of who lives, to notice that two views differ.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        let mut add = |vm: &VmId, incarnation: Incarnation, is_leaving: bool| {
            let seed = incarnation.0 ^ u64::from(is_leaving);
            digest ^= xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
        };
        let is_leaving = self.own.state == MemberState::Leaving;
        add(&self.own.vm, self.own.incarnation, is_leaving);
        for (vm, member) in &self.members {
            if member.state != MemberState::Dead {
                add(vm, member.incarnation, member.is_leaving);
            }
        }
        digest
    }

    /// This node leaves: it takes no new work.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.pass_on_own();
    }

    /// This node stays after all.
    pub fn stay(&mut self) {
        self.own.state = MemberState::Alive;
        self.own.refutation += 1;
        self.pass_on_own();
    }

    /// Notes that a node leaves, as the platform's list shows; true when that is news.
    pub fn mark_leaving(
        &mut self,
        now: TimeMs,
        vm: &VmId,
        effects: &mut Vec<MembershipEffect>,
    ) -> bool {
        let Some(member) = self.members.get(vm) else {
            return false;
        };
        if member.is_leaving || member.state == MemberState::Dead {
            return false;
        }
        let update = MemberUpdate {
            vm: vm.clone(),
            address: member.address,
            incarnation: member.incarnation,
            refutation: member.refutation,
            state: MemberState::Leaving,
            accuser: None,
        };
        self.merge(now, update, effects);
        true
    }

    /// Learns of a node by the platform's list or the settings. The list lags, so it adds
    /// nodes and never buries one.
    pub fn learn(&mut self, now: TimeMs, vm: &VmId, address: SocketAddr) {
        if *vm == self.own.vm || self.members.contains_key(vm) {
            return;
        }
        let member = new_member(address, Incarnation(0), now);
        self.members.insert(vm.clone(), member);
    }

    /// Learns of a node that counts as dead here, while the list shows it: it may live behind
    /// a cut that has healed, so it gets heartbeats again; its answer brings it back.
    pub fn relearn(&mut self, now: TimeMs, vm: &VmId, address: SocketAddr) {
        self.learn(now, vm, address);
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        member.is_retried = member.state == MemberState::Dead;
    }

    /// The successors in the ring of names. Suspects stay among them: an answer clears them.
    pub fn neighbours(&self) -> Vec<VmId> {
        let is_up = |entry: &(&VmId, &Member)| entry.1.state != MemberState::Dead;
        let after = self.members.range(self.own.vm.clone()..).filter(is_up);
        let before = self.members.range(..self.own.vm.clone()).filter(is_up);
        after
            .chain(before)
            .take(self.config.neighbours)
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    pub(super) fn changed(&self, vm: &VmId, effects: &mut Vec<MembershipEffect>) {
        if let Some(member) = self.members.get(vm) {
            let is_leaving = member.is_leaving && member.state == MemberState::Alive;
            effects.push(MembershipEffect::Changed {
                vm: vm.clone(),
                state: if is_leaving {
                    MemberState::Leaving
                } else {
                    member.state
                },
            });
        }
    }
}

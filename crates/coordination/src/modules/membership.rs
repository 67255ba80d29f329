//! The members of a data centre, as one node sees them.
//!
//! Every node sends heartbeats to its successors in the ring of names and receives those of its
//! predecessors; membership updates are sent with heartbeats. A node that gets no message from a
//! neighbour for some time suspects it. The neighbour counts as dead when enough nodes suspect it
//! and it hasn't refuted the suspicion in time. The split into a local suspicion and a confirmed
//! one is that of the Sentinel paper (subjective and objective down); its election is not used.
//!
//! This module holds the view and its queries. [`super::timers`] holds the timers,
//! [`super::gossip`] the updates from other nodes.

use crate::configs::MembershipConfig;
use crate::modules::member::{Member, MemberState, MemberUpdate, new_member};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An action that the caller carries out, or a change that it is informed of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a heartbeat.
    Heartbeat {
        /// The VM of the receiving node.
        vm: VmId,
        /// The address at which the receiving node listens for other nodes.
        address: SocketAddr,
    },
    /// The view of a node changed.
    Changed {
        /// The VM of the node whose state changed.
        vm: VmId,
        /// The node's new state.
        state: MemberState,
    },
    /// A newer incarnation of this VM is running.
    Superseded,
    /// Other nodes report that this VM is leaving, for example because the platform's list
    /// shows it as leaving.
    LeavingRequested,
}

/// One node's view of the members of its data centre.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) own: MemberUpdate,
    pub(super) members: BTreeMap<VmId, Member>,
    /// Nodes whose updates are to be sent, with the number of times that each is still to be sent.
    pub(super) pending: BTreeMap<VmId, u32>,
    pub(super) last_tick_at: TimeMs,
    pub(super) last_heartbeat_at: TimeMs,
}

impl Membership {
    /// Creates the view of a node that has just started and knows no other node.
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
            last_tick_at: now,
            last_heartbeat_at: TimeMs(0),
            own,
        };
        membership.queue_own_update();
        membership
    }

    /// Returns this node's VM.
    pub fn own_vm(&self) -> &VmId {
        &self.own.vm
    }

    /// Returns the nodes that take work, sorted: members that are neither dead nor leaving, and this
    /// node unless it is leaving.
    pub fn live_vms(&self) -> Vec<VmId> {
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

    /// Returns the incarnations of the live nodes, in the order of [`Membership::live_vms`].
    pub fn live_incarnations(&self) -> Vec<Incarnation> {
        let incarnation_of = |vm: &VmId| match self.members.get(vm) {
            Some(member) => member.incarnation,
            None => self.own.incarnation,
        };
        self.live_vms().iter().map(incarnation_of).collect()
    }

    /// Returns all known nodes except this one.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.members.iter()
    }

    /// Returns the address of a node that isn't dead.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let member = self.members.get(vm)?;
        (member.state != MemberState::Dead).then_some(member.address)
    }

    /// Returns a digest of the live members, by which two nodes notice that their views differ.
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

    /// Marks this node as leaving: it takes no new work.
    pub fn start_leaving(&mut self) {
        self.own.state = MemberState::Leaving;
        self.queue_own_update();
    }

    /// Cancels this node's leaving. The raised refutation number overrides the earlier state.
    pub fn cancel_leaving(&mut self) {
        self.own.state = MemberState::Alive;
        self.own.refutation += 1;
        self.queue_own_update();
    }

    /// Marks a node as leaving, as the platform's list shows; returns false if the node is unknown,
    /// dead or already leaving.
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

    /// Adds a node that the platform's list or the settings name. The list lags behind, so it only
    /// adds nodes and never marks one as dead.
    pub fn add_listed(&mut self, now: TimeMs, vm: &VmId, address: SocketAddr) {
        if *vm == self.own.vm || self.members.contains_key(vm) {
            return;
        }
        let member = new_member(address, Incarnation(0), now);
        self.members.insert(vm.clone(), member);
    }

    /// Adds a node that the platform's list shows. If the node counts as dead here, it gets
    /// heartbeats again, since it may have been behind a network partition that has healed; its
    /// answer marks it as alive.
    pub fn add_or_retry_listed(&mut self, now: TimeMs, vm: &VmId, address: SocketAddr) {
        self.add_listed(now, vm, address);
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        member.is_retried = member.state == MemberState::Dead;
    }

    /// Returns the successors in the ring of names. They include suspected nodes, whose answer
    /// clears the suspicion.
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

    pub(super) fn push_changed(&self, vm: &VmId, effects: &mut Vec<MembershipEffect>) {
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

//! Who lives in a data centre.
//!
//! Every node sends heartbeats to its successors in the ring of names and hears theirs;
//! updates travel with heartbeats. A neighbour that is silent is suspected by its watchers;
//! it counts as dead when enough of them say so and it hasn't refuted in time. The split
//! into a private suspicion and a confirmed one is that of the Sentinel paper (subjective
//! and objective down); its election is not taken over.

use crate::configs::MembershipConfig;
use crate::modules::member::{Member, MemberState, MemberUpdate, apply, new_member, refute};
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
    ToldToLeave,
}

/// The view of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    own: MemberUpdate,
    members: BTreeMap<VmId, Member>,
    /// Updates to pass on, with the times that each is still to be sent.
    pending: BTreeMap<VmId, u32>,
    ticked_at: TimeMs,
    beat_at: TimeMs,
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

    /// Hears a node itself: a heartbeat, its answer, or any other frame.
    pub fn hear(
        &mut self,
        now: TimeMs,
        vm: &VmId,
        address: SocketAddr,
        incarnation: Incarnation,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if *vm == self.own.vm {
            return;
        }
        let update = MemberUpdate {
            vm: vm.clone(),
            address,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
            accuser: None,
        };
        self.merge(now, update, effects);
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        if member.incarnation != incarnation {
            return;
        }
        member.heard_at = now;
        if member.state == MemberState::Dead {
            // It is heard, so it lives; the others learn it as if it had refuted.
            member.refutation += 1;
            member.accusers.clear();
            member.is_retried = false;
            member.state = MemberState::Alive;
            self.pass_on(vm);
            self.changed(vm, effects);
            return;
        }
        member.accusers.remove(&self.own.vm);
        if member.state == MemberState::Suspect && member.accusers.is_empty() {
            member.state = MemberState::Alive;
            self.changed(vm, effects);
        }
    }

    /// Takes updates that came with a heartbeat.
    pub fn receive(
        &mut self,
        now: TimeMs,
        updates: Vec<MemberUpdate>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        for update in updates {
            if update.vm == self.own.vm {
                self.hear_of_self(&update, effects);
            } else {
                self.merge(now, update, effects);
            }
        }
    }

    /// Updates to send with the next heartbeat, the least repeated first.
    pub fn updates(&mut self) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, VmId)> = self
            .pending
            .iter()
            .map(|(vm, left)| (*left, vm.clone()))
            .collect();
        order.sort_by(|a, b| b.cmp(a));
        order.truncate(self.config.updates_per_heartbeat);
        let mut updates = Vec::new();
        for (left, vm) in order {
            if left <= 1 {
                self.pending.remove(&vm);
            } else {
                self.pending.insert(vm.clone(), left - 1);
            }
            updates.extend(self.updates_about(&vm));
        }
        updates
    }

    /// Everything that is known, for a node that has just started or whose view differs.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own.clone()];
        for vm in self.members.keys() {
            updates.extend(self.updates_about(vm));
        }
        updates
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: TimeMs, effects: &mut Vec<MembershipEffect>) {
        self.forgive_own_pause(now);
        self.suspect_silent(now);
        self.confirm_deaths(now, effects);
        self.forget_dead(now);
        if now.since(self.beat_at) < self.config.heartbeat_every_ms && self.beat_at != TimeMs(0) {
            return;
        }
        self.beat_at = now;
        let retried = self.members.iter().filter(|(_, member)| member.is_retried);
        let retried: Vec<VmId> = retried.map(|(vm, _)| vm.clone()).collect();
        for vm in self.neighbours().into_iter().chain(retried) {
            let address = self.members[&vm].address;
            effects.push(MembershipEffect::Heartbeat { vm, address });
        }
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

    /// A node that was paused itself has heard nobody: that is no ground for suspicion.
    fn forgive_own_pause(&mut self, now: TimeMs) {
        let paused_ms = now.since(self.ticked_at);
        self.ticked_at = now;
        if paused_ms < self.config.suspect_after_ms {
            return;
        }
        for member in self.members.values_mut() {
            member.heard_at = now;
            member.suspected_at = now;
        }
    }

    fn suspect_silent(&mut self, now: TimeMs) {
        for vm in self.neighbours() {
            let suspect_after_ms = self.config.suspect_after_ms.0;
            let Some(member) = self.members.get_mut(&vm) else {
                continue;
            };
            let silent_ms = now.since(member.heard_at).0;
            let is_accused = member.accusers.contains(&self.own.vm);
            if is_accused || silent_ms < suspect_after_ms * u64::from(member.patience) {
                continue;
            }
            if member.state != MemberState::Suspect {
                member.suspected_at = now;
            }
            member.state = MemberState::Suspect;
            member.accusers.insert(self.own.vm.clone());
            self.pass_on(&vm);
        }
    }

    fn confirm_deaths(&mut self, now: TimeMs, effects: &mut Vec<MembershipEffect>) {
        let is_up = |member: &&Member| member.state != MemberState::Dead;
        let others = self.members.values().filter(is_up).count();
        // The suspect itself can't confirm, this node can.
        let needed = self.config.accusers.min(others.max(1));
        let is_lone = others < self.config.accusers;
        let wait_ms = if is_lone {
            self.config.lone_confirm_ms
        } else {
            self.config.refute_ms
        };
        let is_confirmed = |member: &Member| {
            member.state == MemberState::Suspect
                && member.accusers.len() >= needed
                && now.since(member.suspected_at) >= wait_ms
        };
        let confirmed = self
            .members
            .iter()
            .filter(|(_, member)| is_confirmed(member));
        let dead: Vec<VmId> = confirmed.map(|(vm, _)| vm.clone()).collect();
        for vm in dead {
            self.bury(now, &vm, effects);
        }
    }

    fn bury(&mut self, now: TimeMs, vm: &VmId, effects: &mut Vec<MembershipEffect>) {
        if let Some(member) = self.members.get_mut(vm) {
            member.state = MemberState::Dead;
            member.died_at = now;
        }
        self.pass_on(vm);
        self.changed(vm, effects);
    }

    fn forget_dead(&mut self, now: TimeMs) {
        let forget_ms = self.config.forget_ms;
        self.members.retain(|_, member| {
            member.state != MemberState::Dead || now.since(member.died_at) < forget_ms
        });
    }

    /// Something is said about this node itself.
    fn hear_of_self(&mut self, update: &MemberUpdate, effects: &mut Vec<MembershipEffect>) {
        if update.incarnation > self.own.incarnation {
            effects.push(MembershipEffect::Superseded);
            return;
        }
        if update.state == MemberState::Leaving
            && self.own.state == MemberState::Alive
            && update.incarnation == self.own.incarnation
            && update.refutation >= self.own.refutation
        {
            effects.push(MembershipEffect::ToldToLeave);
            return;
        }
        let is_accused = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let is_this_life = update.incarnation == self.own.incarnation;
        if !is_accused && is_this_life {
            // Others may have counted a refutation that they saw in its being heard.
            self.own.refutation = self.own.refutation.max(update.refutation);
        }
        if is_accused && is_this_life && update.refutation >= self.own.refutation {
            self.own.refutation = update.refutation + 1;
            self.pass_on_own();
        }
    }

    fn merge(&mut self, now: TimeMs, update: MemberUpdate, effects: &mut Vec<MembershipEffect>) {
        let vm = update.vm.clone();
        let Some(member) = self.members.get_mut(&vm) else {
            if update.state == MemberState::Dead {
                return;
            }
            self.members.insert(
                vm.clone(),
                new_member(update.address, update.incarnation, now),
            );
            self.merge(now, update, effects);
            self.pass_on(&vm);
            self.changed(&vm, effects);
            return;
        };
        let before = (member.state, member.is_leaving, member.incarnation);
        if update.incarnation > member.incarnation {
            // A new life under the same name: nothing of the old one holds.
            *member = new_member(update.address, update.incarnation, now);
            member.refutation = update.refutation;
        } else if update.incarnation < member.incarnation {
            return;
        } else if update.refutation > member.refutation {
            refute(member, &self.own.vm, update.refutation, now);
        } else if update.refutation < member.refutation {
            return;
        }
        let is_news = apply(member, &update, now);
        let after = (member.state, member.is_leaving, member.incarnation);
        if is_news || before != after {
            self.pass_on(&vm);
        }
        if before != after {
            self.changed(&vm, effects);
        }
    }

    fn updates_about(&self, vm: &VmId) -> Vec<MemberUpdate> {
        if *vm == self.own.vm {
            return vec![self.own.clone()];
        }
        let Some(member) = self.members.get(vm) else {
            return Vec::new();
        };
        let is_leaving = member.is_leaving && member.state == MemberState::Alive;
        let update = MemberUpdate {
            vm: vm.clone(),
            address: member.address,
            incarnation: member.incarnation,
            refutation: member.refutation,
            state: if is_leaving {
                MemberState::Leaving
            } else {
                member.state
            },
            accuser: None,
        };
        if member.state != MemberState::Suspect {
            return vec![update];
        }
        let accused = |accuser: &VmId| MemberUpdate {
            accuser: Some(accuser.clone()),
            ..update.clone()
        };
        member.accusers.iter().map(accused).collect()
    }

    fn pass_on(&mut self, vm: &VmId) {
        let size = self.members.len() as u32 + 2;
        let times = self.config.update_repeats * (u32::BITS - size.leading_zeros());
        self.pending.insert(vm.clone(), times);
    }

    fn pass_on_own(&mut self) {
        let own = self.own.vm.clone();
        self.pass_on(&own);
    }

    fn changed(&self, vm: &VmId, effects: &mut Vec<MembershipEffect>) {
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

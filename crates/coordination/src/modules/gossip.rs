//! Membership updates from other nodes: receives them, merges them into the view and forwards them.

use crate::modules::member::{MemberState, MemberUpdate, apply_update, new_member, refute};
use crate::modules::membership::{Membership, MembershipEffect};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::net::SocketAddr;

impl Membership {
    /// Records direct contact with a node: a heartbeat, the answer to one, or any other frame.
    pub fn record_contact(
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
        member.last_contact_at = now;
        if member.state == MemberState::Dead {
            // Contact shows that the node is alive; for the others it counts as a refutation.
            member.refutation += 1;
            member.accusers.clear();
            member.is_retried = false;
            member.state = MemberState::Alive;
            self.queue_update(vm);
            self.push_changed(vm, effects);
            return;
        }
        member.accusers.remove(&self.own.vm);
        if member.state == MemberState::Suspect && member.accusers.is_empty() {
            member.state = MemberState::Alive;
            self.push_changed(vm, effects);
        }
    }

    /// Applies the updates that came with a heartbeat.
    pub fn apply_updates(
        &mut self,
        now: TimeMs,
        updates: Vec<MemberUpdate>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        for update in updates {
            if update.vm == self.own.vm {
                self.apply_update_about_self(&update, effects);
            } else {
                self.merge(now, update, effects);
            }
        }
    }

    /// Applies an update about this node itself: refutes a suspicion, and reports a newer
    /// incarnation or a request to leave.
    pub(super) fn apply_update_about_self(
        &mut self,
        update: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if update.incarnation > self.own.incarnation {
            effects.push(MembershipEffect::Superseded);
            return;
        }
        if update.state == MemberState::Leaving
            && self.own.state == MemberState::Alive
            && update.incarnation == self.own.incarnation
            && update.refutation >= self.own.refutation
        {
            effects.push(MembershipEffect::LeavingRequested);
            return;
        }
        let is_accused = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let is_same_incarnation = update.incarnation == self.own.incarnation;
        if !is_accused && is_same_incarnation {
            // Another node may have counted its contact with this node as a refutation.
            self.own.refutation = self.own.refutation.max(update.refutation);
        }
        if is_accused && is_same_incarnation && update.refutation >= self.own.refutation {
            self.own.refutation = update.refutation + 1;
            self.queue_own_update();
        }
    }

    pub(super) fn merge(
        &mut self,
        now: TimeMs,
        update: MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
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
            self.queue_update(&vm);
            self.push_changed(&vm, effects);
            return;
        };
        let before = (member.state, member.is_leaving, member.incarnation);
        if update.incarnation > member.incarnation {
            // A newer incarnation replaces all that is known of the older one.
            *member = new_member(update.address, update.incarnation, now);
            member.refutation = update.refutation;
        } else if update.incarnation < member.incarnation {
            return;
        } else if update.refutation > member.refutation {
            refute(member, &self.own.vm, update.refutation, now);
        } else if update.refutation < member.refutation {
            return;
        }
        let is_new = apply_update(member, &update, now);
        let after = (member.state, member.is_leaving, member.incarnation);
        if is_new || before != after {
            self.queue_update(&vm);
        }
        if before != after {
            self.push_changed(&vm, effects);
        }
    }

    pub(super) fn updates_about(&self, vm: &VmId) -> Vec<MemberUpdate> {
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
        let suspicion_by = |accuser: &VmId| MemberUpdate {
            accuser: Some(accuser.clone()),
            ..update.clone()
        };
        member.accusers.iter().map(suspicion_by).collect()
    }

    /// Returns the updates to send with the next heartbeat, those sent least often first.
    pub fn next_updates(&mut self) -> Vec<MemberUpdate> {
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

    /// Returns updates about all known nodes, for a node that has just started or whose view differs.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own.clone()];
        for vm in self.members.keys() {
            updates.extend(self.updates_about(vm));
        }
        updates
    }

    pub(super) fn queue_update(&mut self, vm: &VmId) {
        let size = self.members.len() as u32 + 2;
        let times = self.config.update_repeats * (u32::BITS - size.leading_zeros());
        self.pending.insert(vm.clone(), times);
    }

    pub(super) fn queue_own_update(&mut self) {
        let own = self.own.vm.clone();
        self.queue_update(&own);
    }
}

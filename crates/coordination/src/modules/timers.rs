//! The timers of the membership: sends heartbeats, suspects silent neighbours, confirms deaths and
//! removes dead nodes.

use crate::modules::member::{Member, MemberState};
use crate::modules::membership::{Membership, MembershipEffect};
use bridgevane_types::{TimeMs, VmId};

impl Membership {
    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: TimeMs, effects: &mut Vec<MembershipEffect>) {
        self.reset_timers_after_pause(now);
        self.suspect_silent(now);
        self.confirm_deaths(now, effects);
        self.forget_dead(now);
        if now.since(self.last_heartbeat_at) < self.config.heartbeat_every_ms
            && self.last_heartbeat_at != TimeMs(0)
        {
            return;
        }
        self.last_heartbeat_at = now;
        let retried = self.members.iter().filter(|(_, member)| member.is_retried);
        let retried: Vec<VmId> = retried.map(|(vm, _)| vm.clone()).collect();
        for vm in self.neighbours().into_iter().chain(retried) {
            let address = self.members[&vm].address;
            effects.push(MembershipEffect::Heartbeat { vm, address });
        }
    }

    /// Restarts the timers of all members after a pause of this node, in which it received nothing:
    /// the silence during the pause is no reason for a suspicion.
    pub(super) fn reset_timers_after_pause(&mut self, now: TimeMs) {
        let paused_ms = now.since(self.last_tick_at);
        self.last_tick_at = now;
        if paused_ms < self.config.suspect_after_ms {
            return;
        }
        for member in self.members.values_mut() {
            member.last_contact_at = now;
            member.suspected_at = now;
        }
    }

    pub(super) fn suspect_silent(&mut self, now: TimeMs) {
        for vm in self.neighbours() {
            let suspect_after_ms = self.config.suspect_after_ms.0;
            let Some(member) = self.members.get_mut(&vm) else {
                continue;
            };
            let silent_ms = now.since(member.last_contact_at).0;
            let is_accused = member.accusers.contains(&self.own.vm);
            if is_accused || silent_ms < suspect_after_ms * u64::from(member.suspicion_multiplier) {
                continue;
            }
            if member.state != MemberState::Suspect {
                member.suspected_at = now;
            }
            member.state = MemberState::Suspect;
            member.accusers.insert(self.own.vm.clone());
            self.queue_update(&vm);
        }
    }

    pub(super) fn confirm_deaths(&mut self, now: TimeMs, effects: &mut Vec<MembershipEffect>) {
        let is_up = |member: &&Member| member.state != MemberState::Dead;
        let others = self.members.values().filter(is_up).count();
        // Nodes that can confirm the death: all that are up except the suspected one, plus this node,
        // which `others` doesn't count.
        let needed = self.config.required_accusers.min(others.max(1));
        let is_single_accuser = others < self.config.required_accusers;
        let wait_ms = if is_single_accuser {
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
            self.mark_dead(now, &vm, effects);
        }
    }

    pub(super) fn mark_dead(
        &mut self,
        now: TimeMs,
        vm: &VmId,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if let Some(member) = self.members.get_mut(vm) {
            member.state = MemberState::Dead;
            member.died_at = now;
        }
        self.queue_update(vm);
        self.push_changed(vm, effects);
    }

    pub(super) fn forget_dead(&mut self, now: TimeMs) {
        let forget_ms = self.config.forget_ms;
        self.members.retain(|_, member| {
            member.state != MemberState::Dead || now.since(member.died_at) < forget_ms
        });
    }
}

//! Polls of the control source, as `replication::follow` sends them.

use super::*;

impl Fleet {
    pub(super) fn poll_source(&mut self, at: usize, incarnation: u32) {
        self.source_polls.push((self.now / 1_000, at));
        let poll = self.daemons[at].poll;
        if !self.is_served[at] {
            let event = Event::SourceAnswered {
                daemon: at,
                incarnation,
                poll,
                revision: None,
            };
            let limit = match self.watch_wait(at) {
                0 => ANSWER_SLACK_MS,
                wait => wait + SOURCE_SLACK_MS,
            };
            self.daemons[at].has_source_failed = true;
            return self.schedule(limit, event);
        }
        let usual_wait = self.watch_wait(at);
        self.daemons[at].has_source_failed = false;
        let known = self.daemons[at].revision;
        let newest = self.revisions.len() as u64;
        let wait = match (self.daemons[at].selector.is_seed(), known == newest) {
            (false, _) => 0,
            (true, true) => usual_wait,
            (true, false) => GATHER_MS,
        };
        let event = Event::SourceAnswered {
            daemon: at,
            incarnation,
            poll,
            revision: Some(newest),
        };
        self.schedule(4 + wait, event);
    }

    /// Returns how long a poll waits for changes, like `follow::wait_for_changes`.
    pub(super) fn watch_wait(&self, at: usize) -> u64 {
        let asking = &self.daemons[at];
        let is_before = |other: &usize| {
            let other = &self.daemons[*other];
            other.is_alive && other.address < asking.address
        };
        let caller = SourceCaller {
            is_seed: asking.selector.is_seed(),
            has_failed: asking.has_source_failed,
            seeds_before: (0..self.seeds.len()).filter(is_before).count(),
        };
        watch_wait(DurationMs(WATCH_WAIT_MS), caller).0
    }

    pub(super) fn on_source(
        &mut self,
        at: usize,
        incarnation: u32,
        poll: u64,
        revision: Option<u64>,
    ) {
        if self.daemons[at].incarnation != incarnation || self.daemons[at].poll != poll {
            return;
        }
        if self.is_frozen(at) {
            let event = Event::SourceAnswered {
                daemon: at,
                incarnation,
                poll,
                revision,
            };
            return self.postpone(at, event);
        }
        let now = TimeMs(self.now);
        let fleet_size = self.estimated_size(at);
        let daemon = &mut self.daemons[at];
        let asked_at = daemon.asked_at;
        daemon.poll += 1;
        match revision {
            Some(revision) => {
                daemon.revision = daemon.revision.max(revision);
                daemon.selector.on_source_answered(now, TimeMs(asked_at));
                daemon.selector.on_fleet_size(fleet_size);
                self.learn_from_source(at);
                self.prove(at, TimeMs(asked_at));
            }
            None => daemon.selector.on_source_failed(now),
        }
        self.end_step(at, incarnation);
    }

    /// Asks the source beside a poll of the parent, like `follow::ask_source`.
    pub(super) fn ask_source(&mut self, at: usize, incarnation: u32, poll: u64) {
        let asking = &mut self.daemons[at];
        let is_current =
            asking.incarnation == incarnation && asking.poll == poll && asking.is_polling;
        if !is_current || self.is_frozen(at) {
            return;
        }
        self.daemons[at].selector.on_asked();
        self.source_polls.push((self.now / 1_000, at));
        if self.is_served[at] {
            let event = Event::QuestionAnswered {
                daemon: at,
                incarnation,
                asked_at: self.now,
                revision: self.revisions.len() as u64,
            };
            self.schedule(4, event);
        }
    }

    pub(super) fn on_question_answered(
        &mut self,
        at: usize,
        incarnation: u32,
        asked_at: u64,
        revision: u64,
    ) {
        if self.daemons[at].incarnation != incarnation {
            return;
        }
        if self.is_frozen(at) {
            let event = Event::QuestionAnswered {
                daemon: at,
                incarnation,
                asked_at,
                revision,
            };
            return self.postpone(at, event);
        }
        let now = TimeMs(self.now);
        let fleet_size = self.estimated_size(at);
        let daemon = &mut self.daemons[at];
        daemon.revision = daemon.revision.max(revision);
        let is_parent_stale = daemon.selector.is_parent_stale(now);
        if is_parent_stale {
            daemon.selector.on_source_answered(now, TimeMs(asked_at));
            daemon.selector.on_fleet_size(fleet_size);
        }
        self.learn_from_source(at);
        self.prove(at, TimeMs(asked_at));
        if is_parent_stale && self.daemons[at].is_polling {
            self.cancel_poll(at);
            self.daemons[at].parent = None;
        }
    }

    /// Returns the size of the fleet as a daemon knows it. Seeds know the size of their trees and
    /// pass it on; here every daemon knows it once it is fresh.
    pub(super) fn estimated_size(&self, at: usize) -> u32 {
        match self.daemons[at].proved_at {
            Some(_) => self.len() as u32,
            None => 0,
        }
    }

    pub(super) fn prove(&mut self, at: usize, proved_at: TimeMs) {
        let daemon = &mut self.daemons[at];
        let newest_then = self
            .revisions
            .iter()
            .filter(|when| **when < proved_at.0)
            .count() as u64;
        assert!(
            daemon.revision >= newest_then,
            "daemon {at} has revision {} and claims that this was the newest at {proved_at}, when it was {newest_then}",
            daemon.revision
        );
        if Some(proved_at) > daemon.proved_at {
            daemon.proved_at = Some(proved_at);
            self.answer_held(at, |held| held.sent_proof < Some(proved_at));
        }
    }
}

//! Long prompts under way, by their first part: this daemon's own, and those that others report.
//!
//! Two short locks, taken by requests with long prompts and by reports. The rule is
//! [`crate::decisions::endpoint::engine_pool`].

use crate::decisions::endpoint::load_report::is_peer_report_current;
use crate::work_by_endpoint::{FirstPart, WorkByEndpoint};
use bridgevane_types::TimeMs;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Long prompts of all daemons.
#[derive(Debug, Default)]
pub struct PromptLoad {
    own: Mutex<BTreeMap<FirstPart, u32>>,
    others: Mutex<OthersPrompts>,
}

#[derive(Debug, Default)]
struct OthersPrompts {
    running: BTreeMap<FirstPart, u32>,
    reported_at: TimeMs,
    busy_since: Option<TimeMs>,
}

/// What is known of one first part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptsRunning {
    /// Prompts that begin with it.
    pub running: u32,
    /// Since when others have had long prompts under way, of any first part.
    pub busy_since: Option<TimeMs>,
}

impl PromptLoad {
    fn own(&self) -> MutexGuard<'_, BTreeMap<FirstPart, u32>> {
        self.own.lock().expect("no panic under this lock")
    }

    fn others(&self) -> MutexGuard<'_, OthersPrompts> {
        self.others.lock().expect("no panic under this lock")
    }

    /// Counts a prompt of this daemon's until the guard is dropped.
    pub(crate) fn hold(self: &Arc<Self>, first_part: FirstPart) -> RunningPrompt {
        *self.own().entry(first_part).or_default() += 1;
        RunningPrompt {
            load: self.clone(),
            first_part,
        }
    }

    /// Adds this daemon's own to its work.
    pub(crate) fn add_own(&self, work: &mut WorkByEndpoint) {
        for (first_part, running) in self.own().iter() {
            work.add_prompts(*first_part, *running);
        }
    }

    /// Others report theirs.
    pub fn on_report(&self, now: TimeMs, others: &WorkByEndpoint) {
        let mut known = self.others();
        known.running = others.prompts().collect();
        known.reported_at = now;
        known.busy_since = if known.running.is_empty() {
            None
        } else {
            known.busy_since.or(Some(now))
        };
    }

    /// What is known of a first part now.
    pub fn running(&self, now: TimeMs, first_part: FirstPart) -> PromptsRunning {
        let own = self.own().get(&first_part).copied().unwrap_or_default();
        let others = self.others();
        if !is_peer_report_current(now, others.reported_at) {
            return PromptsRunning {
                running: own,
                busy_since: None,
            };
        }
        let of_others = others.running.get(&first_part).copied();
        PromptsRunning {
            running: own.saturating_add(of_others.unwrap_or_default()),
            busy_since: others.busy_since,
        }
    }
}

/// A long prompt that is under way; dropped, it has ended.
#[derive(Debug)]
pub(crate) struct RunningPrompt {
    load: Arc<PromptLoad>,
    first_part: FirstPart,
}

impl Drop for RunningPrompt {
    fn drop(&mut self) {
        let mut own = self.load.own();
        let Some(running) = own.get_mut(&self.first_part) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            own.remove(&self.first_part);
        }
    }
}

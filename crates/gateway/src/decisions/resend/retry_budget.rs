//! Retry budget: how many retries all daemons together may make for one service.
//!
//! Inputs: the settings of the whole fleet (retries for each request, retries beyond that, a
//! sliding window), the number of daemons, this daemon's requests and retries of the last two
//! windows, when it started, and a number that it drew then.
//!
//! Rule: in each window, wherever it begins, a daemon makes at most half the ratio of its own requests
//! of that window and the one before it, and its part of the slack. The slack is divided into
//! `PARTS_PER_DAEMON` parts a daemon, and `MIN_PARTS` at least. A daemon that hasn't learned how many
//! there are has no part, nor has one in its first window: the process before it may have used the
//! part up. The sum is rounded up or down by what the daemon drew.
//!
//! Reason: the bound holds over all daemons in every window, while they come, go and are cut off;
//! nobody can ask for a retry at the moment it is needed. Added up over all daemons, both sides are
//! counts of the fleet over the same two windows, whoever lived when, and half the requests of two
//! windows are no more than those of the fuller one. A daemon that took the whole ratio of what came
//! before each of its retries would not keep it: a new process would retry beside what the one before it
//! did for earlier requests, and daemons that look back from different moments retry in one window for
//! the requests of two.
//!
//! Alternatives: docs/design/22 has them side by side.
//!
//! Tests: `retry_budget_fleet.rs`; `decisions.rs::repeats_stay_within_the_ratio…`,
//! `eighty_daemons…share_one_slack`.

use bridgevane_types::{DurationMs, Share, TimeMs};

/// Parts that the slack is divided into at least. Not measured, chosen because it is twice as many
/// as the users' small sites have VMs: a daemon that follows nobody doesn't learn how many there
/// are.
pub(crate) const MIN_PARTS: u32 = 12;
/// Parts of the slack for each daemon that is known. Chosen because the slack is kept while a daemon
/// knows of half the fleet only; with a true number, the other half is for rounding.
const PARTS_PER_DAEMON: f64 = 2.0;
/// Steps that a window is counted in. Chosen because a window that begins within a step loses that step's
/// requests: one in forty.
const STEPS: usize = 40;
/// Steps that are kept: those of the windows that a retry lies in, and of the windows before them.
const KEPT_STEPS: usize = 2 * STEPS;
/// The part of the ratio that a request earns. Chosen because it counts for the window that it lies in and for the next one.
const SHARE_OF_RATIO: f64 = 0.5;

/// The budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetBudget {
    /// Retries for each request.
    pub(crate) ratio: Share,
    /// Retries beyond the ratio in one window.
    pub(crate) slack: u32,
    /// The sliding window.
    pub(crate) window: DurationMs,
}

/// The parts of the slack among so many daemons.
pub(crate) fn parts(daemons: u32) -> u32 {
    let parts = (f64::from(daemons) * PARTS_PER_DAEMON) as u32;
    parts.max(MIN_PARTS)
}

/// One daemon's part of the slack, in retries a window. `parts` is none while the number of daemons
/// is unknown; before `slack_from` there is none.
pub(crate) fn slack_share(
    budget: &FleetBudget,
    parts: Option<u32>,
    now: TimeMs,
    slack_from: TimeMs,
) -> f64 {
    match parts {
        Some(parts) if now >= slack_from => f64::from(budget.slack) / f64::from(parts),
        _ => 0.0,
    }
}

/// The verdict on one retry, with what it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be made; it counts from now on.
    pub is_granted: bool,
    /// This daemon's retries for the service, before this one, in the window that allows the fewest more.
    pub retries: u32,
    /// Its requests of that window and the one before.
    pub requests: u32,
    /// Retries that it may make in that window, before rounding.
    pub allowed: f64,
    /// Of these, its part of the slack.
    pub slack_share: f64,
}

/// A number from 0 up to 1 that a process draws once, by which its retries are rounded to whole ones.
///
/// Where a daemon's part is a fraction of a retry, that fraction of the daemons may make one. Drawn for each process:
/// daemons that start together and share the traffic evenly would otherwise all come to a whole retry at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRounding(pub f64);

impl RetryRounding {
    /// A new process's number.
    pub fn draw() -> Self {
        Self(rand::random())
    }

    /// A number of retries as a whole one: the mean over many draws is the number.
    fn round(self, retries: f64) -> u32 {
        (retries + self.0) as u32
    }
}

/// What one daemon did in one step of time.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requests: u32,
    retries: u32,
}

/// The requests and retries of one service that this daemon made lately, in steps of time.
#[derive(Debug)]
pub(crate) struct RetryHistory {
    /// A ring: step `n` is at `n` modulo the length.
    steps: [Step; KEPT_STEPS],
    /// The newest step.
    newest: u64,
}

impl Default for RetryHistory {
    fn default() -> Self {
        Self {
            steps: [Step::default(); KEPT_STEPS],
            newest: 0,
        }
    }
}

impl RetryHistory {
    /// A request came in.
    pub(crate) fn on_request(&mut self, now: TimeMs, window: DurationMs) {
        self.advance(now, window);
        self.newest_mut().requests += 1;
    }

    /// Takes one retry, if it keeps the budget in every window that it lies in.
    pub(crate) fn take(
        &mut self,
        now: TimeMs,
        budget: &FleetBudget,
        slack_share: f64,
        rounding: RetryRounding,
    ) -> RetryDecision {
        self.advance(now, budget.window);
        let decision = self.decide(budget.ratio, slack_share, rounding);
        if decision.is_granted {
            self.newest_mut().retries += 1;
        }
        decision
    }

    /// Looks at the window that begins within each step, and gives the verdict on the worst.
    fn decide(&self, ratio: Share, slack_share: f64, rounding: RetryRounding) -> RetryDecision {
        let mut retries = 0;
        // The window begins somewhere within its first step: the step a whole window before that one doesn't count.
        let newest = self.newest_first().take(STEPS - 1);
        let mut requests: u32 = newest.map(|step| step.requests).sum();
        let begins = self.newest_first().take(STEPS + 1);
        let earliest_counted = self.newest_first().skip(STEPS - 1);
        let verdicts = begins.zip(earliest_counted).map(|(begin, earliest)| {
            retries += begin.retries;
            requests += earliest.requests;
            let allowed = SHARE_OF_RATIO * ratio.0 * f64::from(requests) + slack_share;
            RetryDecision {
                is_granted: retries < rounding.round(allowed),
                retries,
                requests,
                allowed,
                slack_share,
            }
        });
        let left = |verdict: &RetryDecision| verdict.allowed - f64::from(verdict.retries);
        let worst = verdicts.min_by(|a, b| left(a).total_cmp(&left(b)));
        worst.expect("a window has steps")
    }

    /// All steps that are kept, the newest first.
    fn newest_first(&self) -> impl Iterator<Item = &Step> {
        let (older, newer) = self.steps.split_at(index(self.newest) + 1);
        older.iter().rev().chain(newer.iter().rev())
    }

    /// Goes on to the step of a moment; nothing happened in the steps between.
    fn advance(&mut self, now: TimeMs, window: DurationMs) {
        let step_ms = (window.0 / STEPS as u64).max(1);
        let number = now.0 / step_ms;
        let passed = number.saturating_sub(self.newest);
        for _ in 0..passed.min(KEPT_STEPS as u64) {
            self.newest += 1;
            *self.newest_mut() = Step::default();
        }
        // After a long pause all steps are empty.
        self.newest = self.newest.max(number);
    }

    fn newest_mut(&mut self) -> &mut Step {
        &mut self.steps[index(self.newest)]
    }
}

/// Where a step is in the ring.
fn index(step: u64) -> usize {
    step as usize % KEPT_STEPS
}

//! Retry budget: how many retries all daemons together may make for one service.
//!
//! Inputs: the settings of the whole fleet (retries for each request, retries beyond that, a
//! sliding window), the number of daemons, this daemon's requests and retries of the last two
//! windows, when it started, and a random number that it drew at the start.
//!
//! Rule: in each window, wherever it begins, a daemon makes at most half the ratio of its own
//! requests of that window and the one before it, plus its share of the slack. The slack is divided
//! into `PARTS_PER_DAEMON` parts for each daemon, and at least `MIN_PARTS`. A daemon has no
//! share while it doesn't know the number of daemons, and none in its first window, since its
//! predecessor may have used the share. The sum is rounded up or down by the random number.
//!
//! Reason: the bound holds over all daemons in every window, while daemons start, stop and are cut
//! off; there is no time to ask for a retry at the moment it is needed. Added up over all daemons,
//! both sides are counts of the fleet over the same two windows, whichever processes existed when,
//! and half the requests of two windows are no more than those of the fuller one. Using the whole
//! ratio of the requests before each retry would break the bound: a new process would make retries
//! on top of those that its predecessor made for earlier requests, and daemons that look back from
//! different moments would retry in one window for the requests of two.
//!
//! See docs/design/22 for alternatives.
//!
//! Tests: `retry_budget_fleet.rs`;
//! `decisions.rs::retries_stay_within_the_ratio_of_requests_and_the_slack`,
//! `eighty_daemons_with_quiet_services_share_one_slack`.

use bridgevane_types::{DurationMs, Share, TimeMs};

/// The minimum number of parts of the slack: twice the number of VMs of the users' small sites,
/// where a daemon that follows no other doesn't learn the number of daemons.
pub(crate) const MIN_PARTS: u32 = 12;
/// The number of parts of the slack for each known daemon. With 2 the bound holds while a daemon
/// knows only half the fleet; with the true number, the other half is for rounding.
const PARTS_PER_DAEMON: f64 = 2.0;
/// The number of steps that a window is divided into. A window that begins within a step loses that
/// step's requests: one in forty.
const STEPS: usize = 40;
/// The number of steps that are kept: those of the windows that contain a retry, and of the windows
/// before them.
const KEPT_STEPS: usize = 2 * STEPS;
/// The share of the ratio that a request earns in one window: it counts in its own window and in
/// the next one.
const SHARE_OF_RATIO: f64 = 0.5;

/// The budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetBudget {
    /// Retries for each request.
    pub(crate) ratio: Share,
    /// Retries beyond the ratio in one window.
    pub(crate) slack: u32,
    /// The length of the sliding window.
    pub(crate) window: DurationMs,
}

/// Returns the number of parts of the slack for a number of daemons.
pub(crate) fn parts(daemons: u32) -> u32 {
    let parts = (f64::from(daemons) * PARTS_PER_DAEMON) as u32;
    parts.max(MIN_PARTS)
}

/// Returns one daemon's share of the slack, in retries a window. `parts` is `None` while the number
/// of daemons is unknown; before `slack_from` the share is 0.
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

/// The decision on one retry, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be made; if so it is counted.
    pub is_granted: bool,
    /// The number of this daemon's retries for the service before this one, in the window that
    /// allows the fewest more.
    pub retries: u32,
    /// The number of its requests in that window and the one before.
    pub requests: u32,
    /// The number of retries that it may make in that window, before rounding.
    pub allowed: f64,
    /// The part of these that is its share of the slack.
    pub slack_share: f64,
}

/// A random number from 0 to 1 (exclusive) that a process draws once, and that rounds its retries
/// to whole numbers.
///
/// If a daemon's share is a fraction of a retry, that fraction of the daemons may make one. Each
/// process draws its own number: otherwise daemons that start together and share the traffic evenly
/// would all reach a whole retry at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRounding(pub f64);

impl RetryRounding {
    /// Draws the number of a new process.
    pub fn draw() -> Self {
        Self(rand::random())
    }

    /// Rounds a number of retries; the mean over many draws is the number.
    fn round(self, retries: f64) -> u32 {
        (retries + self.0) as u32
    }
}

/// The requests and retries of one daemon in one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requests: u32,
    retries: u32,
}

/// The recent requests and retries of one service on this daemon, in steps.
#[derive(Debug)]
pub(crate) struct RetryHistory {
    /// A ring buffer: step `n` is at `n` modulo the length.
    steps: [Step; KEPT_STEPS],
    /// The number of the newest step.
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
    /// Records a request.
    pub(crate) fn on_request(&mut self, now: TimeMs, window: DurationMs) {
        self.advance(now, window);
        self.newest_mut().requests += 1;
    }

    /// Uses one retry, if it stays within the budget in every window that contains it.
    pub(crate) fn withdraw(
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

    /// Checks the window that begins within each step, and returns the decision for the one with
    /// the least left.
    fn decide(&self, ratio: Share, slack_share: f64, rounding: RetryRounding) -> RetryDecision {
        let mut retries = 0;
        // The window begins somewhere within its first step: the step a whole window before that
        // one doesn't count.
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
        let remaining = |verdict: &RetryDecision| verdict.allowed - f64::from(verdict.retries);
        let worst = verdicts.min_by(|a, b| remaining(a).total_cmp(&remaining(b)));
        worst.expect("a window has steps")
    }

    /// Returns all steps that are kept, the newest first.
    fn newest_first(&self) -> impl Iterator<Item = &Step> {
        let (older, newer) = self.steps.split_at(ring_index(self.newest) + 1);
        older.iter().rev().chain(newer.iter().rev())
    }

    /// Advances to the step of `now`; the steps between are empty.
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
        &mut self.steps[ring_index(self.newest)]
    }
}

/// Returns the index of a step in the ring buffer.
fn ring_index(step: u64) -> usize {
    step as usize % KEPT_STEPS
}

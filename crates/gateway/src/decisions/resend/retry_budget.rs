//! Retry budget: how many retries all daemons together may make for one service.
//!
//! Inputs: the settings of the whole fleet (retries for each request, retries beyond that, a
//! sliding window), the number of daemons, this daemon's requests and retries in the window, when
//! it started, and a number that it drew then.
//!
//! Rule: in a window a daemon may make `OWN_RATIO_SHARE` of the ratio of its own requests, and its
//! part of the slack. The slack is divided into `PARTS_PER_DAEMON` parts a daemon, and `MIN_PARTS`
//! at least. A daemon that hasn't learned how many there are has no part, nor has one in its first
//! window: the process before it may have used the part up. The sum is rounded up or down by what
//! the daemon drew.
//!
//! Reason: the bound holds over all daemons in every window, while they come, go and are cut off;
//! nobody can ask for a retry at the moment it is needed. Retries of a window belong to requests of
//! that window and of the one before it: at the moment of a retry its daemon looks back, and a new
//! process knows nothing of the retries that the one before it made for earlier requests. Requests of
//! two windows at half the ratio are what one window may have, whatever the daemons' lives and however
//! traffic falls.
//!
//! Alternatives: docs/design/06 has them side by side. A bucket that each request fills at the full
//! ratio, and that holds the daemon's part of the slack at most, keeps the bound, too, but has few
//! retries in the first second of a trouble.
//!
//! Tests: `retry_budget_fleet.rs`; `decisions.rs::repeats_stay_within_the_ratio…`,
//! `eighty_daemons…share_one_slack`.

use bridgevane_types::{DurationMs, Share, TimeMs};
use std::collections::VecDeque;

/// Parts that the slack is divided into at least. Not measured, chosen because it is twice as many
/// as the users' small sites have VMs: a daemon that follows nobody doesn't learn how many there
/// are.
pub(crate) const MIN_PARTS: u32 = 12;
/// Parts of the slack for each daemon that is known. Chosen because the slack is kept while a daemon
/// knows of half the fleet only; with a true number, the other half is for rounding.
const PARTS_PER_DAEMON: f64 = 2.0;
/// The part of the ratio that a daemon may use. Chosen because the retries of one window are for the
/// requests of two.
const OWN_RATIO_SHARE: f64 = 0.5;

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
    /// This daemon's requests for the service in the last window.
    pub requests: usize,
    /// Its retries in the last window, before this one.
    pub retries: usize,
    /// Retries that it may make in a window, as things stand, before rounding.
    pub allowed: f64,
    /// Of these, its part of the slack.
    pub slack_share: f64,
}

/// A number from 0 up to 1 that a process draws once, by which its retries are rounded to whole ones.
///
/// Where a daemon's part is a fraction of a retry, so many daemons may make one. Drawn for each process: daemons that
/// start together and share the traffic evenly would otherwise all come to a whole retry at the same moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRounding(pub f64);

impl RetryRounding {
    /// A new process's number.
    pub fn draw() -> Self {
        Self(rand::random())
    }

    /// A number of retries as a whole one: the mean over many draws is the number.
    fn round(self, retries: f64) -> usize {
        (retries + self.0) as usize
    }
}

/// The requests and retries of one service that this daemon made in the last window.
#[derive(Debug, Default)]
pub(crate) struct RetryWindow {
    requests: VecDeque<TimeMs>,
    retries: VecDeque<TimeMs>,
}

impl RetryWindow {
    /// A request came in.
    pub(crate) fn on_request(&mut self, now: TimeMs, window: DurationMs) {
        expire(&mut self.requests, now, window);
        self.requests.push_back(now);
    }

    /// Takes one retry, if one is left.
    pub(crate) fn take(
        &mut self,
        now: TimeMs,
        budget: &FleetBudget,
        slack_share: f64,
        rounding: RetryRounding,
    ) -> RetryDecision {
        expire(&mut self.requests, now, budget.window);
        expire(&mut self.retries, now, budget.window);
        let (requests, retries) = (self.requests.len(), self.retries.len());
        let own_ratio = budget.ratio.0 * OWN_RATIO_SHARE;
        let allowed = own_ratio * requests as f64 + slack_share;
        let is_granted = retries < rounding.round(allowed);
        if is_granted {
            self.retries.push_back(now);
        }
        RetryDecision {
            is_granted,
            requests,
            retries,
            allowed,
            slack_share,
        }
    }
}

/// Forgets moments that are older than the window.
fn expire(moments: &mut VecDeque<TimeMs>, now: TimeMs, window: DurationMs) {
    while moments.front().is_some_and(|at| now.since(*at) >= window) {
        moments.pop_front();
    }
}

//! Load reports: the load that endpoints and other daemons report, and for how long a report is
//! valid.
//!
//! Inputs: when a report arrived (ms of this daemon's clock) and its content.
//!
//! Rule: a report counts until it expires, and then not at all.
//!
//! Reason: reports come only with answers and messages; without new ones an old figure would steer
//! requests indefinitely.
//!
//! Tests: `decisions.rs::an_endpoint_report_counts_the_load_of_other_daemons_until_it_expires`,
//! `work.rs`.

use super::engine_pace::WorkTime;
use bridgevane_types::{DurationMs, TimeMs};

/// How long the load that an endpoint reports with an answer is valid. Twice as long would leave an
/// endpoint that has become idle looking busy; half as long would drop the report between two
/// answers.
const ENDPOINT_REPORT_TTL: DurationMs = DurationMs(1_500);
/// How long the prompts that other daemons report are valid: twice the 600 ms for which a long poll
/// between daemons is held when there is nothing to report, so that one lost answer loses nothing.
const PEER_REPORT_TTL: DurationMs = DurationMs(1_200);

/// Returns whether an endpoint's own report is still valid.
pub(crate) fn is_endpoint_report_current(now: TimeMs, reported_at: TimeMs) -> bool {
    now.since(reported_at) < ENDPOINT_REPORT_TTL
}

/// Returns whether another daemon's report is still valid.
pub(crate) fn is_peer_report_current(now: TimeMs, reported_at: TimeMs) -> bool {
    now.since(reported_at) < PEER_REPORT_TTL
}

/// The load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// How long work takes there now; `None` if not reported.
    pub work_time: Option<WorkTime>,
}

impl ReportedLoad {
    /// Returns the number of requests there that belong to other daemons.
    pub(crate) fn excluding(self, own_running: u32) -> u32 {
        (self.running + self.waiting).saturating_sub(own_running)
    }
}

/// The load of one endpoint at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// The number of this daemon's requests there.
    pub own_running: u32,
    /// The number of prompt tokens of this daemon's requests that have not produced a token yet.
    pub own_prefill_tokens: u64,
    /// The number of such tokens of other daemons, as they last reported.
    pub others_prefill_tokens: u64,
    /// The number of other daemons' requests there, as the endpoint last reported.
    pub others_running: u32,
    /// The number of other daemons' requests there, as these daemons last reported.
    pub peers_running: u32,
    /// The number of streams of all daemons there that need a quiet engine.
    pub quiet_streams: u32,
}

impl LoadSnapshot {
    /// Returns the number of all requests there, with those of other daemons as the endpoint
    /// reports them.
    pub fn running(&self) -> u32 {
        self.own_running + self.others_running
    }

    /// Returns the number of all requests there, with those of other daemons as the endpoint or
    /// these daemons report them. Not for plain requests: they have ended before a report of
    /// another daemon arrives.
    pub fn fleet_running(&self) -> u32 {
        self.own_running + self.others_running.max(self.peers_running)
    }
}

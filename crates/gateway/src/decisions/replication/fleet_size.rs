//! Fleet size: how many daemons there are, as far as one of them knows.
//!
//! Inputs: numbers that other daemons report, and when.
//!
//! Rule: the largest number of the last `REPORT_TTL`; after that the newest one.
//!
//! Reason: the retry budget is divided by it; daemons that are cut off still live and retry, so
//! that too many are safer than too few.
//!
//! Used by: [`crate::decisions::resend::retry_budget`] and
//! [`crate::decisions::endpoint::idle_connections`].
//!
//! Tests: `decisions.rs::a_fleet_is_as_large_as_it_was_lately`.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the largest number counts. Not measured (commit 359f77a), chosen because it is three
/// windows of the retry budget, so that daemons of a short cut keep their part.
const REPORT_TTL: DurationMs = DurationMs(30_000);

/// The number of daemons.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// 0: nothing was reported yet.
    largest: u32,
    reported_at: TimeMs,
}

impl FleetSize {
    /// A number was reported; 0 says that the reporter doesn't know.
    pub fn on_report(&mut self, now: TimeMs, daemons: u32) {
        let is_expired = now.since(self.reported_at) >= REPORT_TTL;
        if daemons >= self.largest || (is_expired && daemons > 0) {
            self.largest = daemons;
            self.reported_at = now;
        }
    }

    /// The number; none when nothing was reported yet.
    pub fn daemons(&self) -> Option<u32> {
        (self.largest > 0).then_some(self.largest)
    }
}

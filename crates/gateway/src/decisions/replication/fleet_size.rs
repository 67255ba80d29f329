//! Fleet size: the number of daemons, as far as one of them knows.
//!
//! Inputs: numbers that other daemons report, and when.
//!
//! Rule: the largest number counts for `REPORT_TTL` after it was last reported; then the next one
//! that is reported replaces it.
//!
//! Reason: the retry budget is divided by it. Daemons that are partitioned still run and retry, so
//! too large a number is safer than too small a one.
//!
//! Used by: [`crate::decisions::resend::retry_budget`] and
//! [`crate::decisions::endpoint::idle_connections`].
//!
//! Tests: `decisions.rs::a_fleet_keeps_its_largest_recent_size_until_the_report_expires`.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the largest number counts: three windows of the retry budget, so that daemons in a
/// short partition keep their part of it.
const REPORT_TTL: DurationMs = DurationMs(30_000);

/// The number of daemons, as others reported it.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// 0 until a number is reported.
    largest: u32,
    reported_at: TimeMs,
}

impl FleetSize {
    /// Records a reported number; 0 means that the reporter doesn't know.
    pub fn on_report(&mut self, now: TimeMs, daemons: u32) {
        let is_expired = now.since(self.reported_at) >= REPORT_TTL;
        if daemons >= self.largest || (is_expired && daemons > 0) {
            self.largest = daemons;
            self.reported_at = now;
        }
    }

    /// Returns the number of daemons; `None` until one is reported.
    pub fn daemons(&self) -> Option<u32> {
        (self.largest > 0).then_some(self.largest)
    }
}

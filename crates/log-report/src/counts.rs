//! Counts the outcomes of requests and attempts.

use crate::line::LogLine;
use bridgevane_events::Event;
use derive_more::AddAssign;
use serde::Serialize;

/// The number of plain successes for each logged one, as the gateway's `SUCCESS_SAMPLE`; everything
/// else is always logged.
const SUCCESS_SAMPLE: u64 = 16;

/// The numbers of requests and attempts by outcome.
#[derive(AddAssign, Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// The estimated number of served requests; only a sample of plain successes is logged.
    pub served_estimate: u64,
    /// Requests refused by the daemon.
    pub refused: u64,
    /// Refused requests that were shed because of a long queue.
    pub shed: u64,
    /// Attempts without a usable answer.
    pub failed_attempts: u64,
    /// Failed attempts and streams whose request was sent again.
    pub resent: u64,
    /// Retries granted by the retry budget.
    pub retries_granted: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Streams that broke off.
    pub broken_off: u64,
    /// Streams resumed at another endpoint.
    pub resumed: u64,
}

impl OutcomeCounts {
    /// Returns the counts of one line, or `None` if it isn't about the outcome of a request.
    pub(crate) fn from_line(line: &LogLine<'_>) -> Option<Self> {
        let mut counts = Self::default();
        match line.event {
            Event::RequestServed => counts.served_estimate = represented_successes(line),
            Event::RequestTurnedAway => counts.refused = 1,
            Event::LineTooLong => counts.shed = 1,
            Event::AttemptFailed => counts.failed_attempts = 1,
            Event::RequestBrokenOff => counts.broken_off = 1,
            Event::StreamResumed => counts.resumed = 1,
            Event::RetryDecided if line.is_granted == Some(true) => counts.retries_granted = 1,
            Event::RetryDecided => counts.retries_denied = 1,
            _ => return None,
        }
        if line.resend.as_deref() == Some("yes") {
            counts.resent = 1;
        }
        Some(counts)
    }

    /// Returns the number of failures, by which rows are sorted.
    pub fn failures(&self) -> u64 {
        self.refused + self.failed_attempts + self.broken_off
    }
}

/// Returns the number of successes that a line represents.
fn represented_successes(line: &LogLine<'_>) -> u64 {
    let is_sampled = line.status == Some(200) && line.runs == Some(1);
    if is_sampled { SUCCESS_SAMPLE } else { 1 }
}

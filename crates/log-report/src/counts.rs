//! What became of requests, in numbers.

use crate::line::LogLine;
use bridgevane_events::Event;
use derive_more::AddAssign;
use serde::Serialize;

/// One plain success in so many is logged, all else is: from the gateway's `SUCCESS_SAMPLE`.
const SUCCESS_SAMPLE: u64 = 16;

/// Numbers of requests and attempts.
#[derive(AddAssign, Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests served: estimated, since plain successes are logged as a sample.
    pub served_estimate: u64,
    /// Requests that the daemon refused.
    pub refused: u64,
    /// Of these, requests that were shed because of a queue.
    pub shed: u64,
    /// Attempts that gave no answer that can be used.
    pub failed_attempts: u64,
    /// Attempts and streams after which the request was sent again.
    pub resent: u64,
    /// Retries that the retry budget granted.
    pub retries_granted: u64,
    /// Retries that it denied.
    pub retries_denied: u64,
    /// Streams that broke off.
    pub broken_off: u64,
    /// Streams that went on elsewhere.
    pub resumed: u64,
}

impl Counts {
    /// What one line says; none: nothing of requests.
    pub(crate) fn of_line(line: &LogLine<'_>) -> Option<Self> {
        let mut counts = Self::default();
        match line.event {
            Event::RequestServed => counts.served_estimate = successes(line),
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

    /// How much went wrong, to order rows by.
    pub fn trouble(&self) -> u64 {
        self.refused + self.failed_attempts + self.broken_off
    }
}

/// How many successes a line stands for.
fn successes(line: &LogLine<'_>) -> u64 {
    let is_sampled = line.status == Some(200) && line.runs == Some(1);
    if is_sampled { SUCCESS_SAMPLE } else { 1 }
}

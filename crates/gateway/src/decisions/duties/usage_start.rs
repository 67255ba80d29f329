//! Usage start: whether a run of a request counts as its customer's usage, and from when.
//!
//! Inputs: whether the request is plain (no prompt), and the result of the run.
//!
//! Rules:
//! 1. A request counts once, with its first run that started, however often it runs.
//! 2. A plain request starts when it is sent: an endpoint with a free slot accepts it at once. It
//!    counts when it was answered, with any status, and when it may have run.
//! 3. A prompt starts with its first token, which the stream shows. It also started when the engine
//!    answered with a server error.
//! 4. A prompt whose connection broke, or that was abandoned unanswered, counts as started if its
//!    first token was possible by then (`EXPECTED_TIME_SHARE`): an engine that is down breaks
//!    connections at once, one whose response is lost does so when the run has started, and one
//!    that is silent keeps running its requests. A break at once may also be a lost response: it is
//!    taken as not started, so that no customer pays for it.
//!
//! Reason: compared with the counts of the platform itself, with one fault for 15 s, the report of
//! a window was off by these shares of its requests: with first tokens only, 0.27 where engines
//! fail 0.45 of their requests, 0.30 where they lose half of their responses; with all broken
//! connections and each run counted, 0.16 and 0.15 there, and 0.37 where engines go down and up.
//!
//! Tests: `duties_usage.rs`.

use crate::decisions::resend::AttemptError;
use http::StatusCode;

/// A run that ends before this share of the expected time to its first token is taken as not
/// started: the expectation doesn't include every prompt prefix that an engine has already read. At
/// 1.5, windows in which engines lose half of their responses were 0.30 too low; at 0.5, up to
/// 0.11, and no window where engines go down and up was off by more than 0.05.
const EXPECTED_TIME_SHARE: f64 = 0.5;
/// The minimum time to a first token, besides the queue and the prefill of the prompt: two or three
/// steps of an engine and the latency.
const MIN_FIRST_TOKEN_MS: f64 = 10.0;

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunResult {
    /// The endpoint answered with this status.
    Answered(StatusCode),
    /// There was no usable response, and the request may have run.
    Failed(FailedRun),
}

/// A run without a usable response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedRun {
    /// The reason why there was no usable response.
    pub error: AttemptError,
    /// The time since it was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// The expected time of the queue and the prefill of the prompt, in milliseconds.
    pub expected_ms: f64,
}

/// The time from which a run counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageStart {
    /// The time at which the request was sent.
    WhenSent,
    /// The present: the time at which the result of the run is known.
    Now,
}

/// Returns from when a run counts; `None` if it didn't start, or if its first token will show it.
pub fn usage_start(is_plain: bool, run: RunResult) -> Option<UsageStart> {
    if is_plain {
        return Some(UsageStart::WhenSent);
    }
    let has_begun = match run {
        RunResult::Answered(status) => status.is_server_error(),
        RunResult::Failed(failed) => has_failed_run_begun(failed),
    };
    has_begun.then_some(UsageStart::Now)
}

fn has_failed_run_begun(run: FailedRun) -> bool {
    let first_token_ms = run.expected_ms * EXPECTED_TIME_SHARE + MIN_FIRST_TOKEN_MS;
    let may_have_begun = matches!(
        run.error,
        AttemptError::Broken
            | AttemptError::Misframed
            | AttemptError::InvalidStatus
            | AttemptError::Unsigned
            | AttemptError::WithoutEnd
            | AttemptError::TimedOut
            | AttemptError::Silent
    );
    may_have_begun && run.elapsed_ms >= first_token_ms
}

//! Usage start: whether a run of a request counts as its customer's usage, and from when.
//!
//! Inputs: whether the request is plain (no prompt), and how the run went.
//!
//! Rules:
//! 1. A request counts once, with its first run that began, however often it runs.
//! 2. A plain request begins when it is sent: an endpoint with a free slot takes it at once. It
//!    counts when it was answered, whatever the status, and when it may have run.
//! 3. A prompt begins with its first token, which the stream shows. It also began when the engine
//!    answered with a failure of its own.
//! 4. A prompt whose connection broke, or that was given up unanswered, began if it could have had
//!    its first token by then (`CERTAINTY`): an engine that is down breaks connections at once, one
//!    whose answer is lost does so when the run has begun, and one that says nothing holds on to the
//!    requests that it runs. A break at once may also be an answer that was lost: it is taken not to
//!    have begun, so that nobody pays for it.
//!
//! Measured against what the users' platform counts, on days with one fault for 15 s, as the part of
//! a window's requests by which the report was off: with first tokens only, 0.27 where engines fail
//! 0.45 of their requests, 0.30 where they lose half of their answers; with all broken connections
//! and each run counted, 0.16 and 0.15 there, and 0.37 where engines go down and up.
//!
//! Tests: `duties_usage.rs`.

use crate::decisions::resend::AttemptError;
use http::StatusCode;

/// A run that is over before this part of the expected time to its first token is taken not to have
/// begun: the expectation doesn't know all that an engine has read before. Measured: at 1.5, windows
/// in which engines lose half of their answers were 0.30 too low; at 0.5, up to 0.11, and no window
/// where engines go down and up was off by more than 0.05.
const CERTAINTY: f64 = 0.5;
/// What a first token takes at the least, beside the queue and the reading of the prompt. Not
/// measured by itself, chosen as two or three steps of an engine and the way.
const FIRST_TOKEN_MS: f64 = 10.0;

/// How a run went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Run {
    /// The endpoint answered with this status.
    Answered(StatusCode),
    /// There was no answer that can be used, and the request may have run.
    Failed(FailedRun),
}

/// A run without an answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedRun {
    /// What happened.
    pub error: AttemptError,
    /// How long after it was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// How long the queue and the reading of the prompt were expected to take, in milliseconds.
    pub expected_ms: f64,
}

/// From when a run counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Began {
    /// When it was sent.
    WhenSent,
    /// Now.
    Now,
}

/// Whether a run began, and when; none: it didn't, or its first token will show it.
pub fn began(is_plain: bool, run: Run) -> Option<Began> {
    if is_plain {
        return Some(Began::WhenSent);
    }
    let has_begun = match run {
        Run::Answered(status) => status.is_server_error(),
        Run::Failed(failed) => failed_run_began(failed),
    };
    has_begun.then_some(Began::Now)
}

fn failed_run_began(run: FailedRun) -> bool {
    let first_token_ms = run.expected_ms * CERTAINTY + FIRST_TOKEN_MS;
    let may_have_begun = matches!(
        run.error,
        AttemptError::Broken | AttemptError::TimedOut | AttemptError::Silent
    );
    may_have_begun && run.elapsed_ms >= first_token_ms
}

//! Usage start: whether a run of a request counts as its customer's usage, and from when.
//!
//! Inputs: whether the request is plain (no prompt), and how the run went.
//!
//! Rules:
//! 1. A plain request begins when it is sent: an endpoint with a free slot takes it at once. It
//!    counts when it was answered, whatever the status, and when it may have run.
//! 2. A prompt begins with its first token, which the stream shows. It also began when the engine
//!    answered with a failure of its own, or broke off: engines fail when they run a request, not
//!    while it waits. One that was given up before any answer counts as not begun: it was waiting or
//!    being read.
//!
//! Measured against what the users' platform counts: with rule 2's first sentence alone, windows in
//! which engines failed part of their requests or lost answers were 8 to 14 in 100 too low.
//!
//! Tests: `duties_usage.rs`.

use crate::decisions::resend::AttemptError;
use http::StatusCode;

/// How a run went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// The endpoint answered with this status.
    Answered(StatusCode),
    /// There was no answer that can be used, and the request may have run.
    Failed(AttemptError),
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
    let is_failure = match run {
        Run::Answered(status) => status.is_server_error(),
        Run::Failed(error) => error == AttemptError::Broken,
    };
    is_failure.then_some(Began::Now)
}

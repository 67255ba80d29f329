//! Stopping: whether a daemon that is about to end begins a request.
//!
//! Inputs: the time until the process ends at the latest (ms), the time until the request's own limit
//! (ms), which is the client's or the route's, and whether the request may run more than once.
//!
//! Rule: a plain request that may run once is begun only if its limit comes before the end of the process.
//! All others are begun.
//!
//! Reason: the end cuts what still runs. A request that may run once has an unknown outcome then; refused
//! at once it has not run, and its client sends it to another daemon. A request that may be repeated is
//! sent again anyway, and a stream shows its client where it broke. Refusing these, whose limits are longer
//! than most stops, would turn away what nearly always ends in time.
//!
//! Tests: `stopping.rs::a_request_that_may_run_once_is_not_begun…`.

use bridgevane_types::DurationMs;

/// A request that arrives at a daemon that is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// The time until the process ends at the latest.
    pub until_end: DurationMs,
    /// The time until the client, or the operator, gives the request up.
    pub until_limit: DurationMs,
    /// Whether it may run more than once.
    pub may_run_again: bool,
    /// Whether it is answered with a stream.
    pub is_stream: bool,
}

/// Returns whether the request is begun.
pub fn may_begin(request: LateRequest) -> bool {
    request.may_run_again || request.is_stream || request.until_limit <= request.until_end
}

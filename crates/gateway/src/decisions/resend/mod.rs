//! Resending: whether a request may go to another endpoint, and if not, why.
//!
//! Inputs: what happened ([`Failure`]), the route's policy, the attempts so far, the time left
//! until the deadline, and the retry budget that all daemons share ([`retry_budget`]).
//!
//! Rules, in this order:
//! 1. A request that was *not sent* goes to another endpoint without using the budget; one that its
//!    endpoint reports as *not executed* goes to another one and uses the budget. Both apply also
//!    to requests that may run only once. At most [`MAX_ENDPOINTS`] endpoints are tried this way.
//! 2. A request that *may have run* is sent again only if its route allows more than one run, runs
//!    are left, and the budget allows it. The same applies if the endpoint answered with a server
//!    error.
//! 3. The request of a *silent* endpoint is sent to a second one under the same rule; the pending
//!    run counts ([`hedging`] decides when).
//! 4. A *stream* that broke is resumed elsewhere under the same rule, if its route is resumable and
//!    time is left.
//! 5. A request that may have run isn't sent again if [`MAX_SUSPECTED_CRASHES`] endpoints have crashed
//!    under it or a part of its prompt, and it was never answered well since.
//!
//! Reason: a call that may run once must never run twice, and retries must not make an overload
//! worse. "Not run" is claimed only if it is proved: no byte was sent, or the endpoint says so.
//!
//! Tests: `resend.rs`, `refusing_endpoints.rs`;
//! `exchange.rs::plain_requests_are_repeated_only_where_the_route_allows_it`.

pub mod hedging;
pub mod retry_budget;

use derive_more::{Display, Error};
use std::time::Duration;

/// The maximum number of endpoints that are tried while the request has not run. Fewer refuse more
/// requests while some endpoints are full; each costs a round trip of the client's time.
pub const MAX_ENDPOINTS: usize = 4;
/// The number of crashes from which a request that may be their cause isn't sent again: the first crash
/// ends many requests, and the second seldom the same ones.
pub const MAX_SUSPECTED_CRASHES: usize = 2;
/// The shortest time that an endpoint is given: a round trip and a step of the fastest endpoints.
/// Below it the answer would arrive too late.
pub const MIN_REMAINING: Duration = Duration::from_millis(5);

/// The reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OpenError {
    /// No process listens there, or the system refused the connection.
    #[display("connection refused")]
    Refused,
    /// The connection was not accepted in time.
    #[display("connection timed out")]
    TimedOut,
}

/// The reason why an attempt gave no usable answer. The text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte of the request was sent.
    #[display("not_sent")]
    NotSent(OpenError),
    /// The endpoint reports that it did not run the request.
    #[display("not_executed")]
    NotExecuted,
    /// Another endpoint has the address now; it did not run the request.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke: the request may have run.
    #[display("broken")]
    Broken,
    /// The answer belongs to another request: the request may have run.
    #[display("crossed")]
    Crossed,
    /// The answer's end can't be known from its head: the request may have run.
    #[display("misframed")]
    Misframed,
    /// The status isn't one of a final answer: the request may have run.
    #[display("invalid_status")]
    InvalidStatus,
    /// A success without the endpoint's signature: the request may have run.
    #[display("unsigned")]
    Unsigned,
    /// Bytes that are no answer arrived without end: the request may have run.
    #[display("without_end")]
    WithoutEnd,
    /// No answer before the deadline: the request may have run.
    #[display("timed_out")]
    TimedOut,
    /// No answer before the hedging delay, and the budget allows to ask a second endpoint: the
    /// request may have run.
    #[display("silent")]
    Silent,
}

impl AttemptError {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Broken
                | Self::Crossed
                | Self::Misframed
                | Self::InvalidStatus
                | Self::Unsigned
                | Self::WithoutEnd
                | Self::TimedOut
                | Self::Silent
        )
    }
}

/// The failure after which a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An attempt gave no usable answer.
    Attempt(AttemptError),
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint is silent, and the request still waits there.
    StillWaiting,
    /// A stream broke after its head had arrived.
    StreamBroken,
}

/// The route's limits on sending a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendPolicy {
    /// Whether a request may run more than once, which includes a resumed stream.
    pub may_run_again: bool,
    /// Whether another endpoint may resume a stream.
    pub is_resumable: bool,
    /// The maximum number of runs of one request.
    pub max_runs: u32,
}

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendProgress {
    /// The number of endpoints that were tried, including those to which no byte was sent.
    pub endpoints_tried: usize,
    /// The number of attempts that ran or may have run.
    pub runs: u32,
    /// The time until its deadline.
    pub remaining: Duration,
    /// The number of endpoints that have crashed under it or a part of its prompt.
    pub suspected_crashes: usize,
}

/// The reason why a request is not sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoResend {
    /// The request may have run, and may run only once.
    #[display("runs_once")]
    RunsOnce,
    /// The request has had all runs that its route allows.
    #[display("no_runs_left")]
    NoRunsLeft,
    /// The maximum number of endpoints did not accept it.
    #[display("no_endpoints_left")]
    NoEndpointsLeft,
    /// The stream can't be resumed.
    #[display("not_resumable")]
    NotResumable,
    /// It may be the cause of crashes.
    #[display("may_crash_endpoints")]
    MayCrashEndpoints,
    /// The deadline is too close.
    #[display("out_of_time")]
    OutOfTime,
    /// The retry budget is empty.
    #[display("budget_empty")]
    BudgetEmpty,
}

/// Decides whether a request is sent again. `withdraw_retry` uses one retry of the budget, if one
/// is left; it is called last, and only if a retry is needed.
///
/// # Errors
/// [`NoResend`] if the request isn't sent again.
pub fn check(
    failure: Failure,
    policy: ResendPolicy,
    progress: ResendProgress,
    withdraw_retry: impl FnOnce() -> bool,
) -> Result<(), NoResend> {
    let is_free = match failure {
        // The retry was taken from the budget when the second endpoint was allowed.
        Failure::Attempt(AttemptError::Silent) => return Ok(()),
        Failure::Attempt(error) if !error.may_have_run() => {
            check_endpoints(progress)?;
            matches!(error, AttemptError::NotSent(_))
        }
        Failure::Attempt(_) | Failure::ServerError => {
            check_crashes(progress)?;
            check_runs(policy, progress.runs)?;
            false
        }
        Failure::StillWaiting => {
            check_crashes(progress)?;
            check_runs(policy, progress.runs + 1)?;
            false
        }
        Failure::StreamBroken => {
            check_crashes(progress)?;
            check_resume(policy, progress)?;
            false
        }
    };
    if is_free || withdraw_retry() {
        return Ok(());
    }
    Err(NoResend::BudgetEmpty)
}

fn check_crashes(progress: ResendProgress) -> Result<(), NoResend> {
    if progress.suspected_crashes >= MAX_SUSPECTED_CRASHES {
        return Err(NoResend::MayCrashEndpoints);
    }
    Ok(())
}

fn check_endpoints(progress: ResendProgress) -> Result<(), NoResend> {
    if progress.endpoints_tried >= MAX_ENDPOINTS {
        return Err(NoResend::NoEndpointsLeft);
    }
    Ok(())
}

fn check_runs(policy: ResendPolicy, runs: u32) -> Result<(), NoResend> {
    if !policy.may_run_again {
        return Err(NoResend::RunsOnce);
    }
    if runs >= policy.max_runs {
        return Err(NoResend::NoRunsLeft);
    }
    Ok(())
}

fn check_resume(policy: ResendPolicy, progress: ResendProgress) -> Result<(), NoResend> {
    if !policy.is_resumable {
        return Err(NoResend::NotResumable);
    }
    if progress.remaining <= MIN_REMAINING {
        return Err(NoResend::OutOfTime);
    }
    check_runs(policy, progress.runs)
}

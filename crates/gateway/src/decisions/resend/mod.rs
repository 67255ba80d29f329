//! Sending again: may a request go to another endpoint, and if not, why not?
//!
//! Inputs: what happened ([`Failure`]), the route's policy, which attempts there were, the time
//! left until the deadline, and the retry budget that all daemons share ([`retry_budget`]).
//!
//! Rules, in this order:
//! 1. A request that was *not sent* goes elsewhere for free; one that its endpoint says it did
//!    *not run* goes elsewhere and takes from the budget. Both may run once only. At most
//!    [`MAX_ENDPOINTS`] endpoints are tried this way.
//! 2. A request that *may have run* is sent again only where its route allows more than one run,
//!    while runs are left, and the budget gives one. So does one whose endpoint answered with a
//!    server error.
//! 3. A *silent* endpoint's request is sent to a second one under the same rule; the run that is
//!    still out counts ([`hedging`] says when).
//! 4. A *stream* that broke off goes on elsewhere under the same rule, where its route can be
//!    resumed and time is left.
//!
//! Reason: a call that may run once must never run twice, and retries must not make an overload
//! worse. "Not run" is said only where it is proved: no byte was sent, or the endpoint says so.
//!
//! Measured: commits c4eddeb (server errors of resumable streams: ravaton 0.777 to 0.789), 359f77a
//! (the budget).
//!
//! Tests: `resend.rs`; `exchange.rs::outcomes_of_plain_requests`.

pub mod hedging;
pub mod retry_budget;

use derive_more::{Display, Error};
use std::time::Duration;

/// Endpoints that are tried at most while the request has not run. Not measured (commit c8e2817).
/// Fewer refuse more while some endpoints are full; each costs a round trip of the client's time.
pub const MAX_ENDPOINTS: usize = 4;
/// The least time that an endpoint is given. Not measured, chosen because it is a round trip and a
/// step of the fastest endpoints; below it the answer would come too late.
pub const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Why no connection came about.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Nobody listens there, or the system refused the connection.
    #[display("connection refused")]
    Refused,
    /// Nobody answered in time.
    #[display("connection timed out")]
    TimedOut,
}

/// Why an attempt gave no answer that can be used. The text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte of the request was sent.
    #[display("not_sent")]
    NotSent(OpenError),
    /// The endpoint says that it did not run the request.
    #[display("not_executed")]
    NotExecuted,
    /// Another endpoint has the address now; it did not run the request.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke: it may have run.
    #[display("broken")]
    Broken,
    /// The answer belongs to another request: it may have run.
    #[display("crossed")]
    Crossed,
    /// No answer until the deadline: it may have run.
    #[display("timed_out")]
    TimedOut,
    /// No answer for so long that a second endpoint is asked, which the budget allows: it may have
    /// run.
    #[display("silent")]
    Silent,
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Broken | Self::Crossed | Self::TimedOut | Self::Silent
        )
    }
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An attempt gave no answer that can be used.
    Attempt(AttemptError),
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint is silent, and the request still waits there.
    StillWaiting,
    /// A stream broke off after its head had come.
    StreamBroken,
}

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendPolicy {
    /// Whether a request may run more than once, also as a stream that is resumed.
    pub may_run_again: bool,
    /// Whether another endpoint may go on with a stream.
    pub is_resumable: bool,
    /// Runs that one request may have.
    pub max_runs: u32,
}

/// What became of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendProgress {
    /// Endpoints that it was sent to, or was to be sent to.
    pub endpoints_tried: usize,
    /// Attempts that ran, or may have run.
    pub runs: u32,
    /// The time until its deadline.
    pub remaining: Duration,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoResend {
    /// It may have run, and may run once only.
    #[display("runs_once")]
    RunsOnce,
    /// It has had all runs that its route allows.
    #[display("no_runs_left")]
    NoRunsLeft,
    /// As many endpoints as allowed did not take it.
    #[display("no_endpoints_left")]
    NoEndpointsLeft,
    /// Its stream can't be resumed.
    #[display("not_resumable")]
    NotResumable,
    /// Its time is nearly over.
    #[display("out_of_time")]
    OutOfTime,
    /// The retry budget is empty.
    #[display("budget_empty")]
    BudgetEmpty,
}

/// Decides whether a request is sent again. `take_from_budget` takes one retry, if one is left; it
/// is called last, and only where a retry is paid for.
///
/// # Errors
/// [`NoResend`] when it isn't.
pub fn check(
    failure: Failure,
    policy: ResendPolicy,
    progress: ResendProgress,
    take_from_budget: impl FnOnce() -> bool,
) -> Result<(), NoResend> {
    let is_free = match failure {
        // The retry was taken from the budget when the second endpoint was allowed.
        Failure::Attempt(AttemptError::Silent) => return Ok(()),
        Failure::Attempt(error) if !error.may_have_run() => {
            check_endpoints(progress)?;
            matches!(error, AttemptError::NotSent(_))
        }
        Failure::Attempt(_) | Failure::ServerError => {
            check_runs(policy, progress.runs)?;
            false
        }
        Failure::StillWaiting => {
            check_runs(policy, progress.runs + 1)?;
            false
        }
        Failure::StreamBroken => {
            check_resume(policy, progress)?;
            false
        }
    };
    if is_free || take_from_budget() {
        return Ok(());
    }
    Err(NoResend::BudgetEmpty)
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

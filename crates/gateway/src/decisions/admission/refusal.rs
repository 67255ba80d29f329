//! Refusals: what the daemon answers itself, with which status, and when the client may come back.
//!
//! Statuses carry a promise: 408, 421, 429 and 503 say that the request has not run and will not,
//! so a client may send it again, also one that may run only once. Hence once a request may have
//! run, only 502 and 504 are left ([`RefusalReason::unless_run`], [`Refusal::after_failure`]).
//!
//! Tests: `exchange.rs::outcomes_of_plain_requests`, `bad_requests_get_a_typed_answer_at_once`.

use crate::decisions::resend::AttemptError;
use bridgevane_types::DurationMs;
use derive_more::Display;
use http::StatusCode;

/// When to come back to a daemon that waits for a proof. Not measured, chosen because it is below
/// the 500 ms in which the source is asked again; half of it would bring most clients back too
/// soon.
const NOT_READY_RETRY_AFTER: DurationMs = DurationMs(300);
/// When to come back if a service has no endpoint. Not measured, chosen because changes of the
/// source gather for 200 ms, so that none can show sooner.
const NO_ENDPOINT_RETRY_AFTER: DurationMs = DurationMs(200);
/// When to come back if endpoints or memory are full. Not measured; requests take some 20 ms at
/// plain endpoints, so a place is free by then. Twice as long costs clients with short deadlines a
/// try.
const OVERLOADED_RETRY_AFTER: DurationMs = DurationMs(100);

/// Why the daemon answers itself. The text is the code in the answer's body, in logs and in
/// metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request lacks its identifier, or has several.
    #[display("malformed_request")]
    Malformed,
    /// No route for this host and path.
    #[display("route_not_found")]
    NoRoute,
    /// No key, or an unknown one.
    #[display("invalid_api_key")]
    UnknownKey,
    /// The body is longer than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not come in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// The body broke off.
    #[display("body_broken")]
    BodyBroken,
    /// The configuration is not proved to be fresh.
    #[display("not_ready")]
    NotReady,
    /// No endpoint of the service may get work.
    #[display("no_endpoint")]
    NoEndpoint,
    /// All endpoints that were tried are full, or the queue is too long.
    #[display("overloaded")]
    Overloaded,
    /// The daemon holds as many bodies as it may.
    #[display("memory_full")]
    MemoryFull,
    /// The client's time is over, and the request has not run.
    #[display("expired")]
    Expired,
    /// The client's time is over, and the request may have run.
    #[display("timed_out")]
    TimedOut,
    /// Endpoints have ended under this request, now or at an earlier try. It has run, and coming
    /// back is of no use.
    #[display("ends_endpoints")]
    EndsEndpoints,
    /// An endpoint took the request, and no whole answer came.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl RefusalReason {
    /// The HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::MemoryFull
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::EndsEndpoints | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// When the client may come back, for reasons that pass.
    fn usual_retry_after(self) -> Option<DurationMs> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY_AFTER),
            Self::NoEndpoint => Some(NO_ENDPOINT_RETRY_AFTER),
            Self::Overloaded | Self::MemoryFull => Some(OVERLOADED_RETRY_AFTER),
            _ => None,
        }
    }

    /// This reason, which says "not run", or [`Self::OutcomeUnknown`] once the request may have
    /// run.
    pub fn unless_run(self, runs: u32) -> Self {
        if runs > 0 { Self::OutcomeUnknown } else { self }
    }

    /// The reason when the client's time is over.
    pub fn out_of_time(runs: u32) -> Self {
        if runs > 0 {
            Self::TimedOut
        } else {
            Self::Expired
        }
    }
}

/// A refusal, and when to come back where the endpoint or the rule says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Goes before the reason's usual time.
    pub retry_after: Option<DurationMs>,
}

impl Refusal {
    /// When the client may come back; none: it needn't.
    pub fn retry_after(&self) -> Option<DurationMs> {
        self.retry_after.or(self.reason.usual_retry_after())
    }

    /// The refusal of a request for which no endpoint is left.
    pub fn none_selected(none: NoneSelected) -> Self {
        let has_endpoints = none.was_tried || none.may_be_cold || none.earliest_use.is_some();
        if has_endpoints {
            Self::overloaded(none.runs, none.earliest_use)
        } else {
            RefusalReason::NoEndpoint.unless_run(none.runs).into()
        }
    }

    /// No endpoint takes the request now; it is told to come back when one does.
    fn overloaded(runs: u32, earliest_use: Option<DurationMs>) -> Self {
        let reason = RefusalReason::Overloaded.unless_run(runs);
        let retry_after = earliest_use.map(|wait| wait.max(OVERLOADED_RETRY_AFTER));
        Self {
            reason,
            // A request that may have run isn't asked to come back.
            retry_after: retry_after.filter(|_| reason == RefusalReason::Overloaded),
        }
    }

    /// The refusal after a failed attempt that is not sent again; `runs` counts the attempts that
    /// ran, or may have run, and `earliest_use` says how long it is until an endpoint may get the request (none: one
    /// may now, and only the retry isn't allowed).
    pub fn after_failure(error: AttemptError, runs: u32, earliest_use: Option<DurationMs>) -> Self {
        if error.may_have_run() {
            return match error {
                AttemptError::TimedOut => RefusalReason::TimedOut.into(),
                _ => RefusalReason::OutcomeUnknown.into(),
            };
        }
        Self::overloaded(runs, earliest_use)
    }
}

/// A request for which no endpoint is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoneSelected {
    /// Whether an endpoint was tried.
    pub was_tried: bool,
    /// Whether endpoints of the service may be cold.
    pub may_be_cold: bool,
    /// How long it is until an endpoint may get the request; none: time alone changes nothing.
    pub earliest_use: Option<DurationMs>,
    /// Attempts that ran, or may have run.
    pub runs: u32,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

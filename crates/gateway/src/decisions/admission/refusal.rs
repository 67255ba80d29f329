//! Refusals: the answers that the daemon gives itself, their status, and when the client may retry.
//!
//! Each status is a guarantee: 408, 421, 429 and 503 say that the request has not run and will not,
//! so a client may send it again, even one that may run only once. Hence once a request may have
//! run, only 502 and 504 are left ([`RefusalReason::or_unknown_if_run`],
//! [`Refusal::after_failure`]).
//!
//! Tests: `exchange.rs::plain_requests_are_repeated_only_where_the_route_allows_it`,
//! `invalid_requests_get_an_error_code_and_reach_no_endpoint`.

use crate::decisions::resend::AttemptError;
use bridgevane_client_limits::BodyError;
use bridgevane_types::DurationMs;
use derive_more::Display;
use http::StatusCode;

/// The retry time while the daemon waits for a proof. It is below the 500 ms after which the source
/// is polled again; half of it would bring most clients back too soon.
const NOT_READY_RETRY_AFTER: DurationMs = DurationMs(300);
/// The retry time if a service has no endpoint. Changes of the source are batched for 200 ms, so
/// that none can take effect sooner.
const NO_ENDPOINT_RETRY_AFTER: DurationMs = DurationMs(200);
/// The retry time if endpoints or memory are full. Requests take some 20 ms at plain endpoints, so
/// a slot is free by then. Twice as long costs clients with short deadlines an attempt.
const OVERLOADED_RETRY_AFTER: DurationMs = DurationMs(100);

/// The reason for an answer by the daemon itself. The text is the code in the answer's body, in
/// logs and in metrics.
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
    /// The body was not received in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// The body was incomplete.
    #[display("body_broken")]
    BodyBroken,
    /// The configuration is not proved to be current.
    #[display("not_ready")]
    NotReady,
    /// This daemon is stopping, and the request could be cut at its end.
    #[display("stopping")]
    Stopping,
    /// No endpoint of the service may get requests.
    #[display("no_endpoint")]
    NoEndpoint,
    /// This daemon reaches no endpoint of the service.
    #[display("endpoints_unreachable")]
    EndpointsUnreachable,
    /// All endpoints that were tried are full, or the queue is too long.
    #[display("overloaded")]
    Overloaded,
    /// With this body, the daemon would hold more than clients may make it hold.
    #[display("memory_full")]
    MemoryFull,
    /// The client's timeout has passed, and the request has not run.
    #[display("expired")]
    Expired,
    /// The client's timeout has passed, and the request may have run.
    #[display("timed_out")]
    TimedOut,
    /// Endpoints have crashed while running this request, in this attempt or an earlier one. It has
    /// run, and a retry is of no use.
    #[display("ends_endpoints")]
    EndsEndpoints,
    /// No endpoint is left that runs the software version at which the stream began.
    #[display("stream_version_gone")]
    StreamVersionGone,
    /// It isn't known at which software version the stream began.
    #[display("stream_version_unknown")]
    StreamVersionUnknown,
    /// An endpoint accepted the request, and no complete answer arrived.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl RefusalReason {
    const ALL: [Self; 18] = [
        Self::Malformed,
        Self::NoRoute,
        Self::UnknownKey,
        Self::BodyTooLarge,
        Self::BodyTimeout,
        Self::BodyBroken,
        Self::NotReady,
        Self::Stopping,
        Self::NoEndpoint,
        Self::EndpointsUnreachable,
        Self::Overloaded,
        Self::MemoryFull,
        Self::Expired,
        Self::TimedOut,
        Self::EndsEndpoints,
        Self::StreamVersionGone,
        Self::StreamVersionUnknown,
        Self::OutcomeUnknown,
    ];

    /// Returns the reason with this code; `None` if this version doesn't know it.
    pub fn from_code(code: &str) -> Option<Self> {
        let has_code = |reason: &Self| reason.to_string() == code;
        Self::ALL.into_iter().find(has_code)
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::Stopping
            | Self::NoEndpoint
            | Self::EndpointsUnreachable
            | Self::Overloaded
            | Self::MemoryFull
            | Self::Expired
            | Self::StreamVersionGone
            | Self::StreamVersionUnknown => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::EndsEndpoints | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether a newer configuration may allow what is refused for this reason.
    pub fn depends_on_configuration(self) -> bool {
        matches!(self, Self::NoRoute | Self::UnknownKey | Self::BodyTooLarge)
    }

    /// Returns when the client may retry, for temporary reasons.
    fn default_retry_after(self) -> Option<DurationMs> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY_AFTER),
            // A new connection leads to another daemon.
            Self::Stopping => Some(DurationMs(0)),
            Self::NoEndpoint | Self::EndpointsUnreachable => Some(NO_ENDPOINT_RETRY_AFTER),
            Self::Overloaded | Self::MemoryFull => Some(OVERLOADED_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns this reason, which says "not run", or [`Self::OutcomeUnknown`] once the request may
    /// have run.
    pub fn or_unknown_if_run(self, runs: u32) -> Self {
        if runs > 0 { Self::OutcomeUnknown } else { self }
    }

    /// Returns the reason if the client's timeout has passed.
    pub fn out_of_time(runs: u32) -> Self {
        if runs > 0 {
            Self::TimedOut
        } else {
            Self::Expired
        }
    }
}

impl From<BodyError> for RefusalReason {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::Timeout => Self::BodyTimeout,
            BodyError::Broken => Self::BodyBroken,
            BodyError::MemoryFull => Self::MemoryFull,
        }
    }
}

/// A refusal, with a retry time if the endpoint or the rule gives one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The retry time, which overrides the default of the reason.
    pub retry_after: Option<DurationMs>,
}

impl Refusal {
    /// Returns the time after which the client may retry; `None` if a retry time isn't sent.
    pub fn retry_after(&self) -> Option<DurationMs> {
        self.retry_after.or(self.reason.default_retry_after())
    }

    /// Returns the refusal of a request for which no endpoint is left.
    pub fn no_endpoint_left(none: NoEndpointLeft) -> Self {
        let has_endpoints =
            none.was_tried || none.may_be_cold || none.time_until_available.is_some();
        if has_endpoints {
            Self::overloaded(none.runs, none.time_until_available)
        } else {
            RefusalReason::NoEndpoint
                .or_unknown_if_run(none.runs)
                .into()
        }
    }

    /// Returns the refusal if no endpoint accepts the request now; its retry time is when one does.
    fn overloaded(runs: u32, time_until_available: Option<DurationMs>) -> Self {
        let reason = RefusalReason::Overloaded.or_unknown_if_run(runs);
        let retry_after = time_until_available.map(|wait| wait.max(OVERLOADED_RETRY_AFTER));
        Self {
            reason,
            // A request that may have run gets no retry time.
            retry_after: retry_after.filter(|_| reason == RefusalReason::Overloaded),
        }
    }

    /// Returns the refusal after a failed attempt that is not sent again. `runs` counts the
    /// attempts that ran or may have run, and `time_until_available` is the time until an endpoint
    /// may get the request (`None`: one may get it now, and only the retry isn't allowed).
    pub fn after_failure(
        error: AttemptError,
        runs: u32,
        time_until_available: Option<DurationMs>,
    ) -> Self {
        if error.may_have_run() {
            return match error {
                AttemptError::TimedOut => RefusalReason::TimedOut.into(),
                _ => RefusalReason::OutcomeUnknown.into(),
            };
        }
        Self::overloaded(runs, time_until_available)
    }
}

/// The state of a request for which no endpoint is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoEndpointLeft {
    /// Whether an endpoint was tried.
    pub was_tried: bool,
    /// Whether endpoints of the service may be cold.
    pub may_be_cold: bool,
    /// The time until an endpoint may get the request; `None` if waiting alone doesn't help.
    pub time_until_available: Option<DurationMs>,
    /// The number of attempts that ran or may have run.
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

//! Refusals: HTTP status, typed code, outcome and retry time of a final answer without the result.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use axum::response::{IntoResponse, Response};
use bridgevane_client_limits::BodyError;
use bridgevane_types::{DurationMs, Outcome, RefusalCode, RequestId};
use serde_json::{Value, json};

/// The reason why a request is invalid, or can't be accepted yet.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum BadRequest {
    /// The bearer key is missing or unknown.
    #[display("invalid_api_key")]
    UnknownKey,
    /// The body isn't the JSON that the call expects.
    #[display("invalid_body")]
    MalformedBody,
    /// The body is larger than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// With this body, the daemon would hold more than callers may make it hold.
    #[display("memory_full")]
    MemoryFull,
    /// No service serves the model.
    #[display("model_not_found")]
    UnknownModel,
    /// No service has this name.
    #[display("service_not_found")]
    UnknownService,
    /// No route of the service matches.
    #[display("route_not_found")]
    UnknownRoute,
    /// The request kind isn't declared, or not for this customer.
    #[display("kind_not_allowed")]
    KindNotAllowed,
    /// The idempotency key was used for another call.
    #[display("idempotency_key_reused")]
    KeyReused,
    /// A call with the same idempotency key is in progress.
    #[display("idempotency_key_in_progress")]
    KeyInProgress,
    /// The daemon has no configuration yet.
    #[display("not_ready")]
    NotReady,
}

/// The final answer of a request that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerRefusal {
    /// The request's id.
    pub request: RequestId,
    /// The HTTP status.
    pub status: StatusCode,
    /// The typed code.
    pub code: ErrorCode,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The retry time; absent: client libraries must not retry by themselves.
    pub retry_after_ms: Option<DurationMs>,
}

impl From<BodyError> for BadRequest {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::Timeout => Self::BodyTimeout,
            BodyError::Broken => Self::MalformedBody,
            BodyError::MemoryFull => Self::MemoryFull,
        }
    }
}

/// The typed code of a final answer.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    /// The request was invalid, or the daemon isn't ready.
    #[display("{_0}")]
    BadRequest(BadRequest),
    /// The router refused the request, or failed to complete it.
    #[display("{_0}")]
    Refused(RefusalCode),
}

/// The retry time of a request that is refused only for now: the daemon isn't ready, has no memory for the
/// body, or a call with the same idempotency key is in progress. A starting daemon has its configuration within a second.
const TEMPORARY_RETRY: DurationMs = DurationMs(1_000);

impl CallerRefusal {
    /// Returns the refusal of an invalid request, which was not run.
    pub(crate) fn bad_request(request: RequestId, bad: BadRequest) -> Self {
        let status = match bad {
            BadRequest::UnknownKey => StatusCode::UNAUTHORIZED,
            BadRequest::MalformedBody => StatusCode::BAD_REQUEST,
            BadRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            BadRequest::UnknownModel | BadRequest::UnknownService | BadRequest::UnknownRoute => {
                StatusCode::NOT_FOUND
            }
            BadRequest::KindNotAllowed => StatusCode::FORBIDDEN,
            BadRequest::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            BadRequest::KeyInProgress => StatusCode::CONFLICT,
            BadRequest::NotReady | BadRequest::MemoryFull => StatusCode::SERVICE_UNAVAILABLE,
        };
        let is_temporary = matches!(
            bad,
            BadRequest::NotReady | BadRequest::KeyInProgress | BadRequest::MemoryFull
        );
        Self {
            request,
            status,
            code: ErrorCode::BadRequest(bad),
            outcome: Outcome::NotRun,
            retry_after_ms: is_temporary.then_some(TEMPORARY_RETRY),
        }
    }

    /// Returns the refusal of a request that the router refused or failed to complete.
    pub fn refused(
        request: RequestId,
        code: RefusalCode,
        outcome: Outcome,
        retry_after_ms: Option<DurationMs>,
    ) -> Self {
        let status = match code {
            RefusalCode::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
            RefusalCode::Rejected => StatusCode::BAD_REQUEST,
            RefusalCode::EndsEngines
            | RefusalCode::RetriesExhausted
            | RefusalCode::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            RefusalCode::CannotMeetTarget
            | RefusalCode::QueueFull
            | RefusalCode::NoEngine
            | RefusalCode::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            request,
            status,
            code: ErrorCode::Refused(code),
            outcome,
            retry_after_ms,
        }
    }

    /// Returns the error object in the format that client libraries of the API read.
    pub(crate) fn error_object(&self) -> Value {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({ "error": {
            "message": format!("{}: the request was {}", self.code, self.outcome_text()),
            "type": kind,
            "code": self.code.to_string(),
            "param": Value::Null,
            "outcome": self.outcome,
            "request_id": self.request.to_string(),
        }})
    }

    fn outcome_text(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "not run",
            Outcome::Unknown => "sent, and it isn't known whether it ran",
            Outcome::Ran => "run in part",
        }
    }
}

/// Returns `text` as a header value, or `invalid` if it holds control characters.
pub(crate) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}

impl IntoResponse for CallerRefusal {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.error_object())).into_response();
        let headers = response.headers_mut();
        headers.insert("x-request-id", header_value(&self.request.to_string()));
        headers.insert(
            "x-bridgevane-outcome",
            header_value(&self.outcome.to_string()),
        );
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.as_retry_after_s().to_string();
            headers.insert(RETRY_AFTER, header_value(&seconds));
            let exact = retry_after_ms.to_string();
            headers.insert("retry-after-ms", header_value(&exact));
        } else {
            // Client libraries retry calls by themselves unless a header forbids it.
            headers.insert("x-should-retry", HeaderValue::from_static("false"));
        }
        response
    }
}

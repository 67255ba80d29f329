//! Final answers of the daemon's own: status, typed code, when to come back.

use bridgevane_types::DurationMs;
use bytes::Bytes;
use derive_more::Display;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;

/// Why the daemon answers itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The request lacks its identifier.
    #[display("malformed_request")]
    Malformed,
    /// No route of this host and path.
    #[display("route_not_found")]
    NoRoute,
    /// No or an unknown key.
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
    /// Nothing proves that the configuration is fresh.
    #[display("not_ready")]
    NotReady,
    /// No endpoint of the service may get work.
    #[display("no_endpoint")]
    NoEndpoint,
    /// All endpoints that were tried are full.
    #[display("overloaded")]
    Overloaded,
    /// The daemon holds as many bodies as it may.
    #[display("memory_full")]
    MemoryFull,
    /// The time is over, and the request has not run.
    #[display("expired")]
    Expired,
    /// The time is over, and the request may have run.
    #[display("timed_out")]
    TimedOut,
    /// An endpoint took the request, and no whole answer came.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl Refusal {
    /// The HTTP status. 408, 429 and 503 say that the request has not run.
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
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// When to come back, for those that may.
    pub fn retry_after(self) -> Option<DurationMs> {
        match self {
            Self::NotReady => Some(DurationMs(300)),
            Self::NoEndpoint => Some(DurationMs(200)),
            Self::Overloaded | Self::MemoryFull => Some(DurationMs(100)),
            _ => None,
        }
    }

    /// The answer.
    pub fn response(self, retry_after: Option<DurationMs>) -> Response<Full<Bytes>> {
        let body = format!("{{\"error\":\"{self}\"}}");
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = retry_after.or(self.retry_after()) {
            let seconds = format!("{:.3}", wait.0 as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

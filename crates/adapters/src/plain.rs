//! The interface of a plain service, which sends one answer per call.

use crate::engine::LoadReport;
use bridgevane_types::{IdempotencyKey, RequestId};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainCall {
    /// The request's identifier.
    pub request: RequestId,
    /// The HTTP method of the client's request.
    pub method: http::Method,
    /// Path and query below the service.
    pub path: String,
    /// The client's idempotency key, which is forwarded.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The client's content type, which is forwarded.
    pub content_type: Option<String>,
    /// The client's body, which is forwarded.
    pub body: Bytes,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status of the answer.
    pub status: http::StatusCode,
    /// The answer's content type, if it names one.
    pub content_type: Option<String>,
    /// The answer's whole body.
    pub body: Bytes,
}

/// Why a call of a plain service failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PlainCallError {
    /// No connection was made: the call did not run.
    #[display("the service was not reached")]
    NotReached,
    /// The answer was lost: the call may have run.
    #[display("the answer was lost, the call may have run")]
    Unknown,
}

/// A worker of a plain service.
pub trait PlainService: Send + Sync + 'static {
    /// Calls the service.
    fn call(
        &self,
        call: PlainCall,
    ) -> impl Future<Output = Result<PlainAnswer, PlainCallError>> + Send;

    /// Reads the load report, which lags behind the current load.
    fn load(&self) -> impl Future<Output = Result<LoadReport, PlainCallError>> + Send;
}

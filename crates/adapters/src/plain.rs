//! What a plain service gives: one answer a call.

use crate::engine::LoadReport;
use bridgevane_types::{IdempotencyKey, RequestId};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainCall {
    /// The request.
    pub request: RequestId,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query below the service.
    pub path: String,
    /// The caller's key, passed on.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The caller's content type, passed on.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PlainCallError {
    /// No connection was made: it did not run.
    #[display("the service was not reached")]
    NotReached,
    /// The answer was lost: it may have run.
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

    /// Reads the lagged load report.
    fn load(&self) -> impl Future<Output = Result<LoadReport, PlainCallError>> + Send;
}

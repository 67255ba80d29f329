//! The platform over HTTP and JSON, with one path per call. See docs/PLATFORM.md.

use crate::http_client::{HttpClient, HttpError};
use crate::platform::{
    KeyValue, KvCas, KvError, KvLease, KvRevision, KvValue, LeaseId, VmEntry, VmList, WeightStore,
};
use bridgevane_types::{DurationMs, ModelName};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a call other than a watch; a healthy service answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a watch may take beyond its own wait: as long as any other call.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// The platform's services at an address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    http: HttpClient,
}

#[derive(Serialize)]
struct KeyBody<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct WatchBody<'a> {
    key: &'a str,
    after: KvRevision,
    wait_ms: DurationMs,
}

#[derive(Serialize)]
struct GrantBody {
    ttl_ms: DurationMs,
}

#[derive(Serialize)]
struct RenewBody {
    id: LeaseId,
}

#[derive(Serialize)]
struct TicketBody<'a> {
    model: &'a ModelName,
    model_version: u64,
}

impl HttpPlatform {
    /// Creates the adapter for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
        }
    }
}

/// Translates an HTTP error into one that states whether the call may have taken effect.
fn kv_error(error: HttpError) -> KvError {
    match error {
        HttpError::NotConnected => KvError::NotReached,
        HttpError::Broken | HttpError::TimedOut => KvError::Unknown,
        HttpError::Malformed => KvError::Malformed,
        HttpError::Status { status: 409, .. } => KvError::Conflict,
        HttpError::Status { status: 410, .. } => KvError::LeaseGone,
        HttpError::Status {
            status: 429,
            retry_after_ms,
        } => KvError::RateLimited {
            retry_after_ms: DurationMs(retry_after_ms),
        },
        HttpError::Status { status: 503, .. } => KvError::NotReached,
        HttpError::Status { .. } => KvError::Unknown,
    }
}

impl KeyValue for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<KvValue>, KvError> {
        self.http
            .post_json("/kv/get", &KeyBody { key }, CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }

    async fn compare_and_swap(&self, cas: KvCas) -> Result<KvRevision, KvError> {
        self.http
            .post_json("/kv/cas", &cas, CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }

    async fn watch(
        &self,
        key: &str,
        after: KvRevision,
        wait_ms: DurationMs,
    ) -> Result<Option<KvValue>, KvError> {
        let body = WatchBody {
            key,
            after,
            wait_ms,
        };
        self.http
            .post_json("/kv/watch", &body, wait_ms.as_std() + WATCH_SLACK)
            .await
            .map_err(kv_error)
    }

    async fn grant_lease(&self, ttl_ms: DurationMs) -> Result<KvLease, KvError> {
        self.http
            .post_json("/kv/lease/grant", &GrantBody { ttl_ms }, CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<KvLease, KvError> {
        self.http
            .post_json("/kv/lease/renew", &RenewBody { id }, CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }
}

impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<VmEntry>, KvError> {
        self.http
            .post_json("/vms", &(), CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }
}

impl WeightStore for HttpPlatform {
    async fn ticket(&self, model: &ModelName, model_version: u64) -> Result<String, KvError> {
        let body = TicketBody {
            model,
            model_version,
        };
        self.http
            .post_json("/weights/ticket", &body, CALL_TIMEOUT)
            .await
            .map_err(kv_error)
    }
}

//! A worker of a plain service over HTTP.

use crate::engine::LoadReport;
use crate::http_client::{HttpClient, HttpError, read_whole};
use crate::plain::{PlainAnswer, PlainCall, PlainCallError, PlainService};
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a load report; the same as for engines, since one poll reads both.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// A worker of a plain service at an address.
#[derive(Clone, Debug)]
pub struct HttpPlainService {
    http: HttpClient,
}

impl HttpPlainService {
    /// Creates the adapter for the worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
        }
    }
}

fn plain_error(error: HttpError) -> PlainCallError {
    match error {
        HttpError::NotConnected => PlainCallError::NotReached,
        _ => PlainCallError::Unknown,
    }
}

impl PlainService for HttpPlainService {
    async fn call(&self, call: PlainCall) -> Result<PlainAnswer, PlainCallError> {
        let mut builder = self
            .http
            .request(call.method, &call.path)
            .header("x-request-id", call.request.to_string());
        if let Some(key) = &call.idempotency_key {
            builder = builder.header("idempotency-key", key.as_str());
        }
        if let Some(content_type) = &call.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        let request = builder
            .body(Full::new(call.body))
            .map_err(|_| PlainCallError::NotReached)?;
        let response = self.http.send(request).await.map_err(plain_error)?;
        let status = response.status();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = read_whole(response.into_body())
            .await
            .map_err(plain_error)?;
        Ok(PlainAnswer {
            status,
            content_type,
            body,
        })
    }

    async fn load(&self) -> Result<LoadReport, PlainCallError> {
        self.http
            .post_json("/service/load", &(), LOAD_TIMEOUT)
            .await
            .map_err(plain_error)
    }
}

//! The HTTP client that the adapters share.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest answer that is read as a whole: values of the platform are up to a megabyte. Not
/// measured, chosen because a value of the platform's service has up to 1 MB, and JSON may double
/// it.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long a connection may take to open. Not measured, chosen because a lost opening packet is
/// sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept to one endpoint. Not measured, chosen because it covers the streams that
/// an engine runs at once.
const MAX_IDLE_PER_HOST: usize = 64;

/// Why an HTTP call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made: nothing was sent.
    #[display("no connection")]
    NotConnected,
    /// The connection broke after something may have been sent.
    #[display("the connection broke")]
    Broken,
    /// No answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// The answer can't be read.
    #[display("the answer can't be read")]
    Malformed,
    /// The endpoint answered with this status.
    #[display("status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// `retry-after-ms` of the answer, or 0.
        retry_after_ms: u64,
    },
}

/// A pooled HTTP client to one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpClient {
    /// A client to `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        Self { client, address }
    }

    /// The address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a request below the address.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(format!("http://{}{}", self.address, path))
    }

    /// Sends a request and gives the answer's head and unread body, whatever the status.
    ///
    /// # Errors
    /// [`HttpError::NotConnected`] when nothing was sent, else [`HttpError::Broken`].
    pub async fn send(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return HttpError::NotConnected;
            }
            HttpError::Broken
        })
    }

    /// Sends `body` as JSON and gives the answer's head and unread body; statuses of 400 and
    /// above are errors.
    ///
    /// # Errors
    /// As [`HttpClient::send`], [`HttpError::Status`], [`HttpError::Malformed`].
    pub(crate) async fn post_streaming<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<http::Response<Incoming>, HttpError> {
        let json = serde_json::to_vec(body).map_err(|_| HttpError::Malformed)?;
        let request = self
            .request(http::Method::POST, path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json)))
            .map_err(|_| HttpError::Malformed)?;
        let response = self.send(request).await?;
        if response.status().as_u16() < 400 {
            return Ok(response);
        }
        let retry_after_ms = response
            .headers()
            .get("retry-after-ms")
            // Without a readable time to come back the caller's own pause holds.
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        Err(HttpError::Status {
            status: response.status().as_u16(),
            retry_after_ms,
        })
    }

    /// Sends `body` as JSON and reads the answer as JSON within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::post_streaming`], and [`HttpError::TimedOut`].
    pub(crate) async fn post_json<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let exchange = async {
            let response = self.post_streaming(path, body).await?;
            let bytes = read_whole(response.into_body()).await?;
            serde_json::from_slice(&bytes).map_err(|_| HttpError::Malformed)
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| HttpError::TimedOut)?
    }
}

/// Reads a bounded body.
pub(crate) async fn read_whole(body: Incoming) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|_| HttpError::Broken)?;
    Ok(collected.to_bytes())
}

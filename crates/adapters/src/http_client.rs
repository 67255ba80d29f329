//! The HTTP client that the adapters share. What it reads without an answer in it is bounded by
//! [`bridgevane_answer_limits`].

use crate::counted_connector::CountedConnector;
use bridgevane_answer_limits::{
    AnswerBody, AnswerProgress, READ_BUFFER_BYTES, is_final_status, is_read_once_answered,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::{CONNECTION, HeaderValue};
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;
use std::time::Duration;

/// The size limit of an answer that is read completely: a value of the platform's key-value service
/// has up to 1 MB, and its JSON form may have twice that.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The time limit for opening a connection: a lost SYN packet is sent again after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of idle connections kept to one address: enough for the concurrent streams of an engine.
const MAX_IDLE_PER_HOST: usize = 64;

/// Why an HTTP call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made: nothing was sent.
    #[display("no connection")]
    NotConnected,
    /// The connection failed after data may have been sent.
    #[display("the connection failed before the answer was complete")]
    Broken,
    /// There was no complete answer within the timeout.
    #[display("no answer in time")]
    TimedOut,
    /// The answer can't be decoded.
    #[display("the answer can't be read")]
    Malformed,
    /// The answer has an error status.
    #[display("the answer has HTTP status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// The answer's header `retry-after-ms`, or 0 without one.
        retry_after_ms: u64,
    },
}

/// A pooled HTTP client to one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<CountedConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpClient {
    /// Creates a client for `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(CountedConnector::new(connector));
        Self { client, address }
    }

    /// Returns the address that the client calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Builds a request to a path at the address.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(format!("http://{}{}", self.address, path))
    }

    /// Sends a request and returns the answer's head and unread body, with any final status.
    ///
    /// # Errors
    /// [`HttpError::NotConnected`] when nothing was sent, [`HttpError::Malformed`] when the status isn't
    /// one of a final answer, else [`HttpError::Broken`].
    pub async fn send(
        &self,
        mut request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<AnswerBody>, HttpError> {
        let body_bytes = request.body().size_hint().upper();
        if !body_bytes.is_some_and(is_read_once_answered) {
            let close = HeaderValue::from_static("close");
            request.headers_mut().insert(CONNECTION, close);
        }
        let answer = self.client.request(request).await;
        let mut answer = answer.map_err(|error| {
            if error.is_connect() {
                return HttpError::NotConnected;
            }
            HttpError::Broken
        })?;
        if !is_final_status(answer.status()) {
            return Err(HttpError::Malformed);
        }
        let progress: AnswerProgress = answer.extensions_mut().remove().unwrap_or_default();
        progress.reset();
        Ok(answer.map(|body| AnswerBody::new(body, progress)))
    }

    /// Sends `body` as JSON and returns the answer's head and unread body; statuses of 400 and
    /// above are errors.
    ///
    /// # Errors
    /// Those of [`HttpClient::send`], [`HttpError::Status`] and [`HttpError::Malformed`].
    pub(crate) async fn post_streaming<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<http::Response<AnswerBody>, HttpError> {
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
            // Without a valid retry time, the caller uses its own pause.
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
    /// Those of [`HttpClient::post_streaming`], and [`HttpError::TimedOut`].
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

/// Reads a body of at most [`MAX_ANSWER_BYTES`] completely.
pub(crate) async fn read_whole(body: AnswerBody) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|_| HttpError::Broken)?;
    Ok(collected.to_bytes())
}

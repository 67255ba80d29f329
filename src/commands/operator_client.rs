//! Client for a daemon's operators' interface, shared by `ask` and `report`.

use crate::commands::{block_on, exit};
use crate::modules::serve::operators::interface::OperatorRequest;
use bridgevane_adapters::{HttpClient, HttpError};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::net::SocketAddr;

/// The reason why a daemon gave no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ClientError {
    /// No token was given.
    #[display("no operator's token given; set BRIDGEVANE_OPERATOR_TOKEN or --token")]
    NoToken,
    /// The daemon can't be reached.
    #[display("{address}: {source}")]
    #[from(ignore)]
    Unreachable {
        /// The address that was called.
        address: SocketAddr,
        /// The error of the HTTP call.
        source: HttpError,
    },
    /// The request can't be encoded, or the answer can't be decoded.
    #[display("the answer can't be read")]
    Malformed,
}

/// Runs a command that calls a daemon and returns its exit code.
pub(crate) fn run_to_exit_code(command: impl Future<Output = Result<u8, ClientError>>) -> u8 {
    match block_on(command) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            eprintln!("{error}");
            match error {
                ClientError::NoToken => exit::USAGE,
                ClientError::Unreachable { .. } | ClientError::Malformed => exit::UNREACHABLE,
            }
        }
        Err(error) => {
            eprintln!("{error}");
            exit::USAGE
        }
    }
}

/// A daemon's answer to an operator's request, also if it is a refusal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DaemonAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
}

/// Client for a daemon's operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    http: HttpClient,
    token: String,
}

impl OperatorClient {
    /// Creates a client for `address`; without a token, it is read from the environment.
    ///
    /// # Errors
    /// [`ClientError::NoToken`] if there is no token.
    pub fn new(address: SocketAddr, token: Option<String>) -> Result<Self, ClientError> {
        let token = token.or_else(|| std::env::var("BRIDGEVANE_OPERATOR_TOKEN").ok());
        Ok(Self {
            http: HttpClient::new(address),
            token: token.ok_or(ClientError::NoToken)?,
        })
    }

    /// Sends a statement or a document.
    ///
    /// # Errors
    /// [`ClientError`] if there is no answer; a refusal counts as an answer.
    pub async fn ask(&self, request: &OperatorRequest) -> Result<DaemonAnswer, ClientError> {
        let body = serde_json::to_vec(request).map_err(|_| ClientError::Malformed)?;
        self.send(http::Method::POST, "/v1/ask", body).await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// [`ClientError`] if there is no answer.
    pub async fn config(&self) -> Result<DaemonAnswer, ClientError> {
        self.send(http::Method::GET, "/v1/config", Vec::new()).await
    }

    async fn send(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<DaemonAnswer, ClientError> {
        let request = self
            .http
            .request(method, path)
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .map_err(|_| ClientError::Malformed)?;
        let unreachable = |source| ClientError::Unreachable {
            address: self.http.address(),
            source,
        };
        let response = self.http.send(request).await.map_err(unreachable)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| ClientError::Malformed)?.to_bytes();
        let body = serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)?;
        Ok(DaemonAnswer { status, body })
    }
}

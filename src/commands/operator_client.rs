//! What `ask` and `report` share: calls of a daemon's operators' interface.

use crate::commands::{block_on, exit};
use crate::modules::serve::operators::interface::Ask;
use bridgevane_adapters::{HttpClient, HttpError};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::net::SocketAddr;

/// Why a daemon gave no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ClientError {
    /// No token was given.
    #[display("give the operator's token by BRIDGEVANE_OPERATOR_TOKEN or --token")]
    NoToken,
    /// The daemon can't be reached.
    #[display("{address}: {source}")]
    #[from(ignore)]
    Unreachable {
        /// Where it was looked for.
        address: SocketAddr,
        /// What went wrong.
        source: HttpError,
    },
    /// The answer can't be read.
    #[display("the answer can't be read")]
    Malformed,
}

/// Runs a command that asks a daemon; gives its exit code.
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

/// A daemon's answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DaemonAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

/// A daemon's operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    http: HttpClient,
    token: String,
}

impl OperatorClient {
    /// The interface at `address`; the token comes from the flag or the environment.
    ///
    /// # Errors
    /// [`ClientError::NoToken`].
    pub fn new(address: SocketAddr, token: Option<String>) -> Result<Self, ClientError> {
        let token = token.or_else(|| std::env::var("BRIDGEVANE_OPERATOR_TOKEN").ok());
        Ok(Self {
            http: HttpClient::new(address),
            token: token.ok_or(ClientError::NoToken)?,
        })
    }

    /// Sends a statement or document.
    ///
    /// # Errors
    /// [`ClientError`] when there is no answer; a refusal is an answer.
    pub async fn ask(&self, ask: &Ask) -> Result<DaemonAnswer, ClientError> {
        let body = serde_json::to_vec(ask).map_err(|_| ClientError::Malformed)?;
        self.send(http::Method::POST, "/v1/ask", body).await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// [`ClientError`] when there is no answer.
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

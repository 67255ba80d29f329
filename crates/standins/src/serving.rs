//! Serves a stand-in's routes until the server's handle is dropped.

use axum::Router;
use derive_more::{Display, Error, From};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The error of a stand-in that can't listen at its address.
#[derive(Debug, Display, Error, From)]
#[display("can't listen: {source}")]
pub struct StandinError {
    source: std::io::Error,
}

/// A running server of a stand-in; dropping it ends the server.
#[derive(Debug)]
pub struct StandinServer {
    /// The address at which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `router` at `address`; port 0 stands for any free port.
///
/// # Errors
/// [`StandinError`] when the address can't be listened on.
pub async fn serve(address: SocketAddr, router: Router) -> Result<StandinServer, StandinError> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
            // With Nagle's algorithm, small pieces would wait for the caller's acknowledgement.
            let _ = stream.set_nodelay(true);
        });
        // The server runs until this task is aborted.
        let _ = axum::serve(listener, router).await;
    });
    Ok(StandinServer { address, task })
}

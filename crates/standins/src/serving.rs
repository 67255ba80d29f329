//! Serving a stand-in's routes until it is dropped.

use axum::Router;
use derive_more::{Display, Error, From};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Why a stand-in can't serve.
#[derive(Debug, Display, Error, From)]
#[display("can't listen: {source}")]
pub struct StandinError {
    source: std::io::Error,
}

/// A stand-in that serves until it is dropped.
#[derive(Debug)]
pub struct Served {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `router` at `address`; port 0 takes a free one.
///
/// # Errors
/// [`StandinError`] when the address can't be listened on.
pub async fn serve(address: SocketAddr, router: Router) -> Result<Served, StandinError> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
            // Without it, small pieces wait for the caller's acknowledgement.
            let _ = stream.set_nodelay(true);
        });
        // Serving ends only with the task.
        let _ = axum::serve(listener, router).await;
    });
    Ok(Served { address, task })
}

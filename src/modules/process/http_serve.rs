//! Serving HTTP until the daemon stops.

use axum::Router;
use bridgevane_gateway::accept;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time for a caller to send the head of a request: slow senders are let go. Not measured, chosen
/// because a head is a packet or two; half would cut callers on slow links.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head of a request. Not measured, chosen because servers of the field allow 8 to 64
/// KB.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Listens at `address`.
///
/// # Errors
/// The operating system's error when the address can't be listened on.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, std::io::Error> {
    TcpListener::bind(address).await
}

/// Serves `router` on every connection.
pub async fn serve(listener: TcpListener, router: Router) {
    loop {
        let stream = accept(&listener).await;
        // Without it, small pieces wait for the caller's acknowledgement.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        tokio::spawn(async move {
            let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
            builder
                .http1()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES);
            // A broken connection ends its requests; there is nobody left to tell.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

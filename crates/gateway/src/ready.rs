//! Whether the daemon wants new connections, as the balancer asks.

use crate::gateway::Gateway;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers until the daemon ends.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let service = service_fn(|_| {
                let status = if gateway.is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            // The balancer asks again on its next connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

//! The server for the load balancer's readiness checks and for the metrics page.
//!
//! The balancer may request any path except [`METRICS_PATH`]; 200 means that the daemon is ready for
//! new connections, 503 that it isn't.

use crate::gateway::Gateway;
use crate::sockets::accept;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

/// The path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness checks and metrics until the daemon ends; `metrics_page` renders the metrics.
pub async fn run<P>(gateway: Arc<Gateway>, listener: TcpListener, metrics_page: P)
where
    P: Fn() -> String + Clone + Send + Sync + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        let metrics_page = metrics_page.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = if request.uri().path() == METRICS_PATH {
                    gateway.metrics.proof_age(gateway.control.proof_age());
                    gateway.metrics.clients(gateway.client_connections.usage());
                    Response::new(Full::new(Bytes::from(metrics_page())))
                } else {
                    readiness(&gateway)
                };
                async move { Ok::<_, Infallible>(response) }
            });
            // The error is ignored: after a broken connection the balancer uses a new one.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness(gateway: &Gateway) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

//! Whether the daemon wants new connections, as the balancer asks.

use crate::endpoints::connection::accept;
use crate::gateway::Gateway;
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

/// Where metrics are served; every other path asks whether the daemon is ready.
const METRICS_PATH: &str = "/metrics";

/// Answers until the daemon ends; `page` gives the metrics.
pub async fn run<P>(gateway: Arc<Gateway>, listener: TcpListener, page: P)
where
    P: Fn() -> String + Clone + Send + Sync + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = if request.uri().path() == METRICS_PATH {
                    Response::new(Full::new(Bytes::from(page())))
                } else {
                    readiness(&gateway)
                };
                async move { Ok::<_, Infallible>(response) }
            });
            // The balancer asks again on its next connection.
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

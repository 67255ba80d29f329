//! The client address: accepts connections and serves the requests on each.
//!
//! Owns clients' connections. Relies on the HTTP library for reading heads within the idle timeout
//! and the size limit.

use crate::gateway::Gateway;
use crate::requests::handler;
use crate::sockets::{accept, set_options};
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long a connection may be idle until a configuration says it. Not measured, chosen because
/// the first configuration comes within a second of a start.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest request head until a configuration says it. Not measured, chosen because servers of
/// the field allow 8 to 16 KB.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// The least that a connection's buffer must hold: the HTTP library's own minimum, from its docs.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts clients until a stop ends it; then nobody listens any more.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = gateway.shutdown.accepting_must_end() => break,
        };
        tokio::spawn(serve_connection(gateway.clone(), stream));
    }
    // Connections that the system has accepted are served, not reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        tokio::spawn(serve_connection(gateway.clone(), stream));
    }
    drop(listener);
    gateway.shutdown.on_accepting_ended();
}

/// Serves one connection to its end. It counts as open from the call on, before the first poll.
fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
) -> impl Future<Output = ()> + Send + 'static {
    let open = gateway.open_connections.hold(1);
    async move {
        let _open = open;
        if set_options(&stream).is_ok() {
            serve_requests(&gateway, stream).await;
        }
    }
}

async fn serve_requests(gateway: &Arc<Gateway>, stream: TcpStream) {
    let table = gateway.control.routing_table();
    let limits = table.map(|table| table.limits());
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout_ms.as_std()
    });
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| {
        limits.head_bytes.0 as usize
    });
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(handler::handle(gateway, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // A broken connection ends its requests, and there is nobody left to tell.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = gateway.shutdown.idle_must_close() => serving.as_mut().graceful_shutdown(),
    }
    // The same here.
    let _ = serving.await;
}

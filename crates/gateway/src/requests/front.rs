//! The clients' front door.

use crate::counter::CountGuard;
use crate::gateway::Gateway;
use crate::requests::exchange;
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

/// How long a connection may rest before the configuration says so.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// The longest head, body aside, before the configuration says so.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The least that a connection's buffer must hold.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts clients until a stop tells it to end; then nobody listens any more.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = gateway.shutdown.accepting_must_end() => break,
        };
        spawn_connection(&gateway, stream);
    }
    // Those that wait already were taken by the system: they are served, not reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_connection(&gateway, stream);
    }
    drop(listener);
    gateway.shutdown.on_accepting_ended();
}

fn spawn_connection(gateway: &Arc<Gateway>, stream: TcpStream) {
    let open = gateway.open_connections.hold(1);
    tokio::spawn(connection(gateway.clone(), open, stream));
}

/// Serves one connection.
async fn connection(gateway: Arc<Gateway>, _open: CountGuard, stream: TcpStream) {
    if set_options(&stream).is_err() {
        return;
    }
    let limits = gateway.control.routing_table().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout_ms.as_std());
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes.0 as usize);
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(exchange::serve(gateway, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // A broken connection ends its requests; there is nobody left to tell.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = gateway.shutdown.idle_must_close() => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

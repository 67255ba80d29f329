//! The client listener: accepts connections and serves the requests on each; other daemons'
//! connections for forwarded requests are served alike.
//!
//! Owns the client connections. Relies on the HTTP library to enforce the idle timeout and the size
//! limit while it reads request heads.

use crate::gateway::Gateway;
use crate::requests::handler::{self, Caller};
use crate::sockets::{accept, set_options, set_options_with_timeout};
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The idle timeout of connections accepted before the first configuration, which arrives within a
/// second of a start.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest request head on connections accepted before the first configuration. Other HTTP
/// servers allow 8 to 16 KB.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// The smallest buffer size that the HTTP library accepts, as its documentation states.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts client connections until a planned stop, then closes the listener.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = gateway.shutdown.listener_close_requested() => break,
        };
        tokio::spawn(serve_connection(gateway.clone(), stream, Caller::Client));
    }
    // Connections still in the listen backlog are served: closing the listener would reset them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        tokio::spawn(serve_connection(gateway.clone(), stream, Caller::Client));
    }
    drop(listener);
    gateway.shutdown.on_listener_closed();
}

/// Serves the requests that another daemon forwards on a connection.
pub(crate) async fn serve_daemon(gateway: Arc<Gateway>, stream: TcpStream) {
    serve_connection(gateway, stream, Caller::Daemon).await;
}

/// Serves one connection to its end. The connection counts as open from this call on, even before
/// the future is polled.
fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    caller: Caller,
) -> impl Future<Output = ()> + Send + 'static {
    let open = gateway.open_connections.hold(1);
    async move {
        let _open = open;
        if set_caller_options(&gateway, &stream, caller).is_ok() {
            serve_requests(&gateway, stream, caller).await;
        }
    }
}

/// Sets the options of a caller's connection. A client may read nothing for a while; a daemon that
/// doesn't is frozen or gone.
fn set_caller_options(
    gateway: &Gateway,
    stream: &TcpStream,
    caller: Caller,
) -> Result<(), std::io::Error> {
    match caller {
        Caller::Client => {
            let stall = gateway.settings.client_stall_ms.as_std();
            set_options_with_timeout(stream, stall)
        }
        Caller::Daemon => set_options(stream),
    }
}

async fn serve_requests(gateway: &Arc<Gateway>, stream: TcpStream, caller: Caller) {
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
        async move { Ok::<_, Infallible>(handler::handle(gateway, request, caller).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The error is ignored: a broken connection ends its requests, and no client is left to answer.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = gateway.shutdown.idle_close_requested() => serving.as_mut().graceful_shutdown(),
    }
    // Ignored for the same reason.
    let _ = serving.await;
}

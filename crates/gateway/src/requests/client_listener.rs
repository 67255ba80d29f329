//! The client listener: accepts connections and serves the requests on each; other daemons'
//! connections for forwarded requests are served alike.
//!
//! Owns the client connections. [`bridgevane_client_limits`] decides which are served and which are closed
//! for others. Relies on the HTTP library to enforce the idle timeout and the size limit while it reads
//! request heads.

use crate::gateway::Gateway;
use crate::requests::handler::{self, Caller};
use crate::sockets::{accept, set_options, set_options_with_timeout};
use bridgevane_client_limits::{ClientConnection, ClientStream, GuardedBody};
use bridgevane_types::Bytes;
use futures_util::FutureExt;
use http::Request;
use http_body::Body;
use hyper::body::Incoming;
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
const DEFAULT_MAX_HEAD: Bytes = Bytes(16 * 1024);
/// The smallest buffer size that the HTTP library accepts, as its documentation states.
const MIN_BUFFER: Bytes = Bytes(8 * 1024);

/// Accepts client connections until a planned stop, then closes the listener.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    tokio::spawn(watch_connections(gateway.clone()));
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = gateway.shutdown.listener_close_requested() => break,
        };
        serve_client(&gateway, stream).await;
    }
    // Connections still in the listen backlog are served: closing the listener would reset them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve_client(&gateway, stream).await;
    }
    drop(listener);
    gateway.shutdown.on_listener_closed();
}

/// Closes connections on which heads arrive too slowly, until the process ends.
async fn watch_connections(gateway: Arc<Gateway>) {
    let connections = gateway.client_connections.clone();
    let head_timeout = move || ConnectionLimits::current(&gateway).head_timeout;
    connections.watch(head_timeout).await;
}

/// Begins to serve a client's connection, or closes it if there is no room for it.
async fn serve_client(gateway: &Arc<Gateway>, stream: TcpStream) {
    let limits = ConnectionLimits::current(gateway);
    let admitted = gateway.client_connections.admit(limits.max_head).await;
    if let Some(connection) = admitted {
        let caller = Caller::Client;
        tokio::spawn(serve_connection(
            gateway.clone(),
            stream,
            caller,
            connection,
        ));
    }
}

/// Serves the requests that another daemon forwards on a connection, if there is room for it.
pub(crate) async fn serve_daemon(gateway: Arc<Gateway>, stream: TcpStream) {
    let limits = ConnectionLimits::current(&gateway);
    let admitted = gateway
        .client_connections
        .admit_daemon(limits.max_head)
        .await;
    if let Some(connection) = admitted {
        serve_connection(gateway, stream, Caller::Daemon, connection).await;
    }
}

/// Serves one connection to its end. The connection counts as open from this call on, even before
/// the future is polled.
fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    caller: Caller,
    connection: ClientConnection,
) -> impl Future<Output = ()> + Send + 'static {
    let open = gateway.open_connections.hold(1);
    async move {
        let _open = open;
        if set_caller_options(&gateway, &stream, caller).is_ok() {
            serve_requests(&gateway, stream, caller, Arc::new(connection)).await;
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

async fn serve_requests(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    caller: Caller,
    connection: Arc<ClientConnection>,
) {
    let limits = ConnectionLimits::current(gateway);
    let service = service_fn(|mut request: Request<Incoming>| {
        let gateway = gateway.clone();
        request.extensions_mut().insert(connection.clone());
        let in_progress = connection.begin_request(!request.body().is_end_stream());
        async move {
            let response = handler::handle(gateway, request, caller).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, in_progress)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head.0 as usize);
    let stream = TokioIo::new(ClientStream::new(stream, connection.clone()));
    let mut serving = pin!(builder.serve_connection(stream, service));
    let mut must_close = pin!(connection.must_close());
    // The error is ignored: a broken connection ends its requests, and no client is left to answer.
    tokio::select! {
        biased;
        () = &mut must_close => return,
        _ = serving.as_mut() => return,
        () = gateway.shutdown.idle_close_requested() => serving.as_mut().graceful_shutdown(),
    }
    // Ignored for the same reason.
    tokio::select! {
        biased;
        () = must_close => {}
        _ = serving => {}
    }
}

/// The limits of a connection.
struct ConnectionLimits {
    /// The largest head of a request.
    max_head: Bytes,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Returns the limits by the newest configuration.
    fn current(gateway: &Gateway) -> Self {
        let Some(table) = gateway.control.routing_table() else {
            return Self {
                max_head: DEFAULT_MAX_HEAD,
                head_timeout: DEFAULT_IDLE_TIMEOUT,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            };
        };
        let limits = table.limits();
        Self {
            max_head: limits.head_bytes.max(MIN_BUFFER),
            head_timeout: limits.head_timeout_ms.as_std(),
            idle_timeout: limits.idle_timeout_ms.as_std(),
        }
    }
}

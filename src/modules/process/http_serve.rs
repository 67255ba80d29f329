//! Serves HTTP until the daemon stops.
//!
//! Data that connections haven't sent yet is lost when the process ends; [`Servers::close`] waits
//! until it is sent.

use axum::Router;
use bridgevane_client_limits::{ClientConnection, ClientConnections, ClientStream, GuardedBody};
use bridgevane_gateway::accept;
use bridgevane_types::Bytes;
use http::Request;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The time in which a caller must send the head of a request before it is disconnected. A head
/// takes one or two packets; half the time would disconnect callers on slow links.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of a request's head; common servers allow 8 to 64 KB.
const MAX_HEAD: Bytes = Bytes(64 << 10);

/// Listens at `address`.
///
/// # Errors
/// The operating system's error if the address can't be listened on.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, std::io::Error> {
    TcpListener::bind(address).await
}

/// A group of servers that are closed together.
#[derive(Debug, Default)]
pub struct Servers {
    is_closing: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Servers {
    /// Serves `router` on every connection that `connections` admits, until the group is closed or dropped.
    pub fn serve(
        &mut self,
        listener: TcpListener,
        router: Router,
        connections: Arc<ClientConnections>,
    ) {
        let mut is_closing = self.is_closing.subscribe();
        let closing = async move {
            // An error means that the sender was dropped together with the group.
            let _ = is_closing.wait_for(|is_closing| *is_closing).await;
        };
        self.tasks
            .spawn(serve_until(closing, listener, router, connections));
    }

    /// Stops accepting connections and waits until every started answer is sent.
    pub async fn close(self) {
        self.is_closing.send_replace(true);
        self.tasks.join_all().await;
    }
}

async fn serve_until(
    closing: impl Future<Output = ()>,
    listener: TcpListener,
    router: Router,
    connections: Arc<ClientConnections>,
) {
    let watching = connections.clone().watch(|| HEADER_TIMEOUT);
    // Ends with this task.
    let mut watching = JoinSet::from_iter([watching]);
    let shutdown = GracefulShutdown::new();
    let mut closing = pin!(closing);
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.as_mut() => break,
        };
        if let Some(connection) = connections.admit(MAX_HEAD).await {
            tokio::spawn(serve_connection(
                stream,
                router.clone(),
                shutdown.watcher(),
                Arc::new(connection),
            ));
        }
    }
    drop(listener);
    shutdown.shutdown().await;
    watching.abort_all();
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    watcher: Watcher,
    connection: Arc<ClientConnection>,
) {
    // Otherwise small chunks would wait for the caller's acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD.0 as usize);
    let router = TowerToHyperService::new(router);
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(connection.clone());
        let in_progress = connection.begin_request(!request.body().is_end_stream());
        let answering = router.call(request);
        async move {
            let response = answering.await?;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, in_progress)))
        }
    });
    let stream = TokioIo::new(ClientStream::new(stream, connection.clone()));
    let serving = watcher.watch(builder.serve_connection(stream, service));
    // A broken connection ends its requests, and no caller is left to report the error to.
    tokio::select! {
        biased;
        () = connection.must_close() => {}
        _ = serving => {}
    }
}

//! Serving HTTP until the daemon stops.
//!
//! A process that ends takes what its connections haven't sent yet with it: [`Servers::close`] waits for
//! that.

use axum::Router;
use bridgevane_gateway::accept;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

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

/// Servers that are closed together.
#[derive(Debug, Default)]
pub struct Servers {
    is_closing: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Servers {
    /// Serves `router` on every connection, until these servers are closed or dropped.
    pub fn serve(&mut self, listener: TcpListener, router: Router) {
        let mut is_closing = self.is_closing.subscribe();
        let closing = async move {
            // An error means that the sender is gone: these servers were dropped.
            let _ = is_closing.wait_for(|is_closing| *is_closing).await;
        };
        self.tasks.spawn(serve_until(closing, listener, router));
    }

    /// Accepts no more connections, and waits until each answer that has begun is sent.
    pub async fn close(self) {
        self.is_closing.send_replace(true);
        self.tasks.join_all().await;
    }
}

async fn serve_until(closing: impl Future<Output = ()>, listener: TcpListener, router: Router) {
    let connections = GracefulShutdown::new();
    let mut closing = pin!(closing);
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.as_mut() => break,
        };
        tokio::spawn(serve_connection(
            stream,
            router.clone(),
            connections.watcher(),
        ));
    }
    drop(listener);
    connections.shutdown().await;
}

async fn serve_connection(stream: TcpStream, router: Router, watcher: Watcher) {
    // Without it, small pieces wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection ends its requests; there is nobody left to tell.
    let _ = watcher.watch(connection).await;
}

//! Serves HTTP until the daemon stops.
//!
//! Data that connections haven't sent yet is lost when the process ends; [`Servers::close`] waits
//! until it is sent.

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

/// The time in which a caller must send the head of a request before it is disconnected. A head
/// takes one or two packets; half the time would disconnect callers on slow links.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of a request's head; common servers allow 8 to 64 KB.
const MAX_HEAD_BYTES: usize = 64 << 10;

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
    /// Serves `router` on every connection until the group is closed or dropped.
    pub fn serve(&mut self, listener: TcpListener, router: Router) {
        let mut is_closing = self.is_closing.subscribe();
        let closing = async move {
            // An error means that the sender was dropped together with the group.
            let _ = is_closing.wait_for(|is_closing| *is_closing).await;
        };
        self.tasks.spawn(serve_until(closing, listener, router));
    }

    /// Stops accepting connections and waits until every started answer is sent.
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
    // Otherwise small chunks would wait for the caller's acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection ends its requests, and no caller is left to report the error to.
    let _ = watcher.watch(connection).await;
}

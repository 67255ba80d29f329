//! Closing servers while answers are being sent.

use axum::Router;
use axum::routing::get;
use bridgevane::modules::process::http_serve::{Servers, listen};
use bridgevane_client_limits::{ClientConnections, ClientMemory};
use bridgevane_types::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// More than the few connections of a test need.
const CLIENT_MEMORY: Bytes = Bytes(64 << 20);
const MAX_CONNECTIONS: usize = 64;
/// More than the buffers of both sockets can hold.
const LONG_ANSWER_BYTES: usize = 32 << 20;

async fn start_server() -> (Servers, SocketAddr) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = listen(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut servers = Servers::default();
    let router = Router::new().route("/long", get(|| async { vec![b'x'; LONG_ANSWER_BYTES] }));
    let connections = ClientConnections::new(ClientMemory::new(CLIENT_MEMORY), MAX_CONNECTIONS);
    servers.serve(listener, router, connections);
    (servers, address)
}

async fn request_long_answer(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut first = [0];
    stream.read_exact(&mut first).await.unwrap();
    stream
}

/// Guards against a planned stop that cuts the end of a stream: the request had ended, but its last
/// bytes weren't sent yet.
#[tokio::test]
async fn closing_waits_until_running_answers_are_sent() {
    let (servers, address) = start_server().await;
    let mut caller = request_long_answer(address).await;
    let closing = tokio::spawn(servers.close());
    sleep(Duration::from_millis(200)).await;
    assert!(!closing.is_finished(), "the caller hasn't read the answer");
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > LONG_ANSWER_BYTES, "{} bytes", rest.len());
    timeout(Duration::from_secs(5), closing)
        .await
        .expect("it closes once the answer is sent")
        .unwrap();
}

/// Guards against a planned stop that waits for clients that keep idle connections open.
#[tokio::test]
async fn closing_does_not_wait_for_idle_connections() {
    let (servers, address) = start_server().await;
    let mut caller = request_long_answer(address).await;
    let mut remaining = vec![0; LONG_ANSWER_BYTES];
    caller.read_exact(&mut remaining).await.unwrap();
    timeout(Duration::from_secs(5), servers.close())
        .await
        .expect("no answer is being sent");
    assert!(
        TcpStream::connect(address).await.is_err(),
        "the listener is closed"
    );
}

//! Servers that are closed while answers are on their way.

use axum::Router;
use axum::routing::get;
use bridgevane::modules::process::http_serve::{Servers, listen};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// More than the buffers of both sockets hold.
const LONG_ANSWER_BYTES: usize = 32 << 20;

async fn serving() -> (Servers, SocketAddr) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = listen(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut servers = Servers::default();
    let router = Router::new().route("/long", get(|| async { vec![b'x'; LONG_ANSWER_BYTES] }));
    servers.serve(listener, router);
    (servers, address)
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut first = [0];
    stream.read_exact(&mut first).await.unwrap();
    stream
}

/// A planned stop cut the end of a stream off: its request was over, its last bytes weren't sent.
#[tokio::test]
async fn closing_waits_until_the_answer_is_sent() {
    let (servers, address) = serving().await;
    let mut caller = ask(address).await;
    let closing = tokio::spawn(servers.close());
    sleep(Duration::from_millis(200)).await;
    assert!(!closing.is_finished(), "the caller hasn't read it");
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > LONG_ANSWER_BYTES, "{} bytes", rest.len());
    timeout(Duration::from_secs(5), closing)
        .await
        .expect("it closes then")
        .unwrap();
}

#[tokio::test]
async fn closing_waits_for_no_idle_connection() {
    let (servers, address) = serving().await;
    let mut caller = ask(address).await;
    let mut left = vec![0; LONG_ANSWER_BYTES];
    caller.read_exact(&mut left).await.unwrap();
    timeout(Duration::from_secs(5), servers.close())
        .await
        .expect("nothing is on its way");
    assert!(TcpStream::connect(address).await.is_err(), "nobody listens");
}

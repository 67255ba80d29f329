//! Servers that answer before they have read a long body, at the adapters of `serve`.

use bridgevane_adapters::{HttpPlainService, PlainCall, PlainService};
use bridgevane_types::RequestId;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Until when a call must be answered.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Answers each request as soon as a part of it has arrived.
async fn serve(mut stream: TcpStream) {
    let mut part = [0; 4096];
    while let Ok(1..) = stream.read(&mut part).await {
        if !part.starts_with(b"POST") {
            // The rest of a long body is left unread.
            std::future::pending::<()>().await;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

fn call(body: usize) -> PlainCall {
    PlainCall {
        request: RequestId(1),
        method: http::Method::POST,
        path: "/x".to_owned(),
        idempotency_key: None,
        content_type: None,
        body: Bytes::from(vec![b'x'; body]),
    }
}

/// Guards against a call that waits behind a long body which its server has answered and not read.
#[tokio::test]
async fn only_connections_that_carried_short_bodies_are_used_again() {
    for (body, expected) in [(100, 1), (60_000, 3)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream));
            }
        });
        let service = HttpPlainService::new(address);
        for _ in 0..3 {
            let answer = timeout(CALL_LIMIT, service.call(call(body))).await;
            let answer = answer.expect("an answer in time").expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert_eq!(connections.load(Ordering::SeqCst), expected, "{body} bytes");
    }
}

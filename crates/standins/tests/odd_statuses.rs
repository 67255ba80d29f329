//! Answers whose status isn't one of a final answer, at the adapters of `serve`.

use bridgevane_adapters::{HttpPlainService, PlainCall, PlainCallError, PlainService};
use bridgevane_types::RequestId;
use bytes::Bytes;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that answers each request with this status line and a body of four bytes.
async fn start(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\nfine");
            // The other side may have closed the connection.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn call(status: &'static str) -> Result<u16, PlainCallError> {
    let call = PlainCall {
        request: RequestId(1),
        method: http::Method::POST,
        path: "/x".to_owned(),
        idempotency_key: None,
        content_type: None,
        body: Bytes::new(),
    };
    let service = HttpPlainService::new(start(status).await);
    let answer = service.call(call).await;
    answer.map(|answer| answer.status.as_u16())
}

/// Guards against an answer of a worker in trouble that reaches a caller with a status that isn't one of a
/// final answer, such as 000, 101 or 999: the call may have run.
#[tokio::test]
async fn a_status_that_is_not_final_is_no_answer_of_a_plain_service() {
    for status in ["000 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd"] {
        assert_eq!(call(status).await, Err(PlainCallError::Unknown), "{status}");
    }
    for (status, expected) in [("200 OK", 200), ("404 Not Found", 404), ("599 Odd", 599)] {
        assert_eq!(call(status).await, Ok(expected));
    }
}

//! Endpoints that answer before they have read a long body, and read on later.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::client::{Client, request};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// How much later the endpoint reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(1_500);
/// Until when a request behind the early answer must be answered.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// An endpoint that answers each request as soon as it has its head, and reads long bodies later.
#[derive(Clone)]
struct EarlyEndpoint {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl EarlyEndpoint {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("it listens"),
            connections: Arc::default(),
        };
        let own = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                own.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream));
            }
        });
        endpoint
    }
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let value = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim().to_owned())
        };
        let id = value("x-id:").unwrap_or_default();
        let body = value("content-length:").and_then(|length| length.parse().ok());
        let body: usize = body.unwrap_or(0);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nkeep-alive: timeout=5\r\n\
             content-length: 4\r\n\r\nfine"
        );
        if body <= 1_000 {
            read_body(&mut stream, body).await?;
            stream.write_all(answer.as_bytes()).await.ok()?;
        } else {
            stream.write_all(answer.as_bytes()).await.ok()?;
            sleep(READS_ON_AFTER).await;
            read_body(&mut stream, body).await?;
        }
    }
}

/// Reads a head byte by byte: nothing of the body is read with it.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

async fn read_body(stream: &mut TcpStream, bytes: usize) -> Option<()> {
    let mut body = vec![0; bytes];
    stream.read_exact(&mut body).await.ok()?;
    Some(())
}

/// Starts a gateway before one such endpoint.
async fn start_gateway() -> (RunningGateway, EarlyEndpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let endpoint = EarlyEndpoint::start().await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    (start(source).await, endpoint)
}

/// Guards against a request that waits behind a long body which its endpoint has answered and not read: its
/// client left, and the request reached the endpoint all the same.
#[tokio::test]
async fn no_request_waits_behind_a_long_body_that_was_answered_early() {
    let (running, _endpoint) = start_gateway().await;
    let mut client = Client::connect(running.address).await;
    let long = "x".repeat(60_000);
    for (id, body) in [("a1", long.as_str()), ("a2", "short")] {
        let sent_at = Instant::now();
        let text = request("POST", "/once/x", id, "x-deadline: 2500\r\n", body);
        client.send(&text).await;
        let got = client.answer().await.expect("an answer");
        assert_eq!((got.status, got.body.as_str()), (200, "fine"), "{id}");
        assert!(sent_at.elapsed() < ANSWER_LIMIT, "{id}");
    }
}

/// Guards against a new connection for each request, also where the body came with the head.
#[tokio::test]
async fn a_connection_is_used_again_after_short_bodies() {
    let (running, endpoint) = start_gateway().await;
    let mut client = Client::connect(running.address).await;
    for id in ["a1", "a2", "a3"] {
        let text = request("POST", "/once/x", id, "x-deadline: 2500\r\n", "short");
        client.send(&text).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
    assert_eq!(endpoint.connections.load(Ordering::SeqCst), 1);
}

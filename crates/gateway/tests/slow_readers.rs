//! Clients that read slowly, or not at all for some seconds.

mod support;

use bridgevane_gateway::{GatewaySettings, Route};
use bridgevane_types::DurationMs;
use std::net::SocketAddr;
use std::time::Duration;
use support::client::request;
use support::endpoint::{Action, Endpoint, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, stream_route};
use support::{settings, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// The events of a stream, larger together than all buffers on its way.
const EVENTS: u64 = 4_000;
/// A receive buffer that is full soon.
const RECEIVE_BUFFER_BYTES: u32 = 2_048;
/// Longer than an endpoint or a daemon may leave sent bytes unacknowledged.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Longer than the pause and the reading after it, so that only the client's stall can cut an answer.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Requests a stream, reads nothing for `PAUSE`, then reads to its end; returns whether it was whole.
async fn is_whole_after_pause(client_stall_ms: DurationMs) -> bool {
    let source = ScriptedSource::new();
    let route = Route {
        timeout_ms: DurationMs(ROUTE_TIMEOUT.as_millis() as u64),
        ..stream_route("stream", false, 1)
    };
    source.publish_configuration(1, vec![route], &[KEY]);
    let endpoint = Endpoint::start(|_| {
        let mut actions = vec![stream_head()];
        for at in 1..=EVENTS / 100 {
            let events: Vec<Action> = (0..100).map(|id| event(at * 100 + id)).collect();
            actions.extend(events);
            actions.push(Action::Wait(Duration::from_millis(10)));
        }
        actions.push(last_chunk());
        actions
    })
    .await;
    source.publish_endpoint("e-0", "model", endpoint.address);
    let settings = GatewaySettings {
        client_stall_ms,
        ..settings()
    };
    let running = start_with(source, settings).await;
    let mut client = connect(running.address).await;
    let text = request("POST", "/stream/x", "a1", "x-deadline: 60000\r\n", "");
    client.write_all(text.as_bytes()).await.unwrap();
    sleep(PAUSE).await;
    let mut received = Vec::new();
    let mut bytes = [0; 64 * 1024];
    let reading = async {
        while !received.ends_with(b"0\r\n\r\n") {
            match client.read(&mut bytes).await {
                Ok(0) | Err(_) => return false,
                Ok(count) => received.extend_from_slice(&bytes[..count]),
            }
        }
        true
    };
    timeout(ROUTE_TIMEOUT, reading).await.expect("an end")
}

/// A client with a small window that read nothing for some seconds got its stream reset: the system
/// counts a closed window as unacknowledged bytes.
#[tokio::test]
async fn a_client_that_reads_nothing_for_some_seconds_keeps_its_answer() {
    assert!(is_whole_after_pause(DurationMs(6_000)).await);
}

/// The time is bounded, so that a client whose host is gone doesn't hold its request for good.
#[tokio::test]
async fn a_client_that_reads_nothing_for_too_long_is_cut() {
    assert!(!is_whole_after_pause(DurationMs(1_000)).await);
}

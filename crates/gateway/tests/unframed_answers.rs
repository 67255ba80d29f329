//! Answers with neither a length nor chunks, which end with their connection: what counts as whole, and
//! what as broken off.

mod support;

use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, event, last_chunk, stream_head};
use support::{RunningGateway, start_before_twin_endpoints};

/// The time between two writes, after which the daemon has read the first.
const BETWEEN_WRITES: Duration = Duration::from_millis(30);
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nconnection: close\r\n\r\n";

/// Sends the head and these bytes in one write each.
fn unframed(writes: &[&str], end: Action) -> Vec<Action> {
    let mut actions = vec![Action::Send(HEAD.into())];
    for write in writes {
        actions.push(Action::Send((*write).to_owned()));
        actions.push(Action::Wait(BETWEEN_WRITES));
    }
    actions.push(end);
    actions
}

async fn start_gateway(actions: Vec<Action>) -> (RunningGateway, Endpoint) {
    start_before_twin_endpoints(move |_, request| {
        if request.header("last-event-id").is_some() {
            return vec![stream_head(), event(2), last_chunk()];
        }
        actions.clone()
    })
    .await
}

async fn send(running: &RunningGateway, path: &str) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    let text = request("POST", path, "a1", "x-deadline: 1500\r\n", "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

/// Guards against a complete stream that is cut because its last blank line arrives in two pieces or ends
/// with a carriage return, and against one that looks complete although its last event lacks the blank
/// line.
#[tokio::test]
async fn a_stream_without_framing_is_whole_only_between_events() {
    let cases: [(&str, &[&str], bool); 8] = [
        ("whole", &["id: 1\ndata: a\n\n"], true),
        (
            "blank line in two pieces",
            &["id: 1\ndata: a\n", "\n"],
            true,
        ),
        ("carriage returns", &["id: 1\r\ndata: a\r\n\r\n"], true),
        (
            "carriage returns in pieces",
            &["id: 1\r\ndata: a\r\n\r", "\n"],
            true,
        ),
        ("event in two pieces", &["id: 1\nda", "ta: a\n\n"], true),
        ("no event", &[], true),
        (
            "no blank line",
            &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n"],
            false,
        ),
        (
            "inside an event",
            &["id: 1\ndata: a\n\n", "id: 2\nda"],
            false,
        ),
    ];
    for (name, writes, is_whole) in cases {
        let (running, _endpoint) = start_gateway(unframed(writes, Action::Close)).await;
        let got = send(&running, "/stream/x").await;
        assert_eq!((got.status, got.is_whole), (200, is_whole), "{name}");
    }
}

/// Guards against a complete resumable stream that is resumed, and against one that isn't although its
/// last event lacks the blank line.
#[tokio::test]
async fn a_resumable_stream_without_framing_is_resumed_only_if_it_ends_inside_an_event() {
    let whole = ["id: 1\r\ndata: a\r\n\r", "\n"];
    let (running, endpoint) = start_gateway(unframed(&whole, Action::Close)).await;
    assert!(send(&running, "/resume/x").await.is_whole);
    assert_eq!(endpoint.request_count(), 1);
    for rest in ["id: 2\ndata: b\n", "id: 2\nda"] {
        let broken = ["id: 1\ndata: a\n\n", rest];
        let (running, endpoint) = start_gateway(unframed(&broken, Action::Close)).await;
        let got = send(&running, "/resume/x").await;
        assert!(got.is_whole);
        assert_eq!(got.body.matches("id: 2").count(), 1, "{}", got.body);
        assert_eq!(endpoint.request_count(), 2);
    }
}

/// Guards against a plain answer that looks complete although its connection was reset.
#[tokio::test]
async fn a_plain_answer_without_framing_is_whole_unless_its_connection_is_reset() {
    let large = "x".repeat(300_000);
    for body in ["fine", &large] {
        let (running, _endpoint) = start_gateway(unframed(&[body], Action::Close)).await;
        let got = send(&running, "/once/x").await;
        assert_eq!((got.status, got.is_whole), (200, true));
        assert_eq!(got.body.len(), body.len());
        let (running, _endpoint) = start_gateway(unframed(&[body], Action::Reset)).await;
        let got = send(&running, "/once/x").await;
        assert!(got.status == 502 || !got.is_whole, "{}", got.status);
    }
}

//! Answers whose head tells another length than that of the body: from endpoints, and to clients.

mod support;

use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, ReceivedRequest, answer, event, last_chunk, stream_head};
use support::start_before_twin_endpoints;
use tokio::time::sleep;

async fn send(client: &mut Client, method: &str, path: &str, id: &str) -> ClientAnswer {
    let text = request(method, path, id, "x-deadline: 1500\r\n", "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

/// Heads that leave the end of the answer open to two readings, each with its body.
const AMBIGUOUS: [(&str, &str); 9] = [
    (
        "content-length: 2\r\ntransfer-encoding: chunked",
        "4\r\nfine\r\n0\r\n\r\n",
    ),
    (
        "transfer-encoding: chunked\r\ncontent-length: 2",
        "4\r\nfine\r\n0\r\n\r\n",
    ),
    ("transfer-encoding: gzip, chunked", "4\r\nfine\r\n0\r\n\r\n"),
    ("transfer-encoding: gzip", "fine"),
    (
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "4\r\nfine\r\n0\r\n\r\n",
    ),
    ("content-length: 2\r\ncontent-length: 4", "fine"),
    ("content-length: 2, 4", "fine"),
    ("content-length: +4", "fine"),
    ("content-length: four", "fine"),
];

/// An endpoint's answer had two lengths; the client got one of them with a body of the other, and
/// read the rest as the start of its next answer.
#[tokio::test]
async fn an_answer_with_an_ambiguous_end_reaches_no_client() {
    for (framing, body) in AMBIGUOUS {
        for path in ["/once/x", "/stream/x"] {
            let text =
                format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\n{framing}\r\n\r\n{body}");
            let script = move |at, _: &ReceivedRequest| match at {
                0 => vec![Action::Send(text.clone()), Action::Close],
                _ => vec![answer("200 OK", "next")],
            };
            let (running, _endpoint) = start_before_twin_endpoints(script).await;
            let mut client = Client::connect(running.address).await;
            let got = send(&mut client, "POST", path, "a1").await;
            // The request may have run, so that nothing is promised about it.
            assert_eq!((got.status, got.is_whole), (502, true), "{framing} {path}");
            let next = send(&mut client, "POST", path, "a2").await;
            assert_eq!(
                (next.status, next.body.as_str()),
                (200, "next"),
                "{framing}"
            );
        }
    }
}

/// The connection of such an answer has an unknown position, so that the next request on it could
/// read the rest of the answer.
#[tokio::test]
async fn after_an_ambiguous_answer_the_request_is_repeated_on_another_connection() {
    let (framing, body) = AMBIGUOUS[0];
    let text = format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\n{framing}\r\n\r\n{body}");
    let script = move |at, _: &ReceivedRequest| match at {
        0 => vec![Action::Send(text.clone()), Action::Hang],
        _ => vec![answer("200 OK", "second")],
    };
    let (running, endpoint) = start_before_twin_endpoints(script).await;
    let mut client = Client::connect(running.address).await;
    let got = send(&mut client, "GET", "/often/x", "a1").await;
    assert_eq!((got.status, got.body.as_str()), (200, "second"));
    assert_eq!(endpoint.request_count(), 2);
    let is_closed = || *endpoint.abandoned.lock().unwrap() == 1;
    for _ in 0..100 {
        if is_closed() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the connection stays open");
}

/// The length in an endpoint's head isn't that of a stream that another endpoint goes on with.
#[tokio::test]
async fn a_stream_that_is_resumed_is_not_told_the_length_of_its_first_part() {
    let first = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n\
                 content-length: 120\r\n\r\nid: 1\ndata: a\n\n";
    let script = move |_, request: &ReceivedRequest| {
        if request.header("last-event-id").is_some() {
            return vec![stream_head(), event(2), last_chunk()];
        }
        vec![Action::Send(first.to_owned()), Action::Close]
    };
    let (running, endpoint) = start_before_twin_endpoints(script).await;
    let mut client = Client::connect(running.address).await;
    let got = send(&mut client, "POST", "/resume/x", "a1").await;
    assert_eq!((got.status, got.is_whole), (200, true), "{}", got.head);
    assert!(
        got.body.contains("id: 1") && got.body.contains("id: 2"),
        "{}",
        got.body
    );
    assert_eq!(got.header("content-length"), None);
    assert_eq!(endpoint.request_count(), 2);
}

/// An answer that breaks off must not look whole, however its end was told.
#[tokio::test]
async fn an_answer_that_ends_before_its_length_is_never_whole() {
    let large = "x".repeat(300_000);
    for (path, body) in [
        ("/stream/x", "id: 1\ndata: a\n\n"),
        ("/once/x", large.as_str()),
    ] {
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 400000\r\n\r\n";
        let text = format!("{head}{body}");
        let script = move |_, _: &ReceivedRequest| vec![Action::Send(text.clone()), Action::Close];
        let (running, _endpoint) = start_before_twin_endpoints(script).await;
        let mut client = Client::connect(running.address).await;
        let got = send(&mut client, "POST", path, "a1").await;
        assert!(!got.is_whole, "{path}: {}", got.head);
    }
}

/// A sound answer must keep its body whatever its framing: the daemon tells a length that fits.
#[tokio::test]
async fn sound_answers_arrive_whole_in_each_framing() {
    let large = "x".repeat(300_000);
    for body in ["fine", large.as_str()] {
        let chunked = format!(
            "transfer-encoding: Chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        );
        let length = format!("content-length: {}\r\n\r\n{body}", body.len());
        let twice = format!(
            "content-length: {0}\r\ncontent-length: {0}\r\n\r\n{body}",
            body.len()
        );
        for rest in [chunked, length, twice] {
            let text = format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\n{rest}");
            let script = move |_, _: &ReceivedRequest| vec![Action::Send(text.clone())];
            let (running, _endpoint) = start_before_twin_endpoints(script).await;
            let mut client = Client::connect(running.address).await;
            for id in ["a1", "a2"] {
                let got = send(&mut client, "POST", "/once/x", id).await;
                assert_eq!((got.status, got.is_whole), (200, true), "{}", got.head);
                assert_eq!(got.body.len(), body.len());
            }
        }
    }
}

/// Only the answer to `HEAD` tells the length of a body that isn't sent; after any other one a client
/// would wait for bytes that never come.
#[tokio::test]
async fn answers_without_a_body_end_with_their_head() {
    let cases = [
        ("HEAD", "200 OK", "content-length: 4\r\n", Some("4")),
        ("GET", "304 Not Modified", "content-length: 4\r\n", None),
        ("GET", "304 Not Modified", "", None),
        ("GET", "204 No Content", "", None),
    ];
    for (method, status, length, told) in cases {
        let text = format!("HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-sign: s\r\n{length}\r\n");
        let script = move |_, _: &ReceivedRequest| vec![Action::Send(text.clone())];
        let (running, _endpoint) = start_before_twin_endpoints(script).await;
        let mut client = Client::connect(running.address).await;
        for id in ["a1", "a2"] {
            let text = request(method, "/often/x", id, "x-deadline: 1500\r\n", "");
            client.send(&text).await;
            let head = client.head().await.expect("a head").to_lowercase();
            assert!(head.contains(&format!("x-id: {id}")), "{head}");
            let line = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            assert_eq!(line, told, "{method} {status}: {head}");
        }
    }
}

/// An endpoint's success that lists its signature in `Connection` reached the client without it, and
/// so does a request's header its endpoint.
#[tokio::test]
async fn headers_between_client_and_endpoint_pass_even_if_connection_lists_them() {
    let text = "HTTP/1.1 200 OK\r\nconnection: x-sign, x-hop\r\nx-id: {id}\r\nx-sign: s\r\n\
                x-hop: 1\r\ncontent-length: 4\r\n\r\nfine";
    let script = move |_, _: &ReceivedRequest| vec![Action::Send(text.to_owned())];
    let (running, endpoint) = start_before_twin_endpoints(script).await;
    let mut client = Client::connect(running.address).await;
    let extra = "connection: x-id, x-tokens, x-hop\r\nx-tokens: 8,1\r\nx-hop: 1\r\n";
    let text = request("POST", "/once/x", "a1", extra, "");
    client.send(&text).await;
    let got = client.answer().await.expect("an answer");
    assert_eq!((got.status, got.header("x-sign")), (200, Some("s")));
    assert_eq!(got.header("x-hop"), None);
    let received = endpoint.received.lock().unwrap()[0].clone();
    assert_eq!(received.header("x-tokens"), Some("8,1".to_owned()));
    assert_eq!(received.header("x-id"), Some("a1".to_owned()));
    assert_eq!(received.header("x-hop"), None);
}

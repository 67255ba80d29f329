//! Heads that aren't the answer of an endpoint: successes without its signature, and statuses that aren't
//! those of a final answer.

mod support;

use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, ReceivedRequest, answer, chunk, event, last_chunk, stream_head};
use support::start_before_twin_endpoints;

async fn send(client: &mut Client, method: &str, path: &str, id: &str) -> ClientAnswer {
    let text = request(method, path, id, "x-deadline: 1500\r\n", "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

/// An answer with this start of its head and four bytes.
fn head_and_body(start: &str) -> Vec<Action> {
    let text = format!("HTTP/1.1 {start}x-id: {{id}}\r\ncontent-length: 4\r\n\r\nfine");
    vec![Action::Send(text)]
}

/// Successes that lack a signature, or have more than one or an empty one.
const UNSIGNED: [&str; 5] = [
    "200 OK\r\n",
    "201 Created\r\n",
    "200 OK\r\nx-sign:\r\n",
    "200 OK\r\nx-sign: a\r\nx-sign: b\r\n",
    "203 Non-Authoritative Information\r\n",
];

/// Statuses with which no answer ends. Those below 200 and above 599 are read by the HTTP library or
/// rejected by it.
const NOT_FINAL: [&str; 9] = [
    "000 OK\r\nx-sign: s\r\n",
    "000\r\nx-sign: s\r\n",
    "099 Odd\r\nx-sign: s\r\n",
    "101 Switching Protocols\r\nx-sign: s\r\n",
    "101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\nx-sign: s\r\n",
    "199 Odd\r\nx-sign: s\r\n",
    "600 Odd\r\nx-sign: s\r\n",
    "999 Odd\r\nx-sign: s\r\n",
    "2xx Odd\r\nx-sign: s\r\n",
];

/// Guards against a head that is no answer and reaches a client, as a success or with a status that
/// clients can't act on, and against a connection on which the next request then gets no answer.
#[tokio::test]
async fn a_success_without_a_signature_or_a_status_that_is_not_final_reaches_no_client() {
    for start in UNSIGNED.into_iter().chain(NOT_FINAL) {
        for path in ["/once/x", "/stream/x"] {
            let script = move |at, _: &ReceivedRequest| match at {
                0 => [head_and_body(start), vec![Action::Close]].concat(),
                _ => vec![answer("200 OK", "next")],
            };
            let (running, endpoint) = start_before_twin_endpoints(script).await;
            let mut client = Client::connect(running.address).await;
            let got = send(&mut client, "POST", path, "a1").await;
            // The request may have run, so that nothing is promised about it.
            assert_eq!((got.status, got.is_whole), (502, true), "{start} {path}");
            assert_eq!(endpoint.request_count(), 1, "{start} {path}");
            let next = send(&mut client, "POST", path, "a2").await;
            assert_eq!((next.status, next.body.as_str()), (200, "next"), "{start}");
        }
    }
}

/// Guards against an unsigned success in another framing: chunked, ended by its connection, or without a
/// body.
#[tokio::test]
async fn an_unsigned_success_reaches_no_client_in_any_framing() {
    for rest in [
        "200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "200 OK\r\nx-id: {id}\r\n\r\nfine",
        "204 No Content\r\nx-id: {id}\r\n\r\n",
    ] {
        for path in ["/once/x", "/stream/x"] {
            let script = move |_, _: &ReceivedRequest| {
                vec![Action::Send(format!("HTTP/1.1 {rest}")), Action::Close]
            };
            let (running, _endpoint) = start_before_twin_endpoints(script).await;
            let mut client = Client::connect(running.address).await;
            let got = send(&mut client, "POST", path, "a1").await;
            assert_eq!((got.status, got.is_whole), (502, true), "{rest} {path}");
        }
    }
}

/// Guards against a success whose signature the client never gets because the daemon doesn't ask for it
/// where another endpoint goes on with a stream: its part is passed on under the first one's signature.
#[tokio::test]
async fn an_unsigned_answer_continues_no_stream() {
    let script = |_, request: &ReceivedRequest| {
        if request.header("last-event-id").is_none() {
            return vec![stream_head(), event(1), chunk("id: 2\nda"), Action::Close];
        }
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        vec![Action::Send(head.to_owned()), event(2), last_chunk()]
    };
    let (running, _endpoint) = start_before_twin_endpoints(script).await;
    let mut client = Client::connect(running.address).await;
    let got = send(&mut client, "POST", "/resume/x", "a1").await;
    assert_eq!((got.status, got.is_whole), (200, false), "{}", got.body);
    assert!(!got.body.contains("piece 2"), "{}", got.body);
}

/// Guards against a request that isn't repeated after a head that is no answer, though its route allows
/// it, and against a connection with an unknown position that is used again.
#[tokio::test]
async fn a_request_that_may_be_repeated_gets_the_answer_of_another_attempt() {
    for start in ["200 OK\r\n", "101 Switching Protocols\r\n", "999 Odd\r\n"] {
        let script = move |at, _: &ReceivedRequest| match at {
            0 => [head_and_body(start), vec![Action::Hang]].concat(),
            _ => vec![answer("200 OK", "second")],
        };
        let (running, endpoint) = start_before_twin_endpoints(script).await;
        let mut client = Client::connect(running.address).await;
        let got = send(&mut client, "GET", "/often/x", "a1").await;
        assert_eq!((got.status, got.body.as_str()), (200, "second"), "{start}");
        assert_eq!(endpoint.request_count(), 2);
        let closed = async {
            while *endpoint.abandoned.lock().unwrap() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let closed = tokio::time::timeout(Duration::from_secs(2), closed).await;
        closed.expect("the connection is closed");
    }
}

/// Guards against a sound answer that is turned away: only successes are asked for a signature, and what
/// an endpoint says of a request that did not run is believed without one.
#[tokio::test]
async fn refusals_and_failures_pass_without_a_signature() {
    for status in [
        "300 Multiple Choices",
        "400 Bad Request",
        "404 Not Found",
        "500 Internal Server Error",
        "504 Gateway Timeout",
        "599 Odd",
    ] {
        for signature in ["", "x-sign: s\r\n"] {
            let start = format!("{status}\r\n{signature}");
            let script = move |_, _: &ReceivedRequest| head_and_body(&start);
            let (running, _endpoint) = start_before_twin_endpoints(script).await;
            let mut client = Client::connect(running.address).await;
            let got = send(&mut client, "POST", "/once/x", "a1").await;
            assert_eq!(got.status.to_string(), status[..3], "{}", got.head);
            let passed_on = got.header("x-sign").is_some();
            assert_eq!(passed_on, !signature.is_empty(), "{}", got.head);
        }
    }
    let script = |at, _: &ReceivedRequest| match at {
        0 => head_and_body("200 OK\r\nx-not-run: 1\r\n"),
        _ => vec![answer("200 OK", "ran")],
    };
    let (running, _endpoint) = start_before_twin_endpoints(script).await;
    let mut client = Client::connect(running.address).await;
    let got = send(&mut client, "POST", "/once/x", "a1").await;
    assert_eq!((got.status, got.body.as_str()), (200, "ran"));
}

/// Guards against a head that stops anywhere and looks like a whole answer with an empty or a short body:
/// the endpoint closed its connection in the middle of it.
#[tokio::test]
async fn an_answer_that_stops_anywhere_is_never_whole() {
    let framings = [
        "content-length: 4\r\n\r\nfine",
        "transfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
    ];
    for framing in framings {
        let whole = format!("HTTP/1.1 200 OK\r\nx-id: a1\r\nx-sign: s\r\n{framing}");
        let script = {
            let whole = whole.clone();
            move |at: usize, _: &ReceivedRequest| {
                let end = (at / 2).min(whole.len());
                vec![Action::Send(whole[..end].to_owned()), Action::Close]
            }
        };
        let (running, endpoint) = start_before_twin_endpoints(script).await;
        for end in 0..whole.len() {
            for path in ["/once/x", "/stream/x"] {
                let mut client = Client::connect(running.address).await;
                let text = request("POST", path, "a1", "x-deadline: 1500\r\n", "");
                client.send(&text).await;
                // A stream may end before its head was written.
                let got = client.answer().await;
                let is_whole = got.is_some_and(|got| got.is_whole && got.status != 502);
                assert!(!is_whole, "{path}, {end} bytes");
            }
        }
        assert_eq!(endpoint.request_count(), 2 * whole.len());
    }
}

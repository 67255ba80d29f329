//! Which events of a resumable stream a client gets: each once, and the last bytes before the end.

mod support;

use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, chunk, event, last_chunk, stream_head};
use support::{RunningGateway, start_before_twin_endpoints};

const COMMENT: &str = ": keep-alive\n\n";

fn stream_of(events: &[&str], end: Action) -> Vec<Action> {
    let chunks = events.iter().map(|text| chunk(text));
    let head = [stream_head()].into_iter();
    head.chain(chunks).chain([end]).collect()
}

/// Starts a gateway before an endpoint that answers the first request of all by one script, and others
/// by another.
async fn start_gateway(first: Vec<Action>, others: Vec<Action>) -> (RunningGateway, Endpoint) {
    start_before_twin_endpoints(move |at, _| match at {
        0 => first.clone(),
        _ => others.clone(),
    })
    .await
}

async fn send(running: &RunningGateway, extra: &str) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    let extra = format!("x-deadline: 1500\r\n{extra}");
    let text = request("POST", "/resume/x", "a1", &extra, "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

/// Guards against events that a client gets twice: a stream that is resumed although it had an event that
/// no identifier names begins anew, or after an earlier event.
#[tokio::test]
async fn a_stream_with_an_event_that_has_no_number_is_not_resumed() {
    let cases: [&[&str]; 6] = [
        &["data: a\n\n"],
        &["id: x\ndata: a\n\n"],
        &["id: 1\ndata: a\n\n", "data: b\n\n"],
        &["id: 1\ndata: a\n\n", "id: x\r\ndata: b\r\n\r\n"],
        &["id: 1\ndata: a\n\n", ": comment\nevent: b\n\n"],
        &["data: a\n\n", "id: 2\ndata: b\n\n"],
    ];
    for events in cases {
        let first = stream_of(events, Action::Close);
        let others = stream_of(events, last_chunk());
        let (running, endpoint) = start_gateway(first, others).await;
        let got = send(&running, "").await;
        assert_eq!((got.status, got.is_whole), (200, false), "{events:?}");
        assert_eq!(got.body, events.concat());
        assert_eq!(endpoint.request_count(), 1);
    }
}

/// Guards against comments and blank lines that count as events without an identifier, so that a stream
/// with keep-alives isn't resumed.
#[tokio::test]
async fn a_stream_with_comments_and_blank_lines_is_resumed() {
    let cases: [&[&str]; 4] = [
        &[COMMENT],
        &["\n\n", "\r\n\r\n"],
        &["id: 1\ndata: piece 1\n\n", COMMENT],
        &[
            COMMENT,
            "id: 1\ndata: piece 1\n\n",
            ": a\r\n:\r\n\r\n",
            "\n\n",
        ],
    ];
    for events in cases {
        let first = stream_of(events, Action::Close);
        let others = vec![stream_head(), event(1), event(2), last_chunk()];
        let (running, endpoint) = start_gateway(first, others).await;
        let got = send(&running, "").await;
        assert_eq!((got.status, got.is_whole), (200, true), "{events:?}");
        for piece in ["piece 1", "piece 2"] {
            assert_eq!(got.body.matches(piece).count(), 1, "{}", got.body);
        }
        assert_eq!(endpoint.request_count(), 2);
    }
}

/// Guards against an answer that looks complete without its last bytes, because the blank line is missing
/// behind its last event.
#[tokio::test]
async fn the_bytes_behind_the_last_blank_line_arrive_before_a_proper_end() {
    let rests = [
        "id: 2\ndata: b\n",
        "id: 2\r\ndata: b\r\n\r",
        "data: [DONE]",
        ": c\n",
    ];
    for rest in rests {
        let body = format!("id: 1\ndata: a\n\n{rest}");
        let with_length = format!(
            "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answers = [
            stream_of(&[&body], last_chunk()),
            stream_of(&["id: 1\ndata: a\n\n", rest], last_chunk()),
            vec![Action::Send(with_length)],
        ];
        for answer in answers {
            let (running, endpoint) = start_gateway(answer.clone(), answer).await;
            let got = send(&running, "").await;
            assert_eq!((got.status, got.is_whole), (200, true));
            assert_eq!(got.body, body);
            assert_eq!(endpoint.request_count(), 1);
        }
    }
}

/// Guards against an event that a client gets twice because the endpoint that resumes the stream repeats it
/// last, without its blank line.
#[tokio::test]
async fn a_repeated_event_without_its_blank_line_is_dropped() {
    let first = vec![stream_head(), event(1), event(2), Action::Close];
    let others = stream_of(&["id: 2\ndata: piece 2\n"], last_chunk());
    let (running, endpoint) = start_gateway(first, others).await;
    let got = send(&running, "").await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body.matches("piece 2").count(), 1, "{}", got.body);
    assert_eq!(endpoint.request_count(), 2);
}

/// Guards against events that a client gets again when it takes up a stream at an endpoint that repeats
/// them.
#[tokio::test]
async fn events_that_a_client_has_are_dropped_from_the_stream_that_it_takes_up() {
    let whole: Vec<Action> = [stream_head()]
        .into_iter()
        .chain((1..=4).map(event))
        .chain([last_chunk()])
        .collect();
    let broken = vec![stream_head(), event(1), Action::Close];
    // The client's last event, and the first one that it gets.
    let cases = [("2", 3), ("4", 5), ("0", 1), ("x", 1)];
    for (last, next) in cases {
        let expected: String = (next..=4)
            .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
            .collect();
        for (first, requests) in [(&whole, 1), (&broken, 2)] {
            let (running, endpoint) = start_gateway(first.clone(), whole.clone()).await;
            let got = send(&running, &format!("last-event-id: {last}\r\n")).await;
            assert_eq!((got.status, got.is_whole), (200, true), "{last}");
            assert_eq!(got.body, expected, "{last}");
            assert_eq!(endpoint.request_count(), requests, "{last}");
        }
    }
}

/// Guards against a long stream that is taken for one without end because the client takes it up at an
/// endpoint that repeats it from its start.
#[tokio::test]
async fn a_long_stream_that_is_taken_up_may_be_repeated_from_its_start() {
    let long = |id| chunk(&format!("id: {id}\ndata: {}\n\n", "l".repeat(20_000)));
    let repeated: Vec<Action> = [stream_head()]
        .into_iter()
        .chain((1..=40).map(long))
        .chain([event(41), last_chunk()])
        .collect();
    let (running, endpoint) = start_gateway(repeated.clone(), repeated).await;
    let got = send(&running, "last-event-id: 40\r\n").await;
    assert_eq!((got.status, got.is_whole), (200, true));
    let is_rest = got.body == "id: 41\ndata: piece 41\n\n";
    assert!(is_rest, "{} bytes", got.body.len());
    assert_eq!(endpoint.request_count(), 1);
}

//! The outcome of a request for each behaviour of endpoints and clients.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer, chunk, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{RunningGateway, start};

/// Starts a gateway with two plain endpoints and two model endpoints, each kind with one script.
async fn start_gateway(
    plain: Vec<Action>,
    model: fn(usize) -> Vec<Action>,
) -> (RunningGateway, [Endpoint; 4]) {
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
        stream_route("stream", false, 1),
        stream_route("resume", true, 2),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    let plain_copy = plain.clone();
    let endpoints = [
        Endpoint::start(move |_| plain.clone()).await,
        Endpoint::start(move |_| plain_copy.clone()).await,
        Endpoint::start(model).await,
        Endpoint::start(model).await,
    ];
    for (at, endpoint) in endpoints.iter().enumerate() {
        let service = if at < 2 { "plain" } else { "model" };
        source.publish_endpoint(&format!("e-{at}"), service, endpoint.address);
    }
    (start(source).await, endpoints)
}

/// Returns the number of requests that reached the endpoints.
fn runs(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::request_count).sum()
}

async fn send_request(running: &RunningGateway, method: &str, path: &str) -> Option<ClientAnswer> {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request(method, path, "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await
}

fn answer_ok() -> Vec<Action> {
    vec![answer("200 OK", "fine")]
}

fn unused_model(_: usize) -> Vec<Action> {
    Vec::new()
}

/// Guards against runs that the route doesn't allow, and against missing retries: a request that may
/// run once must not be sent again after an endpoint may have run it.
#[tokio::test]
async fn plain_requests_are_repeated_only_where_the_route_allows_it() {
    // The behaviour of the endpoints, then the expected status and number of runs for a request that
    // may run once, and for one that may be repeated.
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned();
    let crossed =
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-sign: s\r\ncontent-length: 2\r\n\r\nno".to_owned();
    let short =
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 9\r\n\r\nfine".to_owned();
    let garbage = "SMTP ready\r\n\r\n".to_owned();
    type Outcome = (u16, usize, u16, usize);
    let cases: Vec<(&str, Vec<Action>, Outcome)> = vec![
        ("answers", answer_ok(), (200, 1, 200, 1)),
        ("fails", vec![answer("500 No", "x")], (500, 1, 500, 2)),
        ("not found", vec![answer("404 No", "x")], (404, 1, 404, 1)),
        ("is full", vec![Action::Send(not_run)], (503, 2, 503, 2)),
        ("resets", vec![Action::Reset], (502, 1, 502, 2)),
        ("closes", vec![Action::Close], (502, 1, 502, 2)),
        ("crosses", vec![Action::Send(crossed)], (502, 1, 502, 2)),
        (
            "breaks off",
            vec![Action::Send(short), Action::Close],
            (502, 1, 502, 2),
        ),
        ("is no HTTP", vec![Action::Send(garbage)], (502, 1, 502, 2)),
        ("is silent", vec![Action::Hang], (504, 1, 504, 2)),
    ];
    for (case, actions, (once, once_runs, often, often_runs)) in cases {
        let (running, endpoints) = start_gateway(actions.clone(), unused_model).await;
        let got = send_request(&running, "POST", "/once/x").await.expect(case);
        assert_eq!(
            (got.status, runs(&endpoints)),
            (once, once_runs),
            "{case}, once"
        );
        let (running, endpoints) = start_gateway(actions, unused_model).await;
        let got = send_request(&running, "GET", "/often/x").await.expect(case);
        assert_eq!(
            (got.status, runs(&endpoints)),
            (often, often_runs),
            "{case}, often"
        );
    }
}

/// Guards against changed paths and bodies, and against reserved headers, keys and hop-by-hop
/// headers of a client that reach an endpoint.
#[tokio::test]
async fn a_request_is_forwarded_unchanged_except_for_reserved_headers() {
    let (running, endpoints) = start_gateway(answer_ok(), unused_model).await;
    let mut client = Client::connect(running.address).await;
    let extra = "x-customer: forged\r\nx-endpoint: forged\r\nx-other: kept\r\n\
                 connection: x-hop\r\nx-hop: dropped\r\n";
    let path = "/once/a%2Fb/../c?q=1&r=%20";
    client
        .send(&request("POST", path, "a1", extra, "body bytes"))
        .await;
    let got = client.answer().await.expect("an answer");
    assert_eq!((got.status, got.body.as_str()), (200, "fine"));
    assert_eq!(got.header("x-sign"), Some("s"));
    assert_eq!(got.header("x-id"), Some("a1"));
    let received: Vec<_> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.received.lock().unwrap().clone())
        .collect();
    let [received] = received.as_slice() else {
        panic!("one request arrived: {received:?}");
    };
    assert!(
        received.head.starts_with(&format!("POST {path} HTTP/1.1")),
        "{}",
        received.head
    );
    assert_eq!(received.body, b"body bytes");
    assert_eq!(received.header("x-customer").as_deref(), Some("customer-1"));
    assert!(
        received
            .header("x-endpoint")
            .is_some_and(|name| name.starts_with("e-"))
    );
    assert_eq!(received.header("x-other").as_deref(), Some("kept"));
    assert_eq!(received.header("host").as_deref(), Some("host.example"));
    for removed in ["authorization", "x-hop", "connection"] {
        assert_eq!(received.header(removed), None, "{removed}");
    }
    let remaining_ms: u64 = received.header("x-deadline").unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&remaining_ms), "{remaining_ms}");
}

/// Guards against invalid requests that reach an endpoint, or get the wrong status or error code.
#[tokio::test]
async fn invalid_requests_get_an_error_code_and_reach_no_endpoint() {
    let big = "x".repeat(100_001);
    let with_key = |extra: &str| request("GET", "/once/x", "a1", extra, "");
    let cases: Vec<(&str, String, u16, &str)> = vec![
        (
            "no such path",
            request("GET", "/none/x", "a1", "", ""),
            404,
            "route_not_found",
        ),
        (
            "no such host",
            with_key("").replace("host.example", "other.example"),
            404,
            "route_not_found",
        ),
        (
            "no key",
            with_key("").replace("authorization", "x-none"),
            401,
            "invalid_api_key",
        ),
        (
            "unknown key",
            with_key("").replace("key-1", "key-9"),
            401,
            "invalid_api_key",
        ),
        (
            "no identifier",
            with_key("").replace("x-id", "x-none"),
            400,
            "malformed_request",
        ),
        (
            "two identifiers",
            with_key("x-id: a2\r\n"),
            400,
            "malformed_request",
        ),
        (
            "long body",
            request("POST", "/once/x", "a1", "", &big),
            413,
            "body_too_large",
        ),
    ];
    let (running, endpoints) = start_gateway(answer_ok(), unused_model).await;
    for (case, text, status, code) in cases {
        let mut client = Client::connect(running.address).await;
        client.send(&text).await;
        let got = client.answer().await.expect(case);
        assert_eq!(got.status, status, "{case}");
        assert!(got.body.contains(code), "{case}: {}", got.body);
    }
    assert_eq!(runs(&endpoints), 0);
}

/// Guards against request smuggling: a message whose length the gateway and an endpoint could read
/// differently must not be forwarded.
#[tokio::test]
async fn requests_with_ambiguous_framing_reach_no_endpoint() {
    let cases = [
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id: a1\r\nauthorization: Token key-1\r\n\
         content-length: 4\r\ncontent-length: 40\r\n\r\nabcd",
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id: a1\r\nauthorization: Token key-1\r\n\
         content-length: abc\r\n\r\nabcd",
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id : a1\r\n\r\n",
        "GET /once/x HTTP/1.1\r\nhost host.example\r\n\r\n",
    ];
    for text in cases {
        let (running, endpoints) = start_gateway(answer_ok(), unused_model).await;
        let mut client = Client::connect(running.address).await;
        client.send(text).await;
        let got = client.answer().await;
        assert!(got.is_none_or(|got| got.status == 400), "{text}");
        assert_eq!(runs(&endpoints), 0, "{text}");
    }
}

/// Guards against a second answer on an endpoint's connection that is taken for the answer to the
/// next request on it.
#[tokio::test]
async fn a_surplus_answer_is_never_sent_to_a_client() {
    let twice = vec![answer("200 OK", "fine"), answer("200 OK", "surplus")];
    let (running, _) = start_gateway(twice, unused_model).await;
    for at in 0..6 {
        let mut client = Client::connect(running.address).await;
        let id = format!("a{at}");
        client.send(&request("GET", "/often/x", &id, "", "")).await;
        let got = client.answer().await.expect("an answer");
        assert_eq!(got.header("x-id"), Some(id.as_str()));
        assert_eq!(got.body, "fine");
    }
}

/// Guards against an answer without a length that is taken for one that broke off: the end of its
/// connection is its end.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_forwarded_completely() {
    let unframed = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\n\r\nfine".to_owned();
    let (running, _) =
        start_gateway(vec![Action::Send(unframed), Action::Close], unused_model).await;
    let got = send_request(&running, "POST", "/once/x")
        .await
        .expect("an answer");
    assert_eq!(
        (got.status, got.body.as_str(), got.is_whole),
        (200, "fine", true)
    );
}

fn breaks_off_inside_an_event(at: usize) -> Vec<Action> {
    let events_from = |first: u64| (first..=4).map(event).chain([last_chunk()]);
    match at {
        0 => vec![stream_head(), event(1), chunk("id: 2\nda"), Action::Reset],
        _ => [stream_head()].into_iter().chain(events_from(2)).collect(),
    }
}

/// Guards against lost, repeated or partial events when a stream breaks off inside an event and is
/// resumed.
#[tokio::test]
async fn a_resumable_stream_is_resumed_at_another_endpoint() {
    // The first request of all breaks off; the next one goes to the other endpoint.
    static REQUESTS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    fn script(_: usize) -> Vec<Action> {
        breaks_off_inside_an_event(REQUESTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }
    let (running, endpoints) = start_gateway(Vec::new(), script).await;
    let got = send_request(&running, "POST", "/resume/x")
        .await
        .expect("an answer");
    let expected: String = (1..=4)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, expected);
    assert_eq!(runs(&endpoints), 2);
    let is_resumed = endpoints.iter().any(|endpoint| {
        let received = endpoint.received.lock().unwrap();
        received
            .iter()
            .any(|request| request.header("last-event-id").as_deref() == Some("1"))
    });
    assert!(is_resumed);
}

/// Guards against a broken stream that ends with a regular last chunk, so that the client takes it
/// for complete.
#[tokio::test]
async fn a_broken_stream_that_cannot_be_resumed_ends_incomplete() {
    let (running, endpoints) = start_gateway(Vec::new(), breaks_off_inside_an_event).await;
    let got = send_request(&running, "POST", "/stream/x")
        .await
        .expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 1);
}

/// Guards against an endpoint that keeps working for a client that has disconnected, because the
/// gateway notices the disconnect only with the next chunk.
#[tokio::test]
async fn a_client_disconnect_closes_the_endpoint_s_connection_of_a_silent_stream() {
    fn silent(_: usize) -> Vec<Action> {
        vec![
            stream_head(),
            event(1),
            Action::Wait(Duration::from_secs(9)),
        ]
    }
    let (running, endpoints) = start_gateway(Vec::new(), silent).await;
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/stream/x", "a1", "", ""))
        .await;
    client.read_until("piece 1").await;
    drop(client);
    let closed = async {
        while endpoints
            .iter()
            .all(|endpoint| *endpoint.abandoned.lock().unwrap() == 0)
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_millis(500), closed).await;
    assert!(
        closed.is_ok(),
        "the endpoint's connection is closed at once"
    );
}

/// Guards against a server error that is forwarded for a stream that may run elsewhere.
#[tokio::test]
async fn a_resumable_stream_is_retried_elsewhere_after_a_server_error() {
    static REQUESTS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    fn script(_: usize) -> Vec<Action> {
        match REQUESTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 => vec![answer("500 No", "x")],
            _ => vec![stream_head(), event(1), last_chunk()],
        }
    }
    let (running, endpoints) = start_gateway(Vec::new(), script).await;
    let got = send_request(&running, "POST", "/resume/x")
        .await
        .expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(runs(&endpoints), 2);
}

fn ends_inside_an_event_without_a_length(_: usize) -> Vec<Action> {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n\r\n\
                id: 1\ndata: piece 1\n\nid: 2\nda";
    vec![Action::Send(text.into()), Action::Close]
}

/// Guards against a stream that is taken for complete because its body has no length, although its
/// connection ended inside an event.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_ends_incomplete() {
    let (running, endpoints) =
        start_gateway(Vec::new(), ends_inside_an_event_without_a_length).await;
    let got = send_request(&running, "POST", "/stream/x")
        .await
        .expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 1);
    let got = send_request(&running, "POST", "/resume/x")
        .await
        .expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 3, "it was resumed once");
}

/// Guards against repeated requests to a replaced endpoint. An endpoint restarts at its address under
/// another id, and answers requests for the old id with "misdirected" and "not executed". When that
/// counted as full, the idle old endpoint was selected first for every request, until the retry
/// budget was empty.
#[tokio::test]
async fn a_replaced_endpoint_does_not_get_every_request() {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let misdirected = "HTTP/1.1 421 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let replaced = Endpoint::start(move |_| vec![Action::Send(misdirected.to_owned())]).await;
    let healthy = Endpoint::start(|_| answer_ok()).await;
    for at in 0..3 {
        source.publish_endpoint(&format!("old-{at}"), "plain", replaced.address);
    }
    // In another data centre, so that the old ids are preferred.
    source.publish_endpoint_in("dc-2", "sound", "plain", healthy.address);
    let running = start(source).await;
    for _ in 0..12 {
        let got = send_request(&running, "GET", "/often/x")
            .await
            .expect("an answer");
        assert_eq!(got.status, 200);
    }
    assert_eq!(healthy.request_count(), 12);
    assert!(
        replaced.request_count() <= 3,
        "{}: each is ejected",
        replaced.request_count()
    );
}

/// Guards against a healthy endpoint that counts as failing, and a request that runs again, because
/// its answer is larger than what the daemon buffers.
#[tokio::test]
async fn a_large_plain_answer_is_forwarded_whole() {
    let body = "x".repeat(700_000);
    let (running, endpoints) = start_gateway(vec![answer("200 OK", &body)], unused_model).await;
    for path in ["/once/x", "/often/x"] {
        let got = send_request(&running, "GET", path).await;
        let got = got.expect("an answer");
        assert_eq!((got.status, got.body.len()), (200, body.len()), "{path}");
    }
    assert_eq!(runs(&endpoints), 2);
    let directory = running.gateway.control.directory();
    let service = directory.service(&"plain".into()).expect("two endpoints");
    let now = running.gateway.clock.now();
    for endpoint in &service.all {
        let health = endpoint.health.snapshot(now);
        assert_eq!(health.failure_share, 0.0);
    }
}

//! What becomes of a request, for each thing that an endpoint or a client can do.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use std::time::Duration;
use support::client::{Client, Got, request};
use support::endpoint::{Act, Endpoint, answer, chunk, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{Running, start};

/// A gateway before two plain endpoints and two model endpoints of one script each.
async fn stage(plain: Vec<Act>, model: fn(usize) -> Vec<Act>) -> (Running, [Endpoint; 4]) {
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
        stream_route("stream", false, 1),
        stream_route("resume", true, 2),
    ];
    source.configure(1, routes, &[KEY]);
    let again = plain.clone();
    let endpoints = [
        Endpoint::start(move |_| plain.clone()).await,
        Endpoint::start(move |_| again.clone()).await,
        Endpoint::start(model).await,
        Endpoint::start(model).await,
    ];
    for (at, endpoint) in endpoints.iter().enumerate() {
        let service = if at < 2 { "plain" } else { "model" };
        source.endpoint(&format!("e-{at}"), service, endpoint.address);
    }
    (start(source).await, endpoints)
}

fn runs(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::count).sum()
}

async fn ask(running: &Running, method: &str, path: &str) -> Option<Got> {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request(method, path, "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await
}

fn ok() -> Vec<Act> {
    vec![answer("200 OK", "fine")]
}

fn no_model(_: usize) -> Vec<Act> {
    Vec::new()
}

#[tokio::test]
async fn outcomes_of_plain_requests() {
    // What the endpoints do, status and runs for one that runs at most once, and for one that
    // may be repeated.
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned();
    let crossed = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nno".to_owned();
    let short = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 9\r\n\r\nfine".to_owned();
    let garbage = "SMTP ready\r\n\r\n".to_owned();
    type Ends = (u16, usize, u16, usize);
    let cases: Vec<(&str, Vec<Act>, Ends)> = vec![
        ("answers", ok(), (200, 1, 200, 1)),
        ("fails", vec![answer("500 No", "x")], (500, 1, 500, 2)),
        ("not found", vec![answer("404 No", "x")], (404, 1, 404, 1)),
        ("is full", vec![Act::Send(not_run)], (503, 2, 503, 2)),
        ("resets", vec![Act::Reset], (502, 1, 502, 2)),
        ("closes", vec![Act::Close], (502, 1, 502, 2)),
        ("crosses", vec![Act::Send(crossed)], (502, 1, 502, 2)),
        (
            "breaks off",
            vec![Act::Send(short), Act::Close],
            (502, 1, 502, 2),
        ),
        ("is no HTTP", vec![Act::Send(garbage)], (502, 1, 502, 2)),
        ("is silent", vec![Act::Hang], (504, 1, 504, 2)),
    ];
    for (what, acts, (once, once_runs, often, often_runs)) in cases {
        let (running, endpoints) = stage(acts.clone(), no_model).await;
        let got = ask(&running, "POST", "/once/x").await.expect(what);
        assert_eq!(
            (got.status, runs(&endpoints)),
            (once, once_runs),
            "{what}, once"
        );
        let (running, endpoints) = stage(acts, no_model).await;
        let got = ask(&running, "GET", "/often/x").await.expect(what);
        assert_eq!(
            (got.status, runs(&endpoints)),
            (often, often_runs),
            "{what}, often"
        );
    }
}

#[tokio::test]
async fn a_request_is_passed_on_as_it_came() {
    let (running, endpoints) = stage(ok(), no_model).await;
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
    let seen: Vec<_> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.seen.lock().unwrap().clone())
        .collect();
    let [seen] = seen.as_slice() else {
        panic!("one request arrived: {seen:?}");
    };
    assert!(
        seen.head.starts_with(&format!("POST {path} HTTP/1.1")),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, b"body bytes");
    assert_eq!(seen.header("x-customer").as_deref(), Some("customer-1"));
    assert!(
        seen.header("x-endpoint")
            .is_some_and(|name| name.starts_with("e-"))
    );
    assert_eq!(seen.header("x-other").as_deref(), Some("kept"));
    assert_eq!(seen.header("host").as_deref(), Some("host.example"));
    for gone in ["authorization", "x-hop", "connection"] {
        assert_eq!(seen.header(gone), None, "{gone}");
    }
    let left: u64 = seen.header("x-deadline").unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&left), "{left}");
}

#[tokio::test]
async fn bad_requests_get_a_typed_answer_at_once() {
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
    let (running, endpoints) = stage(ok(), no_model).await;
    for (what, text, status, code) in cases {
        let mut client = Client::connect(running.address).await;
        client.send(&text).await;
        let got = client.answer().await.expect(what);
        assert_eq!(got.status, status, "{what}");
        assert!(got.body.contains(code), "{what}: {}", got.body);
    }
    assert_eq!(runs(&endpoints), 0);
}

#[tokio::test]
async fn a_smuggled_request_never_arrives() {
    let cases = [
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id: a1\r\nauthorization: Token key-1\r\n\
         content-length: 4\r\ncontent-length: 40\r\n\r\nabcd",
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id: a1\r\nauthorization: Token key-1\r\n\
         content-length: abc\r\n\r\nabcd",
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nx-id : a1\r\n\r\n",
        "GET /once/x HTTP/1.1\r\nhost host.example\r\n\r\n",
    ];
    for text in cases {
        let (running, endpoints) = stage(ok(), no_model).await;
        let mut client = Client::connect(running.address).await;
        client.send(text).await;
        let got = client.answer().await;
        assert!(got.is_none_or(|got| got.status == 400), "{text}");
        assert_eq!(runs(&endpoints), 0, "{text}");
    }
}

#[tokio::test]
async fn a_surplus_answer_reaches_nobody() {
    let twice = vec![answer("200 OK", "fine"), answer("200 OK", "surplus")];
    let (running, _) = stage(twice, no_model).await;
    for at in 0..6 {
        let mut client = Client::connect(running.address).await;
        let id = format!("a{at}");
        client.send(&request("GET", "/often/x", &id, "", "")).await;
        let got = client.answer().await.expect("an answer");
        assert_eq!(got.header("x-id"), Some(id.as_str()));
        assert_eq!(got.body, "fine");
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_passed_on_whole() {
    let unframed = "HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nfine".to_owned();
    let (running, _) = stage(vec![Act::Send(unframed), Act::Close], no_model).await;
    let got = ask(&running, "POST", "/once/x").await.expect("an answer");
    assert_eq!(
        (got.status, got.body.as_str(), got.is_whole),
        (200, "fine", true)
    );
}

fn breaks_off_inside_an_event(at: usize) -> Vec<Act> {
    let whole = |from: u64| (from..=4).map(event).chain([last_chunk()]);
    match at {
        0 => vec![stream_head(), event(1), chunk("id: 2\nda"), Act::Reset],
        _ => [stream_head()].into_iter().chain(whole(2)).collect(),
    }
}

#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_endpoint() {
    // Each endpoint breaks off the first request that it gets; the next one goes elsewhere.
    static FIRST: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    fn script(_: usize) -> Vec<Act> {
        breaks_off_inside_an_event(FIRST.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }
    let (running, endpoints) = stage(Vec::new(), script).await;
    let got = ask(&running, "POST", "/resume/x").await.expect("an answer");
    let expected: String = (1..=4)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, expected);
    assert_eq!(runs(&endpoints), 2);
    let taken_up = endpoints.iter().any(|endpoint| {
        let seen = endpoint.seen.lock().unwrap();
        seen.iter()
            .any(|seen| seen.header("last-event-id").as_deref() == Some("1"))
    });
    assert!(taken_up);
}

#[tokio::test]
async fn a_stream_that_can_t_be_taken_up_never_looks_complete() {
    let (running, endpoints) = stage(Vec::new(), breaks_off_inside_an_event).await;
    let got = ask(&running, "POST", "/stream/x").await.expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 1);
}

#[tokio::test]
async fn a_client_that_leaves_a_silent_stream_frees_its_endpoint() {
    fn silent(_: usize) -> Vec<Act> {
        vec![stream_head(), event(1), Act::Wait(Duration::from_secs(9))]
    }
    let (running, endpoints) = stage(Vec::new(), silent).await;
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/stream/x", "a1", "", ""))
        .await;
    client.read_until("piece 1").await;
    drop(client);
    let left = async {
        while endpoints
            .iter()
            .all(|endpoint| *endpoint.abandoned.lock().unwrap() == 0)
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let left = tokio::time::timeout(Duration::from_millis(500), left).await;
    assert!(left.is_ok(), "the endpoint's connection is closed at once");
}

#[tokio::test]
async fn a_resumable_stream_whose_endpoint_fails_is_asked_for_elsewhere() {
    static FIRST: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    fn script(_: usize) -> Vec<Act> {
        match FIRST.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 => vec![answer("500 No", "x")],
            _ => vec![stream_head(), event(1), last_chunk()],
        }
    }
    let (running, endpoints) = stage(Vec::new(), script).await;
    let got = ask(&running, "POST", "/resume/x").await.expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(runs(&endpoints), 2);
}

fn ends_inside_an_event_without_a_length(_: usize) -> Vec<Act> {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\r\n\
                id: 1\ndata: piece 1\n\nid: 2\nda";
    vec![Act::Send(text.into()), Act::Close]
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    let (running, endpoints) = stage(Vec::new(), ends_inside_an_event_without_a_length).await;
    let got = ask(&running, "POST", "/stream/x").await.expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 1);
    let got = ask(&running, "POST", "/resume/x").await.expect("an answer");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(runs(&endpoints), 3, "it was taken up once");
}

/// On solcata, a day of our own (`engines-back-behind-a-cut.toml`, `--vary --seed 909757026075`): an endpoint came back at
/// its address under another id, and said of each request for the old one that it isn't that one, and has not run
/// it. Counted as full, and idle, the old one got every request first, until no retries were left.
#[tokio::test]
async fn an_endpoint_that_is_another_one_by_now_isnt_asked_by_each_request() {
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let misdirected = "HTTP/1.1 421 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let other = Endpoint::start(move |_| vec![Act::Send(misdirected.to_owned())]).await;
    let sound = Endpoint::start(|_| ok()).await;
    for at in 0..3 {
        source.endpoint(&format!("old-{at}"), "plain", other.address);
    }
    // Farther away, so that the others go before it.
    source.endpoint_in("dc-2", "sound", "plain", sound.address);
    let running = start(source).await;
    for _ in 0..12 {
        let got = ask(&running, "GET", "/often/x").await.expect("an answer");
        assert_eq!(got.status, 200);
    }
    assert_eq!(sound.count(), 12);
    assert!(other.count() <= 3, "{}: each is ejected", other.count());
}

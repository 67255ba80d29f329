//! Bytes of an endpoint that are no answer and don't end, in a head, in a body or behind an answer.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::Route;
use bridgevane_types::DurationMs;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{
    Action, Endpoint, ReceivedRequest, answer, chunk, event, last_chunk, stream_head,
};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{RunningGateway, start};
use tokio::time::{sleep, timeout};

/// The time that routes hold a request; also their target, so that hedging comes too late to help.
const ROUTE_TIMEOUT: DurationMs = DurationMs(60_000);
/// Until when a request must have its final answer: before a second endpoint is asked for silence,
/// and far below the timeout.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// The most that a daemon may read of a flood until it closes the connection.
const MAX_FLOOD_BYTES: usize = 1 << 20;

/// A flood: the bytes before it, and those that are repeated.
#[derive(Clone, Copy, Debug)]
struct Flood {
    before: &'static str,
    repeated: &'static str,
}

const fn flood(before: &'static str, repeated: &'static str) -> Flood {
    Flood { before, repeated }
}

impl Flood {
    fn actions(self) -> Vec<Action> {
        vec![
            Action::Send(self.before.to_owned()),
            Action::Flood(self.repeated),
        ]
    }
}

/// Floods in a head: no answer ever begins.
const IN_HEADS: [Flood; 10] = [
    flood("", "HTTP/1.1 100 Continue\r\n\r\n"),
    flood("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    flood("", "HTTP/1.1 102 Processing\r\nx-id: a1\r\n\r\n"),
    flood("HTTP/1.1 200 ", "x"),
    flood(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\n",
        "x-a: b\r\n",
    ),
    flood("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nx-a: ", "b"),
    flood("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nx-a:", " "),
    flood("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\n", "n"),
    flood("", "\0no answer"),
    flood("", "\r\n"),
];

/// Floods between the parts of a chunked body: no further byte of the answer follows.
const IN_BODIES: [Flood; 6] = [
    flood("", "0"),
    flood("4 ", " "),
    flood("4;", "x"),
    flood("4;x\r\nfine\r\n", "0"),
    flood("4\r\nfine\r\n0\r\n", "x-a: b\r\n"),
    flood("4\r\nfine\r\n0\r\nx-a: ", "b"),
];

/// Floods behind a whole answer.
const BEHIND_ANSWERS: [Flood; 5] = [
    flood(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nfine",
        "x",
    ),
    flood(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nfine",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ),
    flood(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-sign: s\r\ncontent-length: 0\r\n\r\n",
    ),
    flood(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "\r\n",
    ),
    flood(
        "HTTP/1.1 204 No Content\r\nx-id: {id}\r\nx-sign: s\r\n\r\n",
        "x",
    ),
];

/// A gateway before three endpoints of each service, of which the first to get a request follows a
/// script for it; every other request is answered.
struct Deployment {
    running: RunningGateway,
    endpoints: Vec<Endpoint>,
}

impl Deployment {
    /// Starts with a route of each kind.
    async fn start(first: Vec<Action>, others: Vec<Action>) -> Self {
        let routes = [
            stream_route("stream", false, 1),
            stream_route("resume", true, 2),
            plain_route("once", AtMostOnce, 1),
            plain_route("often", Idempotent, 2),
        ];
        let routes = routes.into_iter().map(|route| Route {
            timeout_ms: ROUTE_TIMEOUT,
            target_ms: ROUTE_TIMEOUT,
            ..route
        });
        Self::start_with(routes.collect(), first, others).await
    }

    async fn start_with(routes: Vec<Route>, first: Vec<Action>, others: Vec<Action>) -> Self {
        let source = ScriptedSource::new();
        source.publish_configuration(1, routes, &[KEY]);
        let requests = Arc::new(AtomicUsize::new(0));
        let mut endpoints = Vec::new();
        for at in 0..3 {
            let (requests, first, others) = (requests.clone(), first.clone(), others.clone());
            let script = move |_, _: &ReceivedRequest| match requests.fetch_add(1, Ordering::AcqRel)
            {
                0 => first.clone(),
                _ => others.clone(),
            };
            let endpoint = Endpoint::start_by_request(script).await;
            source.publish_endpoint(&format!("e-{at}"), "model", endpoint.address);
            source.publish_endpoint(&format!("p-{at}"), "plain", endpoint.address);
            endpoints.push(endpoint);
        }
        Self {
            running: start(source).await,
            endpoints,
        }
    }

    /// Sends a request and returns its answer, which must arrive soon.
    async fn ask(&self, method: &str, path: &str) -> ClientAnswer {
        let mut client = Client::connect(self.running.address).await;
        let text = request(method, path, "a1", "x-deadline: 60000\r\n", "");
        let sent = Instant::now();
        client.send(&text).await;
        let got = client.answer().await.expect("an answer");
        let elapsed = sent.elapsed();
        assert!(elapsed < ANSWER_LIMIT, "{} after {elapsed:?}", got.status);
        got
    }

    fn runs(&self) -> usize {
        self.endpoints.iter().map(Endpoint::request_count).sum()
    }

    /// Waits until the connection of the flood was closed, and checks how much of it was read.
    async fn check_flood_ended(&self) {
        let ended = async {
            loop {
                for endpoint in &self.endpoints {
                    if let Some(bytes) = endpoint.floods.lock().unwrap().first() {
                        return *bytes;
                    }
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        let bytes = timeout(ANSWER_LIMIT, ended).await;
        let bytes = bytes.expect("the connection is closed");
        assert!(bytes < MAX_FLOOD_BYTES, "{bytes} bytes were taken");
    }
}

/// Returns the head of a chunked answer with the bytes that follow it.
fn chunked(after: &str) -> Action {
    Action::Send(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\ntransfer-encoding: chunked\r\n\r\n{after}"
    ))
}

/// Returns the actions of each flood in a plain answer, before that answer is complete.
fn unanswered() -> impl Iterator<Item = (Flood, Vec<Action>)> {
    let in_heads = IN_HEADS.map(|flood| (flood, flood.actions()));
    let in_bodies = IN_BODIES.map(|flood| {
        let actions = vec![chunked(flood.before), Action::Flood(flood.repeated)];
        (flood, actions)
    });
    in_heads.into_iter().chain(in_bodies)
}

/// Runs a check for each flood, and names all floods that fail it.
async fn check_each<F: Future<Output = ()> + Send + 'static>(
    floods: impl Iterator<Item = (Flood, Vec<Action>)>,
    check: impl Fn(Vec<Action>) -> F,
) {
    let mut failed = Vec::new();
    for (flood, actions) in floods {
        if let Err(error) = tokio::spawn(check(actions)).await {
            failed.push(format!("{flood:?}: {error}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// An endpoint sent interim answers, or digits of a chunk's size, without end: the daemon read them at
/// full speed until the deadline, and the caller got 504 although other endpoints were free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_run_again_is_served_elsewhere() {
    check_each(unanswered(), |actions| async {
        let deployment = Deployment::start(actions, vec![answer("200 OK", "fine")]).await;
        let got = deployment.ask("GET", "/often/x").await;
        assert_eq!((got.status, got.body.as_str()), (200, "fine"));
        assert_eq!(deployment.runs(), 2);
        deployment.check_flood_ended().await;
    })
    .await;
}

/// The same for a request that may run once: its caller waited for the deadline to learn that the
/// outcome is unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_run_once_gets_its_final_answer_soon_and_runs_once() {
    check_each(unanswered(), |actions| async {
        let deployment = Deployment::start(actions, vec![answer("200 OK", "fine")]).await;
        let got = deployment.ask("POST", "/once/x").await;
        assert_eq!((got.status, got.is_whole), (502, true));
        assert_eq!(deployment.runs(), 1);
        deployment.check_flood_ended().await;
    })
    .await;
}

/// Bytes behind a whole answer belong to no request: the answer stands, and the connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_before_a_flood_stands_and_its_connection_is_closed() {
    let floods = BEHIND_ANSWERS.map(|flood| (flood, flood.actions()));
    check_each(floods.into_iter(), |actions| async {
        let deployment = Deployment::start(actions, vec![answer("200 OK", "next")]).await;
        for runs in 1..=4 {
            let mut client = Client::connect(deployment.running.address).await;
            let text = request("POST", "/once/x", "a1", "", "");
            client.send(&text).await;
            let head = client.head().await.expect("a head");
            assert!(head.contains(" 200 ") || head.contains(" 204 "), "{head}");
            assert_eq!(deployment.runs(), runs);
            // A request on the connection before its first surplus byte arrived would be lost with it.
            deployment.check_flood_ended().await;
        }
    })
    .await;
}

/// Returns the actions of each flood in a stream, after its first event.
fn after_an_event<'a>(
    floods: impl Iterator<Item = &'a Flood>,
) -> impl Iterator<Item = (Flood, Vec<Action>)> {
    floods.map(|flood| {
        let mut actions = vec![stream_head(), event(1)];
        actions.extend(flood.actions());
        (*flood, actions)
    })
}

/// A stream that another endpoint may go on with did so at the deadline, or not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_may_be_resumed_goes_on_elsewhere() {
    check_each(after_an_event(IN_BODIES[..4].iter()), |first| async {
        let others = vec![stream_head(), event(2), last_chunk()];
        let deployment = Deployment::start(first, others).await;
        let got = deployment.ask("POST", "/resume/x").await;
        assert_eq!((got.status, got.is_whole), (200, true));
        let has_both = got.body.contains("piece 1") && got.body.contains("piece 2");
        assert!(has_both, "{}", got.body);
        assert_eq!(deployment.runs(), 2);
        deployment.check_flood_ended().await;
    })
    .await;
}

/// An endpoint that sends an interim answer now and then looked busy, or its bytes added up, so that its
/// silence was never noticed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interim_answers_that_trickle_do_not_hide_silence() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    let trickle = (0..400).flat_map(|_| {
        [
            Action::Send(interim.to_owned()),
            Action::Wait(Duration::from_millis(50)),
        ]
    });
    let routes = vec![plain_route("often", Idempotent, 2)];
    let others = vec![answer("200 OK", "fine")];
    let deployment = Deployment::start_with(routes, trickle.collect(), others).await;
    let got = deployment.ask("GET", "/often/x").await;
    assert_eq!((got.status, got.body.as_str()), (200, "fine"));
    assert_eq!(deployment.runs(), 2);
}

/// A bound on bytes that are no answer must not meet sound ones: heads as large as the buffer, behind
/// interim answers; bodies in tiny chunks, with extensions and pauses; large ones; many on one
/// connection; a client that reads late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_answers_of_any_form_arrive_whole() {
    let long_head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\nx-a: {}\r\ncontent-length: 4\r\n\r\nfine",
        "a".repeat(30_000)
    );
    let interims = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(100);
    let tiny = "1\r\nx\r\n".repeat(30_000);
    let slow_tiny = [
        Action::Send("1;e=1\r\nx\r\n".repeat(500)),
        Action::Wait(Duration::from_millis(60)),
    ];
    let slow = slow_tiny.iter().cycle().take(20).cloned();
    let end = || Action::Send("0\r\nx-trailer: t\r\n\r\n".to_owned());
    let large = "y".repeat(1_000_000);
    let cases = [
        (4, vec![Action::Send(long_head.clone())]),
        (4, vec![Action::Send(format!("{interims}{long_head}"))]),
        (30_000, vec![chunked(&tiny), end()]),
        (
            5_000,
            [chunked("")]
                .into_iter()
                .chain(slow)
                .chain([end()])
                .collect(),
        ),
        (large.len(), vec![answer("200 OK", &large)]),
        (
            large.len(),
            vec![chunked(&format!("{:x}\r\n{large}\r\n", large.len())), end()],
        ),
    ];
    for (length, actions) in cases {
        for path in ["/once/x", "/stream/x"] {
            let deployment = Deployment::start(actions.clone(), actions.clone()).await;
            let mut client = Client::connect(deployment.running.address).await;
            for late in [Duration::ZERO, Duration::from_millis(300), Duration::ZERO] {
                let text = request("POST", path, "a1", "x-deadline: 60000\r\n", "");
                client.send(&text).await;
                sleep(late).await;
                let got = client.answer().await.expect("an answer");
                let got = (got.status, got.is_whole, got.body.len());
                assert_eq!(got, (200, true, length), "{path}");
            }
            assert_eq!(deployment.runs(), 3);
        }
    }
}

/// A stream that is split into events is buffered until each is whole: an event without end filled the
/// memory, and each part of it was searched from its start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_elsewhere_after_an_event_without_end() {
    let floods = [
        flood("", "a\r\n: no event\r\n"),
        flood("", "8\r\ndata: x\n\r\n"),
        flood("", "4\r\nabcd\r\n"),
    ];
    check_each(after_an_event(floods.iter()), |first| async {
        let others = vec![stream_head(), event(2), last_chunk()];
        let deployment = Deployment::start(first, others).await;
        let got = deployment.ask("POST", "/resume/x").await;
        assert_eq!((got.status, got.is_whole), (200, true));
        let has_both = got.body.contains("piece 1") && got.body.contains("piece 2");
        assert!(has_both, "{}", got.body);
        assert_eq!(deployment.runs(), 2);
        deployment.check_flood_ended().await;
    })
    .await;
}

/// Events that were forwarded before are dropped: an endpoint that repeats one without end was read at
/// full speed until the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_elsewhere_after_an_event_that_is_repeated_without_end() {
    let floods = [flood("", "7\r\nid: 1\n\n\r\n")];
    check_each(after_an_event(floods.iter()), |first| async {
        let others = vec![stream_head(), event(2), last_chunk()];
        let deployment = Deployment::start(first, others).await;
        let got = deployment.ask("POST", "/resume/x").await;
        assert_eq!((got.status, got.is_whole), (200, true));
        assert!(got.body.contains("piece 2"), "{}", got.body);
        assert_eq!(deployment.runs(), 2);
        deployment.check_flood_ended().await;
    })
    .await;
}

/// An endpoint that resumes a stream from its start repeats all of it: that is no flood.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_repeated_from_its_start_is_resumed() {
    let long = |id| chunk(&format!("id: {id}\ndata: {}\n\n", "l".repeat(20_000)));
    let first: Vec<Action> = [stream_head()]
        .into_iter()
        .chain((1..=40).map(long))
        .collect();
    let mut others = first.clone();
    others.extend([long(41), last_chunk()]);
    let broken = first.into_iter().chain([Action::Close]).collect();
    let deployment = Deployment::start(broken, others).await;
    let got = deployment.ask("POST", "/resume/x").await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body.matches("id: ").count(), 41);
    assert_eq!(deployment.runs(), 2);
}

/// Events that arrive in parts of any size must be found at the same ends as in one part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_in_parts_of_any_size_arrive_whole() {
    let long = "l".repeat(20_000);
    let text = format!("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: {long}\n\n: c\n\n");
    for size in [1, 2, 3, 7, 1_000, text.len()] {
        let parts: Vec<&[u8]> = text.as_bytes().chunks(size).collect();
        let chunks: String = (parts.iter())
            .map(|part| format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part)))
            .collect();
        let actions = vec![stream_head(), Action::Send(chunks), last_chunk()];
        let deployment = Deployment::start(actions.clone(), actions).await;
        let got = deployment.ask("POST", "/resume/x").await;
        assert_eq!((got.status, got.is_whole), (200, true), "{size}");
        assert!(got.body == text, "{size}: {} bytes", got.body.len());
    }
}

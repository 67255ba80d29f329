//! Tests that a daemon which reaches no endpoint of a service serves its requests through another
//! daemon. Each daemon has its own control source, so that they have different addresses for the
//! same endpoints: those of a daemon that is cut off lead nowhere.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::unreachable::UnreachableAddress;
use support::{RunningGateway, start_daemon};
use tokio::net::TcpListener;

/// The deadline of the requests: a daemon that waits for two connections misses it.
const DEADLINE: &str = "x-deadline: 600\r\n";

/// Publishes three endpoints of each service at these addresses.
fn source_of(plain: &[SocketAddr], model: &[SocketAddr]) -> ScriptedSource {
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
        stream_route("stream", true, 2),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    for (service, addresses) in [("plain", plain), ("model", model)] {
        for (at, address) in addresses.iter().enumerate() {
            let id = format!("{service}-{at}");
            source.publish_endpoint_in(&format!("dc-{at}"), &id, service, *address);
        }
    }
    source
}

fn addresses(endpoints: &[Endpoint]) -> Vec<SocketAddr> {
    endpoints.iter().map(|each| each.address).collect()
}

async fn start_endpoints(
    script: impl Fn(usize) -> Vec<Action> + Copy + Send + Sync + 'static,
) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..3 {
        endpoints.push(Endpoint::start(script).await);
    }
    endpoints
}

fn fine() -> Vec<Action> {
    vec![answer("200 OK", "fine")]
}

fn received(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::request_count).sum()
}

/// Starts daemons that know each other, one for each source.
async fn start_fleet(sources: &[ScriptedSource]) -> Vec<RunningGateway> {
    start_fleet_beside(sources, &[]).await
}

/// Starts daemons that know each other, one for each source, and `others`.
async fn start_fleet_beside(
    sources: &[ScriptedSource],
    others: &[SocketAddr],
) -> Vec<RunningGateway> {
    let mut listeners = Vec::new();
    for _ in sources {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let seeds: Vec<SocketAddr> = listeners
        .iter()
        .map(|each| each.local_addr().unwrap())
        .chain(others.iter().copied())
        .collect();
    let mut fleet = Vec::new();
    for (at, (source, listener)) in sources.iter().zip(listeners).enumerate() {
        fleet.push(start_daemon(&format!("vm-{at}"), source, listener, &seeds).await);
    }
    fleet
}

async fn ask(daemon: &RunningGateway, method: &str, path: &str, id: &str) -> ClientAnswer {
    let mut client = Client::connect(daemon.address).await;
    client.send(&request(method, path, id, DEADLINE, "")).await;
    client.answer().await.expect("an answer")
}

/// Sends `count` requests one after the other; returns how many got status 200.
async fn served(daemon: &RunningGateway, method: &str, path: &str, count: usize) -> usize {
    let mut served = 0;
    for at in 0..count {
        let answer = ask(daemon, method, path, &format!("a{at}")).await;
        served += usize::from(answer.status == 200 && answer.header("x-sign") == Some("s"));
    }
    served
}

/// Guards against a daemon that loses all endpoints while clients and other daemons reach it, and
/// refuses every request: each endpoint is ejected by itself, and nothing else could serve.
#[tokio::test]
async fn a_daemon_that_reaches_no_endpoint_serves_through_another_daemon() {
    let endpoints = start_endpoints(|_| fine()).await;
    let dead: Vec<_> = (0..3).map(|_| UnreachableAddress::refusing()).collect();
    let dead: Vec<SocketAddr> = dead.iter().map(|each| each.address).collect();
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&dead, &[]), healthy]).await;
    assert_eq!(served(&fleet[0], "POST", "/once/x", 10).await, 10);
    assert_eq!(received(&endpoints), 10);
}

/// Guards against a first request that spends its time on connections which hang, one after the
/// other: the daemon had no earlier request from which to learn that it is cut off.
#[tokio::test]
async fn the_first_request_of_an_idle_daemon_whose_connections_hang_is_served() {
    let endpoints = start_endpoints(|_| fine()).await;
    let hanging: Vec<_> = (0..3).map(|_| UnreachableAddress::hanging()).collect();
    let hanging: Vec<SocketAddr> = hanging.iter().map(|each| each.address).collect();
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&hanging, &[]), healthy]).await;
    assert_eq!(served(&fleet[0], "POST", "/once/x", 3).await, 3);
}

/// Guards against forwarding that works for whole answers only: a stream must arrive as it is
/// written, with the head of its endpoint.
#[tokio::test]
async fn streams_are_forwarded_as_they_arrive() {
    let engines = start_endpoints(|_| {
        vec![
            stream_head(),
            event(0),
            Action::Wait(Duration::from_millis(150)),
            event(1),
            last_chunk(),
        ]
    })
    .await;
    let dead = UnreachableAddress::refusing();
    let cut_off = source_of(&[], &[dead.address; 3]);
    let fleet = start_fleet(&[cut_off, source_of(&[], &addresses(&engines))]).await;
    let mut client = Client::connect(fleet[0].address).await;
    client
        .send(&request("POST", "/stream/x", "s1", "", ""))
        .await;
    client.read_until("piece 0").await;
    let first_at = Instant::now();
    client.read_until("piece 1").await;
    assert!(
        first_at.elapsed() > Duration::from_millis(100),
        "the events are not held back"
    );
}

/// Guards against daemons that send a request back and forth, or hold it until its deadline, when
/// none of them reaches an endpoint.
#[tokio::test]
async fn a_request_is_refused_in_time_if_no_daemon_reaches_an_endpoint() {
    let dead = UnreachableAddress::refusing();
    let cut_off = || source_of(&[dead.address; 3], &[]);
    let fleet = start_fleet(&[cut_off(), cut_off(), cut_off()]).await;
    for at in 0..10 {
        let asked_at = Instant::now();
        let answer = ask(&fleet[at % 3], "POST", "/once/x", "a1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert!(answer.header("bridgevane-refusal").is_none());
        assert!(asked_at.elapsed() < Duration::from_millis(550));
    }
}

/// Guards against requests that are lost at the other daemons of the own data centre, which are cut
/// off, too, while one elsewhere reaches the endpoints.
#[tokio::test]
async fn a_daemon_that_is_cut_off_too_is_passed_over() {
    let endpoints = start_endpoints(|_| fine()).await;
    let dead = UnreachableAddress::refusing();
    let cut_off = || source_of(&[dead.address; 3], &[]);
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[cut_off(), cut_off(), healthy]).await;
    assert_eq!(served(&fleet[0], "POST", "/once/x", 10).await, 10);
    assert_eq!(served(&fleet[1], "POST", "/once/x", 10).await, 10);
}

/// Guards against a daemon that goes on forwarding after the cut has healed, or whose ejections from
/// the time of the cut keep its endpoints unused.
#[tokio::test]
async fn a_daemon_sends_to_its_endpoints_again_within_a_second_of_the_end_of_the_cut() {
    let endpoints = start_endpoints(|_| fine()).await;
    let dead: Vec<_> = (0..3).map(|_| UnreachableAddress::refusing()).collect();
    let dead_addresses: Vec<SocketAddr> = dead.iter().map(|each| each.address).collect();
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&dead_addresses, &[]), healthy]).await;
    assert_eq!(served(&fleet[0], "POST", "/once/x", 20).await, 20);
    let healed: Vec<Endpoint> = dead
        .into_iter()
        .map(|each| Endpoint::start_at(each.heal(), |_, _| fine()))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let forwarded = received(&endpoints);
    assert_eq!(served(&fleet[0], "POST", "/once/x", 10).await, 10);
    assert_eq!(received(&endpoints), forwarded);
    assert_eq!(received(&healed), 10);
}

/// Guards against a request that may run once and is sent again because its connection broke behind
/// the other daemon, or is reported as not run.
#[tokio::test]
async fn a_request_that_may_run_once_runs_once_if_its_answer_is_lost_on_the_way() {
    let endpoints = start_endpoints(|_| vec![Action::Close]).await;
    let dead = UnreachableAddress::refusing();
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&[dead.address; 3], &[]), healthy]).await;
    assert_eq!(ask(&fleet[0], "POST", "/once/x", "a1").await.status, 502);
    assert_eq!(received(&endpoints), 1);
}

/// Guards against work that goes on behind the other daemon after the client has left.
#[tokio::test]
async fn a_forwarded_request_is_cancelled_when_its_client_leaves() {
    let engine = Endpoint::start(|_| vec![stream_head(), event(0), Action::Hang]).await;
    let dead = UnreachableAddress::refusing();
    let fleet = start_fleet(&[
        source_of(&[], &[dead.address]),
        source_of(&[], &[engine.address]),
    ])
    .await;
    let mut client = Client::connect(fleet[0].address).await;
    client
        .send(&request("POST", "/stream/x", "s1", "", ""))
        .await;
    client.read_until("piece 0").await;
    drop(client);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(*engine.abandoned.lock().unwrap(), 1);
}

/// Guards against headers of daemons that reach an endpoint or the client, and against a client that
/// sends them: it could have its request counted as one that has run.
#[tokio::test]
async fn headers_between_daemons_are_not_taken_from_a_client_and_reach_no_endpoint() {
    let endpoints = start_endpoints(|_| fine()).await;
    let dead = UnreachableAddress::refusing();
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&[dead.address; 3], &[]), healthy]).await;
    let extra = format!("{DEADLINE}bridgevane-runs: 7\r\n");
    for daemon in &fleet {
        let mut client = Client::connect(daemon.address).await;
        client
            .send(&request("GET", "/often/x", "a1", &extra, ""))
            .await;
        let answer = client.answer().await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(!answer.head.contains("bridgevane-"));
    }
    for endpoint in &endpoints {
        for request in endpoint.received.lock().unwrap().iter() {
            assert!(!request.head.contains("bridgevane-"));
            assert!(!request.head.contains("key-1"));
        }
    }
}

/// Guards against an endpoint that is down while others serve being taken for a cut: its requests
/// belong to another endpoint, without a hop.
#[tokio::test]
async fn nothing_is_forwarded_while_an_endpoint_can_be_reached() {
    let endpoints = start_endpoints(|_| fine()).await;
    let unused = start_endpoints(|_| fine()).await;
    let dead = UnreachableAddress::refusing();
    let mut partly_dead = addresses(&endpoints);
    partly_dead[1] = dead.address;
    partly_dead[2] = dead.address;
    let healthy = source_of(&addresses(&unused), &[]);
    let fleet = start_fleet(&[source_of(&partly_dead, &[]), healthy]).await;
    assert_eq!(served(&fleet[0], "POST", "/once/x", 30).await, 30);
    assert!(
        received(&unused) <= 1,
        "{} were forwarded",
        received(&unused)
    );
}

/// Guards against requests that are quarantined as crashing endpoints because a daemon was cut off
/// under them: all its connections are reset at once, and all endpoints refuse new ones.
#[tokio::test]
async fn a_cut_under_requests_does_not_count_as_endpoints_that_they_crash() {
    let endpoints = start_endpoints(|_| fine()).await;
    let lost = start_endpoints(|_| vec![Action::Hang]).await;
    let healthy = source_of(&addresses(&endpoints), &[]);
    let fleet = start_fleet(&[source_of(&addresses(&lost), &[]), healthy]).await;
    let mut clients = Vec::new();
    for at in 0..24 {
        let mut client = Client::connect(fleet[0].address).await;
        let id = format!("a{at}");
        client
            .send(&request("GET", "/often/x", &id, DEADLINE, ""))
            .await;
        clients.push(client);
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(lost.iter().all(|endpoint| endpoint.request_count() > 0));
    for endpoint in &lost {
        endpoint.crashed.cancel();
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(served(&fleet[0], "GET", "/often/x", 5).await, 5);
    assert_eq!(served(&fleet[1], "GET", "/often/x", 5).await, 5);
}

/// The number of fleets that a test starts: which daemon is asked first is drawn at random.
const ROUNDS: usize = 4;

/// Guards against a request that waits at a daemon which is cut off, too, and doesn't know it yet: it
/// had no request of its own from which to learn.
#[tokio::test]
async fn no_request_waits_at_idle_daemons_that_are_cut_off_and_do_not_know() {
    for _ in 0..ROUNDS {
        let endpoints = start_endpoints(|_| fine()).await;
        let hanging: Vec<_> = (0..3).map(|_| UnreachableAddress::hanging()).collect();
        let hanging: Vec<SocketAddr> = hanging.iter().map(|each| each.address).collect();
        let mut sources: Vec<_> = (0..5).map(|_| source_of(&hanging, &[])).collect();
        sources.push(source_of(&addresses(&endpoints), &[]));
        let fleet = start_fleet(&sources).await;
        let mut client = Client::connect(fleet[0].address).await;
        let extra = "x-deadline: 800\r\n";
        client
            .send(&request("POST", "/once/x", "a1", extra, ""))
            .await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
}

/// Guards against a request whose time is spent at daemons that accept connections and never answer,
/// because their processes are frozen.
#[tokio::test]
async fn frozen_daemons_do_not_hold_up_a_request() {
    for _ in 0..ROUNDS {
        let endpoints = start_endpoints(|_| fine()).await;
        let dead = UnreachableAddress::refusing();
        let mut frozen = Vec::new();
        for _ in 0..4 {
            frozen.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let frozen_addresses: Vec<SocketAddr> = frozen
            .iter()
            .map(|each| each.local_addr().unwrap())
            .collect();
        let healthy = source_of(&addresses(&endpoints), &[]);
        let sources = [source_of(&[dead.address; 3], &[]), healthy];
        let fleet = start_fleet_beside(&sources, &frozen_addresses).await;
        assert_eq!(served(&fleet[0], "POST", "/once/x", 5).await, 5);
    }
}

/// Starts a daemon that has open connections to endpoints which are lost now, beside one that reaches
/// others; returns both and the endpoints of the other.
async fn start_fleet_with_lost_endpoints(
    script: impl Fn(usize) -> Vec<Action> + Copy + Send + Sync + 'static,
    path: &str,
) -> (Vec<RunningGateway>, Vec<Endpoint>) {
    let endpoints = start_endpoints(script).await;
    let lost = start_endpoints(script).await;
    let (healthy, own) = (addresses(&endpoints), addresses(&lost));
    let fleet = start_fleet(&[source_of(&own, &own), source_of(&healthy, &healthy)]).await;
    assert_eq!(served(&fleet[0], "POST", path, 12).await, 12);
    for endpoint in &lost {
        endpoint.lost.cancel();
    }
    (fleet, endpoints)
}

/// Guards against a daemon that finds out by the number of its requests that it is cut off: one that
/// waits on a connection which was open before shows it, and the next must not pay again.
#[tokio::test]
async fn a_single_request_that_waits_shows_the_cut() {
    let (fleet, endpoints) = start_fleet_with_lost_endpoints(|_| fine(), "/once/x").await;
    let mut waiting = Client::connect(fleet[0].address).await;
    waiting
        .send(&request("POST", "/once/x", "b1", "", ""))
        .await;
    tokio::time::sleep(Duration::from_millis(650)).await;
    let mut client = Client::connect(fleet[0].address).await;
    let extra = "x-deadline: 250\r\n";
    client
        .send(&request("POST", "/once/x", "b2", extra, ""))
        .await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
    assert_eq!(received(&endpoints), 1, "the first one runs once");
}

/// Guards against a request that may run again and waits on an open connection, while its daemon has
/// found out that it reaches no endpoint.
#[tokio::test]
async fn a_stream_that_waits_when_the_cut_is_found_begins_through_another_daemon() {
    let script = |_| vec![stream_head(), event(0), last_chunk()];
    let (fleet, endpoints) = start_fleet_with_lost_endpoints(script, "/stream/x").await;
    let mut client = Client::connect(fleet[0].address).await;
    let extra = "x-deadline: 800\r\n";
    client
        .send(&request("POST", "/stream/x", "b1", extra, ""))
        .await;
    client.read_until("piece 0").await;
    assert_eq!(received(&endpoints), 1);
}

/// Guards against a request that is held past its deadline while daemons are asked that never answer.
#[tokio::test]
async fn a_request_is_not_held_past_its_deadline_while_daemons_are_asked() {
    let dead = UnreachableAddress::refusing();
    let mut frozen = Vec::new();
    for _ in 0..6 {
        frozen.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let frozen: Vec<(SocketAddr, TcpListener)> = frozen
        .into_iter()
        .map(|each| (each.local_addr().unwrap(), each))
        .collect();
    let others: Vec<SocketAddr> = frozen.iter().map(|(address, _)| *address).collect();
    let fleet = start_fleet_beside(&[source_of(&[dead.address; 3], &[])], &others).await;
    let asked_at = Instant::now();
    let mut client = Client::connect(fleet[0].address).await;
    let extra = "x-deadline: 150\r\n";
    client
        .send(&request("POST", "/once/x", "a1", extra, ""))
        .await;
    assert!(client.answer().await.expect("an answer").status >= 500);
    assert!(
        asked_at.elapsed() < Duration::from_millis(300),
        "{:?}",
        asked_at.elapsed()
    );
}

/// Guards against an ambiguous answer that passes because two daemons read it, and against a length of
/// another body than the one that the client is sent.
#[tokio::test]
async fn answers_through_another_daemon_are_framed_like_others() {
    let dead: Vec<_> = (0..3).map(|_| UnreachableAddress::refusing()).collect();
    let dead: Vec<SocketAddr> = dead.iter().map(|each| each.address).collect();
    let ambiguous = start_endpoints(|_| {
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 2\r\n";
        let body = "transfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
        vec![Action::Send(format!("{head}{body}"))]
    })
    .await;
    let healthy = source_of(&addresses(&ambiguous), &[]);
    let fleet = start_fleet(&[source_of(&dead, &[]), healthy]).await;
    let got = ask(&fleet[0], "POST", "/once/x", "a1").await;
    assert_eq!((got.status, got.is_whole), (502, true), "{}", got.body);
    assert_eq!(received(&ambiguous), 1);

    let sound = start_endpoints(|_| vec![answer("200 OK", &"x".repeat(300_000))]).await;
    let healthy = source_of(&addresses(&sound), &[]);
    let fleet = start_fleet(&[source_of(&dead, &[]), healthy]).await;
    let got = ask(&fleet[0], "POST", "/once/x", "a1").await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body.len(), 300_000);
    assert_eq!(got.header("content-length"), Some("300000"));
}

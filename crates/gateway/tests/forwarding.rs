//! Tests that a daemon which reaches no endpoint of a service serves its requests through another
//! daemon. Each daemon has its own control source, so that they have different addresses for the
//! same endpoints: those of a daemon that is cut off lead nowhere.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::{GatewaySettings, serve_peers};
use bridgevane_types::DurationMs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::unreachable::UnreachableAddress;
use support::{RunningGateway, settings, start_with};
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
    let mut listeners = Vec::new();
    for _ in sources {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let seeds: Vec<SocketAddr> = listeners
        .iter()
        .map(|each| each.local_addr().unwrap())
        .collect();
    let mut fleet = Vec::new();
    for (at, (source, listener)) in sources.iter().zip(listeners).enumerate() {
        let settings = GatewaySettings {
            vm: format!("vm-{at}").as_str().into(),
            peer_address: Some(seeds[at]),
            seed_addresses: seeds.clone(),
            stop_ms: DurationMs(1_000),
            ..settings()
        };
        let running = start_with(source.clone(), settings).await;
        tokio::spawn(serve_peers(running.gateway.clone(), listener));
        fleet.push(running);
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
#[ignore = "known red"]
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
#[ignore = "known red"]
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
#[ignore = "known red"]
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

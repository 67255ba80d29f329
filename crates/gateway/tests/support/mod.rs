//! A gateway with a scripted control source and scripted endpoints, over real sockets.

#![allow(dead_code, missing_docs)]

pub mod client;
pub mod crashing;
pub mod endpoint;
pub mod records;
pub mod seeded;
pub mod socket_queues;
pub mod source;
pub mod unreachable;
pub mod versions;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::eligibility::region_limits::RegionMap;
use bridgevane_gateway::{
    Clock, ClockScript, Gateway, GatewaySettings, HeaderNames, follow_control_source,
    prove_on_demand, register_versions, serve_clients, serve_peers, store_quarantine,
    watch_suspension,
};
use bridgevane_types::{Bytes, DurationMs, Share};
use endpoint::{Action, Endpoint, ReceivedRequest};
use http::HeaderName;
use source::{KEY, ScriptedSource, plain_route, stream_route};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

const fn name(text: &'static str) -> HeaderName {
    HeaderName::from_static(text)
}

/// Returns the header names that the tests use.
pub fn names() -> HeaderNames {
    HeaderNames {
        request_id: name("x-id"),
        signature: name("x-sign"),
        deadline_ms: name("x-deadline"),
        prompt_parts: name("x-parts"),
        last_event_id: name("last-event-id"),
        resumes: name("x-resumes"),
        customer: name("x-customer"),
        expected_endpoint: name("x-endpoint"),
        load: name("x-load"),
        leaving: name("x-leaving"),
        rate_limit: name("x-rate-limit"),
        brittle: name("x-brittle"),
        not_executed: name("x-not-run"),
        token_counts: name("x-tokens"),
        priority: name("x-urgency"),
        cache_source: name("x-cache-source"),
        reserved: vec![
            name("x-customer"),
            name("x-endpoint"),
            name("x-urgency"),
            name("x-cache-source"),
        ],
        end_to_end: vec![name("x-id"), name("x-sign"), name("x-tokens")],
        key_scheme: "Token",
    }
}

/// Returns settings with short times.
pub fn settings() -> GatewaySettings {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    GatewaySettings {
        vm: "vm-1".into(),
        data_centre: "dc-1".into(),
        regions: RegionMap::default(),
        client_address: any,
        ready_address: any,
        peer_address: None,
        seed_addresses: Vec::new(),
        lapse_grace_ms: DurationMs(600),
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(700),
            config_apply_ms: DurationMs(2_000),
            max_stale_age_ms: DurationMs(700),
        },
        watch_wait_ms: DurationMs(100),
        stop_ms: DurationMs(3_000),
        balancer_delay_ms: DurationMs(150),
        retry_ratio: Share(0.2),
        retry_slack: 48,
        retry_window_ms: DurationMs(10_000),
        client_stall_ms: DurationMs(6_000),
        max_client_bytes: Bytes(64 << 20),
        max_buffered_bytes: Bytes(1 << 20),
        max_client_connections: 10_000,
        duties: None,
    }
}

/// Returns the settings of a daemon that other daemons can poll at `own`, and that polls `seeds`.
pub fn peer_settings(vm: &str, own: SocketAddr, seeds: &[SocketAddr]) -> GatewaySettings {
    GatewaySettings {
        vm: vm.into(),
        peer_address: Some(own),
        seed_addresses: seeds.to_vec(),
        ..settings()
    }
}

/// Starts a daemon that other daemons can poll at `listener`, and that polls `seeds`.
pub async fn start_daemon(
    vm: &str,
    source: &ScriptedSource,
    listener: TcpListener,
    seeds: &[SocketAddr],
) -> RunningGateway {
    let own = listener.local_addr().expect("it listens");
    start_peer(peer_settings(vm, own, seeds), source, listener).await
}

/// Starts a daemon with these settings, which other daemons can poll at `listener`.
pub async fn start_peer(
    settings: GatewaySettings,
    source: &ScriptedSource,
    listener: TcpListener,
) -> RunningGateway {
    let running = start_with(source.clone(), settings).await;
    tokio::spawn(serve_peers(running.gateway.clone(), listener));
    running
}

/// Starts daemons that know each other, of which the first two are seeds.
pub async fn start_fleet(source: &ScriptedSource, daemons: usize) -> Vec<RunningGateway> {
    let mut listeners = Vec::new();
    for _ in 0..daemons {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
    }
    let seeds: Vec<SocketAddr> = (listeners.iter().take(2))
        .map(|listener| listener.local_addr().expect("it listens"))
        .collect();
    let mut fleet = Vec::new();
    for (at, listener) in listeners.into_iter().enumerate() {
        fleet.push(start_daemon(&format!("vm-{at}"), source, listener, &seeds).await);
    }
    fleet
}

/// A running gateway.
pub struct RunningGateway {
    pub gateway: Arc<Gateway>,
    pub source: ScriptedSource,
    pub address: SocketAddr,
}

/// Starts a gateway that follows `source`, and waits until it is ready.
pub async fn start(source: ScriptedSource) -> RunningGateway {
    start_with(source, settings()).await
}

/// Starts a gateway with the given settings.
pub async fn start_with(source: ScriptedSource, settings: GatewaySettings) -> RunningGateway {
    start_with_clock(Clock::scripted(ClockScript::leaked()), source, settings).await
}

/// Starts a gateway with a route of each kind, before one process behind two names of each service, so
/// that a request may be repeated and a stream resumed there.
pub async fn start_before_twin_endpoints(
    script: impl Fn(usize, &ReceivedRequest) -> Vec<Action> + Send + Sync + 'static,
) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    let routes = vec![
        stream_route("stream", false, 1),
        stream_route("resume", true, 2),
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    let endpoint = Endpoint::start_by_request(script).await;
    for id in ["e-0", "e-1"] {
        source.publish_endpoint(id, "model", endpoint.address);
        source.publish_endpoint(&format!("p-{id}"), "plain", endpoint.address);
    }
    (start(source).await, endpoint)
}

/// Starts a gateway with the given clock and settings, and waits until it is ready.
pub async fn start_with_clock(
    clock: Clock,
    source: ScriptedSource,
    settings: GatewaySettings,
) -> RunningGateway {
    let running = launch(clock, source, settings).await;
    while !running.gateway.is_ready() {
        tokio::task::yield_now().await;
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    running
}

/// Starts a daemon that other daemons can poll at `listener`, and doesn't wait until it is ready.
pub async fn launch_peer(
    settings: GatewaySettings,
    source: &ScriptedSource,
    listener: TcpListener,
) -> RunningGateway {
    let clock = Clock::scripted(ClockScript::leaked());
    let running = launch(clock, source.clone(), settings).await;
    tokio::spawn(serve_peers(running.gateway.clone(), listener));
    running
}

/// Starts a gateway with the given clock and settings.
pub async fn launch(
    clock: Clock,
    source: ScriptedSource,
    settings: GatewaySettings,
) -> RunningGateway {
    let meter = opentelemetry::global::meter("test");
    let gateway = Gateway::with_clock(settings, names(), &meter, clock);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(follow_control_source(gateway.clone(), source.clone()));
    tokio::spawn(watch_suspension(gateway.clone()));
    tokio::spawn(store_quarantine(gateway.clone(), source.clone()));
    tokio::spawn(register_versions(gateway.clone(), source.clone()));
    tokio::spawn(prove_on_demand(gateway.clone(), source.clone()));
    tokio::spawn(serve_clients(gateway.clone(), listener));
    RunningGateway {
        gateway,
        source,
        address,
    }
}

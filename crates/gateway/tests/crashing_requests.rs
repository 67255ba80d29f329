//! Requests that crash every engine that runs them.
//!
//! Guards against a client that repeats such a request on new connections to other daemons, with a
//! new identifier each time. When daemons counted runs only within one attempt of the client, nothing
//! showed that two attempts were the same request: up to four engines crashed in a second, a request
//! that had crashed three engines reached eleven more, and nine in ten of the customer's report
//! requests failed.

mod support;

use bridgevane_gateway::EndpointHash;
use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_types::RequestFingerprint;
use std::net::SocketAddr;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::crashing::{CRASHING_BODY, CrashingEngines};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start_daemon};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};

/// How long an engine runs a request.
const RUN: Duration = Duration::from_millis(20);
/// The interval at which the same request is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// The time after the third crash within which every daemon must know the request.
const MAX_SPREAD_TIME: Duration = Duration::from_millis(3_000);
/// The number of crashes that put a request under quarantine.
const CRASHES_FOR_QUARANTINE: usize = 3;
/// How often the request may still reach an engine after that time.
const MAX_LATE_RUNS: usize = 3;

fn source() -> ScriptedSource {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    source
}

async fn send(address: SocketAddr, id: usize, body: &str) -> Option<ClientAnswer> {
    let mut client = Client::connect(address).await;
    let id = format!("a{id}");
    client
        .send(&request(
            "POST",
            "/once/x",
            &id,
            "x-deadline: 900\r\n",
            body,
        ))
        .await;
    client.answer().await
}

/// Starts two seeds, and two followers of each seed.
async fn fleet(source: &ScriptedSource) -> Vec<RunningGateway> {
    let mut listeners = Vec::new();
    for _ in 0..6 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses: Vec<SocketAddr> = (listeners.iter())
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let mut daemons = Vec::new();
    for (at, listener) in listeners.into_iter().enumerate() {
        let seeds = if at < 2 {
            &addresses[..2]
        } else {
            &addresses[at % 2..=at % 2]
        };
        daemons.push(start_daemon(&format!("vm-{at}"), source, listener, seeds).await);
    }
    daemons
}

/// Sends the crashing request repeatedly until `until`, each time to the next daemon, and returns how
/// often it was sent.
async fn repeat(daemons: &[SocketAddr], until: Instant, first_id: usize) -> usize {
    let mut sent = 0;
    while Instant::now() < until {
        let address = daemons[sent % daemons.len()];
        tokio::spawn(send(address, first_id + sent, CRASHING_BODY));
        sent += 1;
        sleep(REPEAT_INTERVAL).await;
    }
    sent
}

/// Waits for the third crash and returns its moment.
async fn third_crash(engines: &CrashingEngines) -> Instant {
    while engines.crashed() < CRASHES_FOR_QUARANTINE {
        sleep(Duration::from_millis(2)).await;
    }
    Instant::now()
}

/// Guards against daemons that forward the request after others have seen it crash three engines, and
/// against a quarantine that also stops other requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_is_stopped_on_every_daemon() {
    let source = source();
    let engines = CrashingEngines::start(&source, 24, RUN).await;
    let fleet = fleet(&source).await;
    let daemons: Vec<SocketAddr> = fleet.iter().map(|daemon| daemon.address).collect();
    let begin = Instant::now();
    let repeating = tokio::spawn(async move {
        repeat(&daemons, begin + MAX_SPREAD_TIME + MAX_SPREAD_TIME, 0).await
    });
    let known_at = third_crash(&engines).await + MAX_SPREAD_TIME;
    tokio::time::sleep_until(known_at).await;
    let before = engines.received(CRASHING_BODY);
    let sent = repeating.await.expect("no panic");
    let late = engines.received(CRASHING_BODY) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs of {sent} requests");
    // The refusal is final and immediate, without `Retry-After`: the request must not be retried.
    for daemon in &fleet {
        let sent_at = Instant::now();
        let got = send(daemon.address, 9_000, CRASHING_BODY)
            .await
            .expect("an answer");
        assert_eq!((got.status, got.header("retry-after")), (502, None));
        assert!(sent_at.elapsed() < Duration::from_millis(300), "at once");
        let other = send(daemon.address, 9_001, "another prompt").await;
        assert_eq!(other.expect("an answer").status, 200, "others are served");
    }
}

/// Guards against a quarantine that is lost when all daemons are replaced. Daemons keep no state of
/// their own, so that only the entries at the control source are left.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_survives_the_replacement_of_all_daemons() {
    let source = source();
    let engines = CrashingEngines::start(&source, 24, RUN).await;
    let first_runtime = Runtime::new().unwrap();
    let first_source = source.clone();
    let starting = first_runtime.spawn(async move {
        let fleet = fleet(&first_source).await;
        fleet
            .iter()
            .map(|daemon| daemon.address)
            .collect::<Vec<_>>()
    });
    let daemons = starting.await.expect("they start");
    repeat(&daemons, Instant::now() + MAX_SPREAD_TIME, 0).await;
    assert!(
        engines.crashed() >= CRASHES_FOR_QUARANTINE,
        "it has crashed engines"
    );
    first_runtime.shutdown_background();
    let fleet = fleet(&source).await;
    let daemons: Vec<SocketAddr> = fleet.iter().map(|daemon| daemon.address).collect();
    let before = engines.received(CRASHING_BODY);
    let sent = repeat(&daemons, Instant::now() + MAX_SPREAD_TIME, 1_000).await;
    let late = engines.received(CRASHING_BODY) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs of {sent} requests");
}

/// Starts daemons that all know the same three seeds, and form a tree by themselves.
async fn tree(source: &ScriptedSource, daemons: usize) -> Vec<RunningGateway> {
    let mut listeners = Vec::new();
    for _ in 0..daemons {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let seeds: Vec<SocketAddr> = (listeners.iter().take(3))
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let starting = listeners.into_iter().enumerate().map(|(at, listener)| {
        let (source, seeds) = (source.clone(), seeds.clone());
        tokio::spawn(
            async move { start_daemon(&format!("vm-{at}"), &source, listener, &seeds).await },
        )
    });
    let starting: Vec<_> = starting.collect();
    let mut started = Vec::new();
    for daemon in starting {
        started.push(daemon.await.expect("it starts"));
    }
    started
}

/// Guards against observations that spread too slowly up and down a tree of several levels: three
/// crashes, each seen by another daemon, must stop the request on all daemons in time.
#[tokio::test(flavor = "multi_thread")]
async fn three_crashes_seen_by_three_daemons_are_known_to_eighty_in_time() {
    let source = source();
    let _engines = CrashingEngines::start(&source, 1, RUN).await;
    let fleet = tree(&source, 80).await;
    let mut slowest = Duration::ZERO;
    for round in 0..4u64 {
        let request = RequestFingerprint {
            customer: 1,
            content: round,
        };
        for crash in 0..3 {
            // None of these daemons is a seed.
            let seen_by = &fleet[3 + (17 * round as usize + 23 * crash) % 77].gateway;
            let endpoint = EndpointHash(100 * round as u32 + crash as u32);
            seen_by.quarantine.on_crashed(endpoint, &[request.into()]);
            // Crashes at the same moment would count as one.
            sleep(Duration::from_millis(60)).await;
        }
        let observed_at = Instant::now();
        let knows = |daemon: &&RunningGateway| {
            daemon
                .gateway
                .quarantine
                .is_any_quarantined(|| [request.into()])
        };
        while fleet.iter().filter(knows).count() < fleet.len() {
            sleep(Duration::from_millis(5)).await;
            assert!(observed_at.elapsed() < MAX_SPREAD_TIME, "round {round}");
        }
        slowest = slowest.max(observed_at.elapsed());
    }
    println!("known to {} daemons within {slowest:?}", fleet.len());
}

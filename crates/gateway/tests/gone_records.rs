//! Endpoints whose records are gone after an outage of the source: which of them still get requests.

mod support;

use bridgevane_gateway::GatewaySettings;
use bridgevane_gateway::Repeatability::Idempotent;
use bridgevane_gateway::SourceError;
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_types::DurationMs;
use futures_util::future::join_all;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start_with};
use tokio::time::{Instant, sleep};

/// The time after its removal in which an endpoint may get requests (`--drain-ms`).
const DRAIN: Duration = Duration::from_millis(2_700);
/// How long the source refuses the daemon: longer than what counts as an outage.
const REFUSED: Duration = Duration::from_millis(2_600);
/// How long a call that had begun before a fault may last.
const LAST_CALL: Duration = Duration::from_millis(200);
/// The number of clients.
const CLIENTS: usize = 4;
/// How long an endpoint works on a request.
const WORK: Duration = Duration::from_millis(15);
/// The pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(10);

fn settings() -> GatewaySettings {
    GatewaySettings {
        lapse_grace_ms: DurationMs(DRAIN.as_millis() as u64 - 300),
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(4_700),
            config_apply_ms: DurationMs(3_000),
            max_stale_age_ms: DurationMs(4_700),
        },
        ..support::settings()
    }
}

fn sound_answer() -> Vec<Action> {
    vec![Action::Wait(WORK), answer("200 OK", "fine")]
}

/// An answer of an endpoint that is leaving.
fn last_answer() -> Vec<Action> {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nconnection: close\r\n\
                content-length: 4\r\n\r\nfine";
    vec![
        Action::Wait(WORK),
        Action::Send(text.to_owned()),
        Action::Close,
    ]
}

/// Starts a daemon before two endpoints of a service; `first` is the first one's answer.
async fn start(
    first: impl Fn() -> Vec<Action> + Send + Sync + 'static,
) -> (RunningGateway, [Endpoint; 2]) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let endpoints = [
        Endpoint::start(move |_| first()).await,
        Endpoint::start(|_| sound_answer()).await,
    ];
    for (at, endpoint) in endpoints.iter().enumerate() {
        source.publish_endpoint(&format!("e-{at}"), "plain", endpoint.address);
    }
    (start_with(source, settings()).await, endpoints)
}

/// Waits until the source has answered the daemon again.
async fn wait_for_proof(running: &RunningGateway) {
    let has_proof = || {
        let age = running.gateway.control.proof_age();
        age.is_some_and(|age| age < DurationMs(500))
    };
    while !has_proof() {
        sleep(PAUSE).await;
    }
}

/// Sends requests until `end`, so many at once that both endpoints get some; returns how many were served.
async fn send_until(running: &RunningGateway, end: Instant) -> usize {
    let clients = (0..CLIENTS).map(|_| send_in_turn(running, end));
    join_all(clients).await.into_iter().sum()
}

/// Sends requests one after the other until `end`; returns how many were served.
async fn send_in_turn(running: &RunningGateway, end: Instant) -> usize {
    let mut client = Client::connect(running.address).await;
    let mut served = 0;
    while Instant::now() < end {
        client.send(&request("GET", "/often/x", "a", "", "")).await;
        let got = client.answer().await.expect("an answer");
        served += usize::from(got.status == 200);
        sleep(PAUSE).await;
    }
    served
}

/// Guards against an endpoint that left while the source refused the daemon, and gets requests for the
/// whole grace after the daemon has read that its record is gone.
#[tokio::test]
async fn an_endpoint_that_left_while_no_proof_came_gets_no_request_after_the_drain_time() {
    // Set once the endpoint leaves: from then on its answers end their connections.
    let is_leaving = Arc::new(AtomicUsize::new(0));
    let flag = is_leaving.clone();
    let (running, endpoints) = start(move || match flag.load(Ordering::SeqCst) {
        0 => sound_answer(),
        _ => last_answer(),
    })
    .await;
    send_until(&running, Instant::now() + Duration::from_millis(200)).await;
    running.source.set_fault(Some(SourceError::Refused));
    send_until(&running, Instant::now() + LAST_CALL).await;
    let removed_at = Instant::now();
    is_leaving.store(1, Ordering::SeqCst);
    running.source.remove_endpoint("e-0");
    send_until(&running, removed_at + REFUSED).await;
    running.source.set_fault(None);
    wait_for_proof(&running).await;
    send_until(&running, removed_at + DRAIN).await;
    let allowed = endpoints[0].request_count();
    assert!(allowed > 0, "the daemon can't know before");
    let end = Instant::now() + Duration::from_millis(1_500);
    assert!(send_until(&running, end).await > 0);
    assert_eq!(endpoints[0].request_count(), allowed);
}

/// Guards against a sound endpoint that is dropped because its record lapsed while it couldn't write: it
/// answers, so it hasn't left.
#[tokio::test]
async fn an_endpoint_that_answers_stays_in_use_while_its_record_is_lost() {
    let (running, endpoints) = start(sound_answer).await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    send_until(&running, Instant::now() + LAST_CALL).await;
    let lost_at = Instant::now();
    running.source.remove_endpoint("e-0");
    send_until(&running, lost_at + REFUSED).await;
    running.source.set_fault(None);
    sleep(Duration::from_millis(400)).await;
    let before = endpoints[0].request_count();
    send_until(&running, Instant::now() + Duration::from_millis(700)).await;
    assert!(endpoints[0].request_count() > before, "it is used");
    running
        .source
        .publish_endpoint("e-0", "plain", endpoints[0].address);
    sleep(Duration::from_millis(2_500)).await;
    let before = endpoints[0].request_count();
    send_until(&running, Instant::now() + Duration::from_millis(300)).await;
    assert!(endpoints[0].request_count() > before, "its record is back");
}

/// Guards against a service without endpoints because all of their records lapsed and no request had
/// shown that they run.
#[tokio::test]
async fn the_last_endpoints_of_a_service_are_used_while_their_records_are_lost() {
    let (running, _endpoints) = start(sound_answer).await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    sleep(REFUSED).await;
    for id in ["e-0", "e-1"] {
        running.source.remove_endpoint(id);
    }
    running.source.set_fault(None);
    sleep(Duration::from_millis(500)).await;
    let served = send_until(&running, Instant::now() + Duration::from_millis(300)).await;
    assert!(served > 0);
}

//! What is believed has an age: without a proof that it is the newest, nothing is passed on.

mod support;

use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::{
    Clock, ClockScript, Gateway, GatewaySettings, Repeatability::Idempotent, SourceError,
    follow_control_source, serve_clients,
};
use bridgevane_types::DurationMs;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Endpoint, answer};
use support::source::{KEY, OTHER_KEY, ScriptedSource, plain_route};
use support::{Running, start, start_with};
use tokio::net::TcpListener;

async fn stage() -> (Running, Endpoint) {
    stage_with(support::settings()).await
}

async fn stage_with(settings: GatewaySettings) -> (Running, Endpoint) {
    let source = ScriptedSource::new();
    source.configure(
        3,
        vec![plain_route("often", Idempotent, 2)],
        &[KEY, OTHER_KEY],
    );
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.endpoint("e-0", "plain", endpoint.address);
    (start_with(source, settings).await, endpoint)
}

async fn status(running: &Running) -> u16 {
    let mut client = Client::connect(running.address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    client.answer().await.expect("an answer").status
}

/// Changes gather for 200 ms between two calls of the source.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(300)).await;
}

#[tokio::test]
async fn a_removed_key_is_refused_at_once() {
    let (running, endpoint) = stage().await;
    assert_eq!(status(&running).await, 200);
    let routes = vec![plain_route("often", Idempotent, 2)];
    running.source.configure(4, routes, &[OTHER_KEY]);
    settle().await;
    assert_eq!(status(&running).await, 401);
    assert_eq!(endpoint.count(), 1);
}

#[tokio::test]
async fn without_a_proof_nothing_is_passed_on_and_nothing_refused_for_good() {
    let (running, endpoint) = stage().await;
    running.source.fail(Some(SourceError::NoAnswer));
    settle().await;
    assert_eq!(status(&running).await, 200, "the last proof still holds");
    tokio::time::sleep(Duration::from_millis(900)).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    let got = client.answer().await.expect("an answer");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    client.send(&request("GET", "/none/x", "a1", "", "")).await;
    assert_eq!(client.answer().await.expect("an answer").status, 503);
    assert!(!running.gateway.is_ready());
    assert_eq!(endpoint.count(), 1);
    running.source.fail(None);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&running).await, 200);
}

#[tokio::test]
async fn an_older_version_is_never_put_in_force() {
    let (running, _) = stage().await;
    running.source.configure(2, Vec::new(), &[]);
    settle().await;
    assert_eq!(status(&running).await, 200);
}

#[tokio::test]
async fn lost_history_is_made_good_by_reading_everything() {
    let (running, endpoint) = stage().await;
    let before = running.source.full_reads();
    running.source.fail(Some(SourceError::HistoryLost));
    running.source.drain("e-0", "plain", endpoint.address);
    settle().await;
    running.source.fail(None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(running.source.full_reads() > before);
    assert_eq!(status(&running).await, 503, "the endpoint drains");
    assert_eq!(endpoint.count(), 0);
}

async fn after_an_outage(gone: &str) -> (Running, Endpoint) {
    let source = ScriptedSource::new();
    let routes = vec![plain_route("often", Idempotent, 2)];
    source.configure(3, routes, &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.endpoint("e-0", "plain", endpoint.address);
    let running = start(source).await;
    running.source.fail(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    running.source.gone(gone);
    running.source.fail(None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    (running, endpoint)
}

#[tokio::test]
async fn a_record_that_lapsed_while_the_source_was_away_may_come_back() {
    let (running, endpoint) = after_an_outage("e-0").await;
    assert_eq!(status(&running).await, 200, "it is used meanwhile");
    running.source.endpoint("e-0", "plain", endpoint.address);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(status(&running).await, 200, "it is back");
}

#[tokio::test]
async fn a_record_that_does_not_come_back_is_taken_as_gone_in_time() {
    let (running, _endpoint) = after_an_outage("e-0").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(status(&running).await, 503);
}

/// A daemon that has not heard of its source yet.
async fn starting(full_read: Duration) -> (std::net::SocketAddr, ScriptedSource) {
    let source = ScriptedSource::new();
    source.configure(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.slow_full_reads(full_read);
    let meter = opentelemetry::global::meter("test");
    let gateway = Gateway::new(support::settings(), support::names(), &meter);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(follow_control_source(gateway.clone(), source.clone()));
    tokio::spawn(serve_clients(gateway, listener));
    (address, source)
}

#[tokio::test]
async fn a_request_waits_a_moment_for_a_daemon_that_starts() {
    let (address, source) = starting(Duration::from_millis(200)).await;
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.endpoint("e-0", "plain", endpoint.address);
    let mut client = Client::connect(address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
}

#[tokio::test]
async fn it_waits_for_a_quarter_of_the_client_s_time_at_most() {
    let (address, _source) = starting(Duration::from_millis(1_500)).await;
    let mut client = Client::connect(address).await;
    let begun = tokio::time::Instant::now();
    let deadline = "x-deadline: 400\r\n";
    client
        .send(&request("GET", "/often/x", "a1", deadline, ""))
        .await;
    let got = client.answer().await.expect("an answer");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert!(
        begun.elapsed() < Duration::from_millis(350),
        "a quarter of it"
    );
}

/// Before, a reading that took more than two seconds was given up and begun again for ever.
#[tokio::test]
async fn a_source_that_takes_long_to_read_is_read_nonetheless() {
    let full_reads = full_reads_of_a_start(Duration::from_millis(2_500), 1).await;
    assert_eq!(full_reads, 2, "the second is given longer");
}

/// A large fleet's state comes in many parts: what counts is that they come, not how long all of them take.
#[tokio::test]
async fn a_state_of_many_parts_is_read_at_once_however_long_it_takes() {
    let full_reads = full_reads_of_a_start(Duration::from_millis(4_500), 9).await;
    assert_eq!(full_reads, 1);
}

/// How often everything is read until a daemon that starts has it.
async fn full_reads_of_a_start(takes: Duration, parts: u32) -> usize {
    let source = ScriptedSource::new();
    source.configure(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.slow_full_reads_in_parts(takes, parts);
    let settings = GatewaySettings {
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(10_000),
            max_stale_age_ms: DurationMs(10_000),
        },
        ..support::settings()
    };
    let limit = Duration::from_secs(10);
    let started = tokio::time::timeout(limit, start_with(source, settings));
    let running = started.await.expect("it is read");
    running.source.full_reads()
}

#[tokio::test]
async fn an_endpoint_that_drains_or_is_gone_gets_nothing() {
    let (running, endpoint) = stage().await;
    running.source.drain("e-0", "plain", endpoint.address);
    settle().await;
    assert_eq!(status(&running).await, 503);
    running.source.endpoint("e-1", "plain", endpoint.address);
    settle().await;
    assert_eq!(status(&running).await, 200);
    running.source.gone("e-1");
    settle().await;
    assert_eq!(status(&running).await, 503);
}

/// Daemons that may serve on for three seconds.
fn lenient() -> GatewaySettings {
    let mut settings = support::settings();
    settings.freshness.max_stale_age_ms = DurationMs(3_000);
    settings
}

async fn lenient_stage() -> (Running, Endpoint) {
    stage_with(lenient()).await
}

async fn status_of(running: &Running, path: &str, key: &str) -> u16 {
    let mut client = Client::connect(running.address).await;
    let head = request("GET", path, "a1", "", "").replace(KEY, key);
    client.send(&head).await;
    client.answer().await.expect("an answer").status
}

/// Beyond the lifetime of a proof.
async fn grow_stale(running: &Running) {
    running.source.fail(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
}

#[tokio::test]
async fn a_stale_configuration_serves_and_denies_nothing_where_that_is_allowed() {
    let (running, endpoint) = lenient_stage().await;
    grow_stale(&running).await;
    assert!(running.gateway.is_ready());
    assert_eq!(status_of(&running, "/often/x", KEY).await, 200);
    assert_eq!(endpoint.count(), 1);
    // A route or a key may have been added meanwhile.
    assert_eq!(status_of(&running, "/none/x", KEY).await, 503);
    assert_eq!(status_of(&running, "/often/x", "key-9").await, 503);
}

#[tokio::test]
async fn a_configuration_that_is_too_old_serves_nothing() {
    let (running, endpoint) = lenient_stage().await;
    running.source.fail(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    assert!(!running.gateway.is_ready());
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(endpoint.count(), 0);
}

#[tokio::test]
async fn changes_of_an_outage_are_in_force_once_the_source_is_back() {
    let (running, endpoint) = lenient_stage().await;
    grow_stale(&running).await;
    let routes = vec![
        plain_route("often", Idempotent, 2),
        plain_route("new", Idempotent, 2),
    ];
    running.source.configure(4, routes, &[OTHER_KEY]);
    running.source.endpoint("e-1", "plain", endpoint.address);
    running.source.drain("e-0", "plain", endpoint.address);
    assert_eq!(status_of(&running, "/often/x", KEY).await, 200, "not known");
    running.source.fail(None);
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status_of(&running, "/often/x", KEY).await, 401);
    assert_eq!(status_of(&running, "/new/x", OTHER_KEY).await, 200);
}

#[tokio::test]
async fn a_daemon_without_any_configuration_refuses_whatever_is_allowed() {
    let source = ScriptedSource::new();
    source.configure(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.fail(Some(SourceError::NoAnswer));
    let meter = opentelemetry::global::meter("test");
    let gateway = Gateway::new(lenient(), support::names(), &meter);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(follow_control_source(gateway.clone(), source.clone()));
    tokio::spawn(serve_clients(gateway.clone(), listener));
    let running = Running {
        gateway,
        source,
        address,
    };
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(status_of(&running, "/none/x", KEY).await, 503);
    assert!(!running.gateway.is_ready());
}

/// A daemon that has seen an endpoint drain is bound by that in an outage, too.
#[tokio::test]
async fn an_endpoint_that_drains_gets_nothing_in_an_outage_either() {
    let (running, endpoint) = lenient_stage().await;
    running.source.drain("e-0", "plain", endpoint.address);
    settle().await;
    grow_stale(&running).await;
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(endpoint.count(), 0);
}

/// A suspended VM doesn't see time pass on its steady clock, and others go on meanwhile: keys are removed,
/// endpoints leave. It is known before anything is answered.
#[tokio::test]
async fn what_is_believed_ages_while_the_vm_is_suspended() {
    let source = ScriptedSource::new();
    source.configure(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.endpoint("e-0", "plain", endpoint.address);
    let script = ClockScript::leaked();
    let clock = Clock::scripted(script);
    let running = support::start_by(clock, source, support::settings()).await;
    assert_eq!(status(&running).await, 200);
    running.source.fail(Some(SourceError::NoAnswer));
    script.wake_after(DurationMs(5_000));
    assert!(!running.gateway.is_ready());
    assert_eq!(status(&running).await, 503);
    assert_eq!(endpoint.count(), 1);
    running.source.fail(None);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&running).await, 200);
}

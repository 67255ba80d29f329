//! Proofs of freshness expire: without a recent one, requests aren't forwarded.

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
use support::{RunningGateway, start_with};
use tokio::net::TcpListener;

/// Starts a daemon with one endpoint.
async fn start_gateway() -> (RunningGateway, Endpoint) {
    start_gateway_with(support::settings()).await
}

/// Starts a daemon with one endpoint and these settings.
async fn start_gateway_with(settings: GatewaySettings) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(
        3,
        vec![plain_route("often", Idempotent, 2)],
        &[KEY, OTHER_KEY],
    );
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    (start_with(source, settings).await, endpoint)
}

async fn status(running: &RunningGateway) -> u16 {
    let mut client = Client::connect(running.address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    client.answer().await.expect("an answer").status
}

/// Lets some time pass, in which changes would arrive: 200 ms pass between two calls to the source.
async fn wait_for_calls() {
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Waits until the daemon has all changes, within the time for a change.
async fn wait_for_changes(running: &RunningGateway) {
    let limit = support::settings().freshness.config_apply_ms.as_std();
    let newest = running.source.newest() as u64;
    let applied = async {
        while running.gateway.control.replica().revision().counter() < newest {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(limit, applied).await;
    waited.expect("the changes arrive in time");
}

/// Guards against a removed key that stays valid.
#[tokio::test]
async fn a_removed_key_is_refused_at_once() {
    let (running, endpoint) = start_gateway().await;
    assert_eq!(status(&running).await, 200);
    let routes = vec![plain_route("often", Idempotent, 2)];
    running
        .source
        .publish_configuration(4, routes, &[OTHER_KEY]);
    wait_for_changes(&running).await;
    assert_eq!(status(&running).await, 401);
    assert_eq!(endpoint.request_count(), 1);
}

/// Guards against requests that are forwarded or refused for good after the last proof has expired:
/// routes and keys may have changed since.
#[tokio::test]
async fn without_a_proof_requests_get_a_retryable_503() {
    let (running, endpoint) = start_gateway().await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    wait_for_calls().await;
    assert_eq!(status(&running).await, 200, "the last proof is still valid");
    tokio::time::sleep(Duration::from_millis(900)).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    let response = client.answer().await.expect("an answer");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    client.send(&request("GET", "/none/x", "a1", "", "")).await;
    assert_eq!(client.answer().await.expect("an answer").status, 503);
    assert!(!running.gateway.is_ready());
    assert_eq!(endpoint.request_count(), 1);
    running.source.set_fault(None);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&running).await, 200);
}

/// Guards against a configuration that goes back to an older version.
#[tokio::test]
async fn an_older_configuration_version_is_not_activated() {
    let (running, _) = start_gateway().await;
    running.source.publish_configuration(2, Vec::new(), &[]);
    wait_for_changes(&running).await;
    assert_eq!(status(&running).await, 200);
}

/// Guards against changes that are missed because the source no longer has its history.
#[tokio::test]
async fn lost_history_causes_a_full_read() {
    let (running, endpoint) = start_gateway().await;
    let before = running.source.full_reads();
    running.source.set_fault(Some(SourceError::HistoryLost));
    running
        .source
        .publish_draining("e-0", "plain", endpoint.address);
    wait_for_calls().await;
    running.source.set_fault(None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(running.source.full_reads() > before);
    assert_eq!(status(&running).await, 503, "the only endpoint drains");
    assert_eq!(endpoint.request_count(), 0);
}

/// Returns a daemon after an outage of the source in which the record `removed` was lost.
async fn gateway_after_outage(
    settings: GatewaySettings,
    removed: &str,
) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    let routes = vec![plain_route("often", Idempotent, 2)];
    source.publish_configuration(3, routes, &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let running = start_with(source, settings).await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    running.source.remove_endpoint(removed);
    running.source.set_fault(None);
    (running, endpoint)
}

/// Waits until the daemon has a proof again, within the time for a change.
async fn wait_until_ready(running: &RunningGateway) {
    let limit = support::settings().freshness.config_apply_ms.as_std();
    let ready = async {
        while !running.gateway.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(limit, ready).await;
    waited.expect("the daemon has a proof again");
}

/// Guards against endpoints that get no requests after an outage, because their leases expired
/// while they couldn't renew them.
#[tokio::test]
async fn a_record_lost_in_an_outage_may_come_back() {
    // Long enough that the endpoint is still in use when it is asked for.
    let grace = DurationMs(2_400);
    let settings = GatewaySettings {
        lapse_grace_ms: grace,
        ..support::settings()
    };
    let (running, endpoint) = gateway_after_outage(settings, "e-0").await;
    wait_until_ready(&running).await;
    assert_eq!(
        status(&running).await,
        200,
        "the endpoint is used meanwhile"
    );
    running
        .source
        .publish_endpoint("e-0", "plain", endpoint.address);
    tokio::time::sleep(grace.as_std() + Duration::from_millis(400)).await;
    assert_eq!(status(&running).await, 200, "the record is back");
}

/// Guards against an endpoint that is kept after its record was lost in an outage and didn't come
/// back.
#[tokio::test]
async fn an_endpoint_is_dropped_when_its_record_does_not_come_back() {
    let (running, _endpoint) = gateway_after_outage(support::settings(), "e-0").await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&running).await, 503);
}

/// Starts a daemon that hasn't read the source yet.
async fn start_unready_gateway(full_read: Duration) -> (std::net::SocketAddr, ScriptedSource) {
    let source = ScriptedSource::new();
    source.publish_configuration(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.delay_full_reads(full_read);
    let meter = opentelemetry::global::meter("test");
    let gateway = Gateway::new(support::settings(), support::names(), &meter);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(follow_control_source(gateway.clone(), source.clone()));
    tokio::spawn(serve_clients(gateway, listener));
    (address, source)
}

/// Guards against a refusal when the daemon is about to read its first configuration.
#[tokio::test]
async fn a_request_waits_for_a_start_unready_gateway() {
    let (address, source) = start_unready_gateway(Duration::from_millis(200)).await;
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let mut client = Client::connect(address).await;
    client.send(&request("GET", "/often/x", "a1", "", "")).await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
}

/// Guards against a request that spends its whole deadline waiting for a daemon that starts.
#[tokio::test]
async fn a_request_waits_for_at_most_a_quarter_of_its_deadline() {
    let (address, _source) = start_unready_gateway(Duration::from_millis(1_500)).await;
    let mut client = Client::connect(address).await;
    let started_at = tokio::time::Instant::now();
    let deadline = "x-deadline: 400\r\n";
    client
        .send(&request("GET", "/often/x", "a1", deadline, ""))
        .await;
    let response = client.answer().await.expect("an answer");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(
        started_at.elapsed() < Duration::from_millis(350),
        "a quarter of the deadline"
    );
}

/// Guards against a full read that never succeeds: with a fixed timeout of two seconds it was given
/// up and started again forever.
#[tokio::test]
async fn a_slow_full_read_succeeds_with_a_longer_timeout() {
    let full_reads = full_reads_until_ready(Duration::from_millis(2_500), 1).await;
    assert_eq!(full_reads, 2, "the second read has a longer timeout");
}

/// Guards against a timeout for a large fleet's state, which comes in many parts: the timeout is
/// for each part, not for all of them.
#[tokio::test]
async fn a_full_read_of_many_parts_does_not_time_out() {
    let full_reads = full_reads_until_ready(Duration::from_millis(4_500), 9).await;
    assert_eq!(full_reads, 1);
}

/// Returns how often a starting daemon reads the full state until it is ready.
async fn full_reads_until_ready(duration: Duration, parts: u32) -> usize {
    let source = ScriptedSource::new();
    source.publish_configuration(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.delay_full_reads_in_parts(duration, parts);
    let settings = GatewaySettings {
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(10_000),
            config_apply_ms: DurationMs(10_000),
            max_stale_age_ms: DurationMs(10_000),
        },
        ..support::settings()
    };
    let limit = Duration::from_secs(10);
    let started = tokio::time::timeout(limit, start_with(source, settings));
    let running = started.await.expect("the daemon becomes ready");
    running.source.full_reads()
}

/// Guards against requests to an endpoint that drains or was removed.
#[tokio::test]
async fn a_draining_or_removed_endpoint_gets_no_requests() {
    let (running, endpoint) = start_gateway().await;
    running
        .source
        .publish_draining("e-0", "plain", endpoint.address);
    wait_for_changes(&running).await;
    assert_eq!(status(&running).await, 503);
    running
        .source
        .publish_endpoint("e-1", "plain", endpoint.address);
    wait_for_changes(&running).await;
    assert_eq!(status(&running).await, 200);
    running.source.remove_endpoint("e-1");
    wait_for_changes(&running).await;
    assert_eq!(status(&running).await, 503);
}

/// Returns settings that allow serving with a proof up to three seconds old.
fn settings_allowing_stale() -> GatewaySettings {
    let mut settings = support::settings();
    settings.freshness.max_stale_age_ms = DurationMs(3_000);
    settings
}

async fn start_gateway_allowing_stale() -> (RunningGateway, Endpoint) {
    start_gateway_with(settings_allowing_stale()).await
}

async fn status_of(running: &RunningGateway, path: &str, key: &str) -> u16 {
    let head = request("GET", path, "a1", "", "").replace(KEY, key);
    status_of_text(running, &head).await
}

async fn status_of_text(running: &RunningGateway, text: &str) -> u16 {
    let mut client = Client::connect(running.address).await;
    client.send(text).await;
    client.answer().await.expect("an answer").status
}

/// Makes the source fail, and waits longer than the lifetime of a proof.
async fn let_proof_expire(running: &RunningGateway) {
    running.source.set_fault(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
}

/// Guards against a daemon that stops serving while stale configurations are allowed, or that
/// denies requests by one.
#[tokio::test]
async fn a_stale_configuration_serves_but_denies_nothing_for_good() {
    let (running, endpoint) = start_gateway_allowing_stale().await;
    let_proof_expire(&running).await;
    assert!(running.gateway.is_ready());
    assert_eq!(status_of(&running, "/often/x", KEY).await, 200);
    assert_eq!(endpoint.request_count(), 1);
    // A route or a key may have been added meanwhile.
    assert_eq!(status_of(&running, "/none/x", KEY).await, 503);
    assert_eq!(status_of(&running, "/often/x", "key-9").await, 503);
}

/// Guards against serving with a configuration older than the settings allow.
#[tokio::test]
async fn a_configuration_that_is_too_old_serves_nothing() {
    let (running, endpoint) = start_gateway_allowing_stale().await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    assert!(!running.gateway.is_ready());
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against changes that are missed because they were made during an outage.
#[tokio::test]
async fn changes_during_an_outage_are_active_after_it() {
    let (running, endpoint) = start_gateway_allowing_stale().await;
    let_proof_expire(&running).await;
    let routes = vec![
        plain_route("often", Idempotent, 2),
        plain_route("new", Idempotent, 2),
    ];
    running
        .source
        .publish_configuration(4, routes, &[OTHER_KEY]);
    running
        .source
        .publish_endpoint("e-1", "plain", endpoint.address);
    running
        .source
        .publish_draining("e-0", "plain", endpoint.address);
    assert_eq!(
        status_of(&running, "/often/x", KEY).await,
        200,
        "the removal isn't known yet"
    );
    running.source.set_fault(None);
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status_of(&running, "/often/x", KEY).await, 401);
    assert_eq!(status_of(&running, "/new/x", OTHER_KEY).await, 200);
}

/// Returns settings in which a proof is valid for longer than a change may take.
fn settings_with_long_proofs() -> GatewaySettings {
    let mut settings = support::settings();
    settings.freshness.config_apply_ms = DurationMs(1_000);
    settings.freshness.proof_lifetime_ms = DurationMs(6_000);
    settings.freshness.max_stale_age_ms = DurationMs(6_000);
    settings
}

/// Guards against 404 and 401 for a confirmed route and key at a daemon that is cut off: its proof is still
/// valid, but older than the time within which the change must be in force.
#[tokio::test]
async fn a_daemon_that_may_lack_a_change_in_force_denies_nothing() {
    let (running, _endpoint) = start_gateway_with(settings_with_long_proofs()).await;
    assert_eq!(status_of(&running, "/new/x", KEY).await, 404);
    assert_eq!(status_of(&running, "/often/x", "key-9").await, 401);
    running.source.set_fault(Some(SourceError::NoAnswer));
    let routes = vec![
        plain_route("often", Idempotent, 2),
        plain_route("new", Idempotent, 2),
    ];
    running
        .source
        .publish_configuration(4, routes, &[KEY, OTHER_KEY, "key-9"]);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(status_of(&running, "/new/x", KEY).await, 503);
    assert_eq!(status_of(&running, "/often/x", "key-9").await, 503);
    assert_eq!(status_of(&running, "/often/x", KEY).await, 200);
    running.source.set_fault(None);
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status_of(&running, "/new/x", KEY).await, 200);
    assert_eq!(status_of(&running, "/none/x", KEY).await, 404);
}

/// Guards against 401 without a key and 413 at a daemon that is cut off: the route may have become public,
/// and the limit on bodies may have been raised.
#[tokio::test]
async fn a_daemon_that_may_lack_a_change_in_force_refuses_neither_key_nor_body_for_good() {
    let (running, endpoint) = start_gateway_with(settings_with_long_proofs()).await;
    let without_key = request("GET", "/often/x", "a1", "", "").replace("authorization", "x-other");
    let long = "content-length: 1000000\r\n";
    let with_long_body = request("POST", "/often/x", "a2", long, "");
    assert_eq!(status_of_text(&running, &without_key).await, 401);
    assert_eq!(status_of_text(&running, &with_long_body).await, 413);
    running.source.set_fault(Some(SourceError::NoAnswer));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(status_of_text(&running, &without_key).await, 503);
    assert_eq!(status_of_text(&running, &with_long_body).await, 503);
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against a daemon that counts as stale, and serves, before it has read any configuration.
#[tokio::test]
async fn a_daemon_without_a_configuration_refuses_all_requests() {
    let source = ScriptedSource::new();
    source.publish_configuration(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    source.set_fault(Some(SourceError::NoAnswer));
    let meter = opentelemetry::global::meter("test");
    let gateway = Gateway::new(settings_allowing_stale(), support::names(), &meter);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the address of the listener");
    tokio::spawn(follow_control_source(gateway.clone(), source.clone()));
    tokio::spawn(serve_clients(gateway.clone(), listener));
    let running = RunningGateway {
        gateway,
        source,
        address,
    };
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(status_of(&running, "/none/x", KEY).await, 503);
    assert!(!running.gateway.is_ready());
}

/// Guards against requests to an endpoint that was seen draining before an outage.
#[tokio::test]
async fn a_draining_endpoint_gets_no_requests_in_an_outage() {
    let (running, endpoint) = start_gateway_allowing_stale().await;
    running
        .source
        .publish_draining("e-0", "plain", endpoint.address);
    wait_for_changes(&running).await;
    let_proof_expire(&running).await;
    assert_eq!(status_of(&running, "/often/x", KEY).await, 503);
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against a daemon that serves with an outdated configuration after its VM was suspended:
/// its monotonic clock doesn't advance meanwhile, though keys are removed and endpoints leave.
#[tokio::test]
async fn proofs_age_while_the_vm_is_suspended() {
    let source = ScriptedSource::new();
    source.publish_configuration(3, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let script = ClockScript::leaked();
    let clock = Clock::scripted(script);
    let running = support::start_with_clock(clock, source, support::settings()).await;
    assert_eq!(status(&running).await, 200);
    running.source.set_fault(Some(SourceError::NoAnswer));
    script.add_suspension(DurationMs(5_000));
    assert!(!running.gateway.is_ready());
    assert_eq!(status(&running).await, 503);
    assert_eq!(endpoint.request_count(), 1);
    running.source.set_fault(None);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&running).await, 200);
}

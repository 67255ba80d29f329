//! Tests that an endpoint which starts again with the same id has no state of its earlier
//! incarnation, and that late records of that incarnation change nothing.

mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::sync::Arc;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{IncarnationRecord, KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};

const STARTED_AT: u64 = 1_780_000_000_000;

fn incarnation(started_at: u64, sequence: u64) -> IncarnationRecord {
    IncarnationRecord {
        started_at: Some(started_at),
        sequence,
        is_draining: false,
    }
}

async fn start_gateway(first: IncarnationRecord) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_incarnation("e-0", "plain", endpoint.address, first);
    (start(source).await, endpoint)
}

async fn wait_for_update() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

fn only_endpoint(running: &RunningGateway) -> Arc<bridgevane_gateway::Endpoint> {
    let directory = running.gateway.control.directory();
    let service = directory.service(&"plain".into()).expect("the service");
    assert_eq!(service.all.len(), 1);
    service.all[0].clone()
}

async fn status(running: &RunningGateway) -> Option<u16> {
    let mut client = Client::connect(running.address).await;
    let text = request("GET", "/often/x", "a1", "x-deadline: 700\r\n", "");
    client.send(&text).await;
    Some(client.answer().await?.status)
}

/// Guards against ejections, cached prompts and load that are attributed to a new process.
#[tokio::test]
async fn a_later_incarnation_has_no_state_of_the_earlier_one() {
    let (running, _first) = start_gateway(incarnation(STARTED_AT, 900)).await;
    assert_eq!(status(&running).await, Some(200));
    let before = only_endpoint(&running);
    let now = running.gateway.clock.now();
    before.health.on_lost(now);
    before.health.on_failed(now);
    let second = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    // Its sequence starts again.
    running.source.publish_incarnation(
        "e-0",
        "plain",
        second.address,
        incarnation(STARTED_AT + 4_000, 1),
    );
    wait_for_update().await;
    let after = only_endpoint(&running);
    assert_ne!(
        after.index, before.index,
        "prompts that the earlier incarnation read aren't cached"
    );
    assert_ne!(
        after.hash, before.hash,
        "load reported for the earlier incarnation isn't its own"
    );
    assert_eq!(after.health.snapshot(now).failure_share, 0.0);
    assert_eq!(status(&running).await, Some(200));
    assert_eq!(second.request_count(), 1, "it gets requests at once");
}

/// Guards against records that arrive out of order.
#[tokio::test]
async fn a_late_record_of_an_earlier_incarnation_changes_nothing() {
    let (running, second) = start_gateway(incarnation(STARTED_AT + 4_000, 3)).await;
    let gone = Endpoint::start(|_| vec![Action::Hang]).await;
    let leaving = IncarnationRecord {
        is_draining: true,
        ..incarnation(STARTED_AT, 1_000)
    };
    running
        .source
        .publish_incarnation("e-0", "plain", gone.address, leaving);
    wait_for_update().await;
    assert_eq!(status(&running).await, Some(200));
    // A record of the same incarnation, written before the known one and delivered after it.
    running.source.publish_incarnation(
        "e-0",
        "plain",
        gone.address,
        incarnation(STARTED_AT + 4_000, 2),
    );
    wait_for_update().await;
    assert_eq!(status(&running).await, Some(200));
    assert_eq!((second.request_count(), gone.request_count()), (2, 0));
}

/// Guards against heartbeats that use most of a daemon's time: with ten thousand endpoints, each
/// would check all of them.
#[tokio::test]
async fn a_heartbeat_does_not_rebuild_the_directory() {
    let (running, endpoint) = start_gateway(incarnation(STARTED_AT, 1)).await;
    let before = running.gateway.control.directory();
    running.source.publish_incarnation(
        "e-0",
        "plain",
        endpoint.address,
        incarnation(STARTED_AT, 2),
    );
    wait_for_update().await;
    let after = running.gateway.control.directory();
    assert!(
        Arc::ptr_eq(&before, &after),
        "the same endpoints may get requests"
    );
    let leaving = IncarnationRecord {
        is_draining: true,
        ..incarnation(STARTED_AT, 3)
    };
    running
        .source
        .publish_incarnation("e-0", "plain", endpoint.address, leaving);
    wait_for_update().await;
    let directory = running.gateway.control.directory();
    assert!(directory.service(&"plain".into()).is_none());
}

/// Guards against a new endpoint for each record if endpoints don't report when they started.
#[tokio::test]
async fn without_a_start_time_a_record_updates_the_same_endpoint() {
    let without_start_time = |sequence| IncarnationRecord {
        started_at: None,
        sequence,
        is_draining: false,
    };
    let (running, endpoint) = start_gateway(without_start_time(1)).await;
    let before = only_endpoint(&running);
    running
        .source
        .publish_incarnation("e-0", "plain", endpoint.address, without_start_time(2));
    wait_for_update().await;
    assert_eq!(only_endpoint(&running).index, before.index);
}

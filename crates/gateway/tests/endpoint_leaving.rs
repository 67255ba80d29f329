//! Tests that an endpoint which announces in its answers that it is leaving gets no new requests in
//! this incarnation, whatever the control source says about it.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
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

fn leaving() -> Vec<Action> {
    vec![Action::Send(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nx-leaving: 1\r\ncontent-length: 4\r\n\r\nfine".into(),
    )]
}

fn fine() -> Vec<Action> {
    vec![answer("200 OK", "fine")]
}

fn full() -> Vec<Action> {
    let head = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    vec![Action::Send(head.into())]
}

/// Starts a gateway with endpoints of one service, in their first incarnation.
async fn start_gateway(endpoints: &[&Endpoint]) -> RunningGateway {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    for (at, endpoint) in endpoints.iter().enumerate() {
        let id = format!("e-{at}");
        source.publish_incarnation(&id, "plain", endpoint.address, incarnation(STARTED_AT, 1));
    }
    start(source).await
}

async fn ask(running: &RunningGateway) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/once/x", "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

async fn wait_for_update() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

/// Starts a gateway whose only endpoint has announced to it that it is leaving.
async fn start_with_leaving_endpoint() -> (RunningGateway, Endpoint) {
    let endpoint = Endpoint::start(|_| leaving()).await;
    let running = start_gateway(&[&endpoint]).await;
    assert_eq!(ask(&running).await.status, 200);
    (running, endpoint)
}

/// Guards against requests to an endpoint that is leaving before its record can say so, and against
/// using it again because no other is left.
#[tokio::test]
async fn an_endpoint_that_announces_that_it_is_leaving_gets_no_new_requests() {
    let (running, endpoint) = start_with_leaving_endpoint().await;
    let refused = ask(&running).await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(endpoint.request_count(), 1);
}

/// Guards against retries of requests that another endpoint rejected.
#[tokio::test]
async fn no_retry_goes_to_a_leaving_endpoint() {
    let (running, endpoint) = start_with_leaving_endpoint().await;
    let other = Endpoint::start(|_| full()).await;
    running
        .source
        .publish_incarnation("e-1", "plain", other.address, incarnation(STARTED_AT, 1));
    wait_for_update().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!((other.request_count(), endpoint.request_count()), (1, 1));
}

/// Guards against an older record, or a new configuration, that makes a leaving endpoint available
/// again.
#[tokio::test]
async fn a_later_record_of_the_same_incarnation_changes_nothing() {
    let (running, endpoint) = start_with_leaving_endpoint().await;
    running.source.publish_incarnation(
        "e-0",
        "plain",
        endpoint.address,
        incarnation(STARTED_AT, 2),
    );
    let routes = vec![plain_route("once", AtMostOnce, 1)];
    running.source.publish_configuration(2, routes, &[KEY]);
    wait_for_update().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(endpoint.request_count(), 1);
}

/// Guards against a record that is lost and returns, for which the daemon creates the endpoint
/// again.
#[tokio::test]
async fn a_leaving_endpoint_whose_record_returns_is_still_leaving() {
    let (running, endpoint) = start_with_leaving_endpoint().await;
    running.source.remove_endpoint("e-0");
    wait_for_update().await;
    running.source.publish_incarnation(
        "e-0",
        "plain",
        endpoint.address,
        incarnation(STARTED_AT, 2),
    );
    wait_for_update().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(endpoint.request_count(), 1);
}

/// Guards against an announcement of the earlier incarnation, or of another endpoint at the
/// address, that keeps requests from a healthy one.
#[tokio::test]
async fn a_later_incarnation_and_another_endpoint_at_the_address_get_requests() {
    let (running, endpoint) = start_with_leaving_endpoint().await;
    let next = Endpoint::start(|_| fine()).await;
    running.source.publish_incarnation(
        "e-0",
        "plain",
        next.address,
        incarnation(STARTED_AT + 4_000, 1),
    );
    wait_for_update().await;
    assert_eq!(ask(&running).await.status, 200);
    running.source.remove_endpoint("e-0");
    running
        .source
        .publish_incarnation("e-1", "plain", next.address, incarnation(STARTED_AT, 1));
    wait_for_update().await;
    assert_eq!(ask(&running).await.status, 200);
    assert_eq!((endpoint.request_count(), next.request_count()), (1, 2));
}

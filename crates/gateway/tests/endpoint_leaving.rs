//! An endpoint that says in its answers that it leaves gets nothing new in this life, whatever the control source says of it.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use std::time::Duration;
use support::client::{Client, Got, request};
use support::endpoint::{Act, Endpoint, answer};
use support::source::{KEY, Life, ScriptedSource, plain_route};
use support::{Running, start};

const BORN: u64 = 1_780_000_000_000;

fn life(born: u64, sequence: u64) -> Life {
    Life {
        born: Some(born),
        sequence,
        is_draining: false,
    }
}

fn leaving() -> Vec<Act> {
    vec![Act::Send(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nx-leaving: 1\r\ncontent-length: 4\r\n\r\nfine".into(),
    )]
}

fn fine() -> Vec<Act> {
    vec![answer("200 OK", "fine")]
}

fn full() -> Vec<Act> {
    let head = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    vec![Act::Send(head.into())]
}

/// A gateway before endpoints of one service, in their first life.
async fn stage(endpoints: &[&Endpoint]) -> Running {
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    for (at, endpoint) in endpoints.iter().enumerate() {
        let id = format!("e-{at}");
        source.life(&id, "plain", endpoint.address, life(BORN, 1));
    }
    start(source).await
}

async fn ask(running: &Running) -> Got {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/once/x", "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

/// A gateway that an endpoint has told that it leaves; there is no other.
async fn told() -> (Running, Endpoint) {
    let endpoint = Endpoint::start(|_| leaving()).await;
    let running = stage(&[&endpoint]).await;
    assert_eq!(ask(&running).await.status, 200);
    (running, endpoint)
}

/// Guards against requests at an endpoint that is leaving while its record can't say so yet, and against one that is let in
/// again since no other is left.
#[tokio::test]
async fn an_endpoint_that_says_that_it_leaves_gets_nothing_new() {
    let (running, endpoint) = told().await;
    let refused = ask(&running).await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(endpoint.count(), 1);
}

/// Guards against retries of requests that another endpoint turned away.
#[tokio::test]
async fn no_retry_goes_to_an_endpoint_that_leaves() {
    let (running, endpoint) = told().await;
    let other = Endpoint::start(|_| full()).await;
    running
        .source
        .life("e-1", "plain", other.address, life(BORN, 1));
    settle().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!((other.count(), endpoint.count()), (1, 1));
}

/// Guards against an older record, or a new configuration, that brings a leaving endpoint back.
#[tokio::test]
async fn a_later_record_of_the_same_life_changes_nothing() {
    let (running, endpoint) = told().await;
    running
        .source
        .life("e-0", "plain", endpoint.address, life(BORN, 2));
    let routes = vec![plain_route("once", AtMostOnce, 1)];
    running.source.configure(2, routes, &[KEY]);
    settle().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(endpoint.count(), 1);
}

/// Guards against a record that is lost and comes back, for which the endpoint is made anew.
#[tokio::test]
async fn a_leaving_endpoint_whose_record_comes_back_still_leaves() {
    let (running, endpoint) = told().await;
    running.source.gone("e-0");
    settle().await;
    running
        .source
        .life("e-0", "plain", endpoint.address, life(BORN, 2));
    settle().await;
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(endpoint.count(), 1);
}

/// Guards against a word of the earlier life, or of another endpoint at the address, that keeps work from a sound one.
#[tokio::test]
async fn a_later_life_and_another_endpoint_at_the_address_get_work() {
    let (running, endpoint) = told().await;
    let next = Endpoint::start(|_| fine()).await;
    running
        .source
        .life("e-0", "plain", next.address, life(BORN + 4_000, 1));
    settle().await;
    assert_eq!(ask(&running).await.status, 200);
    running.source.gone("e-0");
    running
        .source
        .life("e-1", "plain", next.address, life(BORN, 1));
    settle().await;
    assert_eq!(ask(&running).await.status, 200);
    assert_eq!((endpoint.count(), next.count()), (1, 2));
}

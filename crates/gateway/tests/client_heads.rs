//! Heads of requests that arrive slowly or not at all.

mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, settings, start_with};
use tokio::time::sleep;

/// Longer than a head may take by the configuration of these tests, and shorter than a connection may rest.
const AFTER_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);

async fn start_gateway() -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    (start_with(source, settings()).await, endpoint)
}

/// Guards against heads without end that are held for as long as a connection may rest: nothing bounded the
/// time of a head.
#[tokio::test]
async fn a_head_that_does_not_arrive_in_its_time_ends_its_connection() {
    let (running, _endpoint) = start_gateway().await;
    let text = request("POST", "/often/x", "a1", "", "small");
    let mut begun = Client::connect(running.address).await;
    begun.send(&text[..text.len() / 2]).await;
    assert!(begun.is_closed_within(AFTER_HEAD_TIMEOUT).await);
    // The same on a connection that has carried a request.
    let mut reused = Client::connect(running.address).await;
    reused.send(&text).await;
    assert_eq!(reused.answer().await.expect("an answer").status, 200);
    reused.send(&text[..text.len() / 2]).await;
    assert!(reused.is_closed_within(AFTER_HEAD_TIMEOUT).await);
}

/// Guards against a time for heads that counts while a connection rests, or while a body arrives.
#[tokio::test]
async fn a_connection_may_rest_for_longer_than_a_head_may_take() {
    let (running, _endpoint) = start_gateway().await;
    let mut client = Client::connect(running.address).await;
    for at in 0..2 {
        sleep(AFTER_HEAD_TIMEOUT).await;
        let text = request("POST", "/often/x", &format!("a{at}"), "", "small");
        client.send(&text).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
    let framing = "content-length: 10\r\n";
    client
        .send(&request("POST", "/often/x", "b1", framing, ""))
        .await;
    sleep(Duration::from_millis(1_500)).await;
    client.send_part(framing, 10).await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
}

/// Guards against a connection that is closed for a late head though its client rests: what had arrived after
/// the answer was the rest of a body that wasn't read, since its request was refused by its head.
#[tokio::test]
async fn the_rest_of_an_unread_body_is_no_head() {
    let (running, _endpoint) = start_gateway().await;
    for (path, status, length) in [("/often/x", 413, 100_010), ("/nowhere/x", 404, 9_000)] {
        let mut client = Client::connect(running.address).await;
        let framing = format!("content-length: {length}\r\n");
        client
            .send(&request("POST", path, "a1", &framing, ""))
            .await;
        client.send_part(&framing, length).await;
        assert_eq!(client.answer().await.expect("an answer").status, status);
        sleep(AFTER_HEAD_TIMEOUT).await;
        client
            .send(&request("POST", "/often/x", "a2", "", "small"))
            .await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
}

//! Clients whose bodies are refused while they send them.

mod support;

use bridgevane_gateway::GatewaySettings;
use bridgevane_gateway::Repeatability::Idempotent;
use bridgevane_types::Bytes;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, settings, start_with};
use tokio::time::sleep;

/// The memory for bodies: two of the length below, and an eighth for small ones.
const MEMORY: Bytes = Bytes(240_000);
const LARGE: usize = 100_000;
/// Longer than any body that the configuration allows.
const OVER_LIMIT: usize = 4_000_000;

async fn start_gateway() -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let settings = GatewaySettings {
        max_buffered_bytes: MEMORY,
        ..settings()
    };
    (start_with(source, settings).await, endpoint)
}

async fn begin(running: &RunningGateway, id: &str, framing: &str) -> Client {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/often/x", id, framing, ""))
        .await;
    client
}

/// Guards against a refusal that is lost because the connection is reset under a client that still sends.
#[tokio::test]
async fn a_client_that_still_sends_reads_that_its_body_is_too_long() {
    let (running, endpoint) = start_gateway().await;
    for framing in [
        format!("content-length: {OVER_LIMIT}\r\n"),
        "transfer-encoding: chunked\r\n".to_owned(),
    ] {
        let mut client = begin(&running, "a1", &framing).await;
        let parts = if framing.contains("chunked") { 2 } else { 1 };
        for _ in 0..parts {
            client.send_part(&framing, LARGE).await;
        }
        // The rest of the body is on its way while the refusal is sent.
        sleep(Duration::from_millis(200)).await;
        client.send_part(&framing, LARGE).await;
        let got = client.answer().await.expect("an answer");
        assert_eq!(got.status, 413, "{framing}");
        assert!(got.is_whole, "{framing}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against a client that is told to send a body which is refused already.
#[tokio::test]
async fn a_client_that_asks_first_is_not_told_to_send_a_refused_body() {
    let (running, _endpoint) = start_gateway().await;
    let length = format!("content-length: {LARGE}\r\n");
    let mut holders = Vec::new();
    for at in 0..2 {
        let mut client = begin(&running, &format!("a{at}"), &length).await;
        client.send_part(&length, LARGE - 1).await;
        holders.push(client);
    }
    sleep(Duration::from_millis(50)).await;
    let mut asking = begin(&running, "b1", &format!("{length}expect: 100-continue\r\n")).await;
    let got = asking.answer().await.expect("an answer");
    assert_eq!(got.status, 503, "{}", got.head);
    assert!(got.header("retry-after").is_some(), "{}", got.head);
}

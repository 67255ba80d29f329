//! Bodies of requests while they arrive: the memory that they use together, and who waits for it.

mod support;

use bridgevane_gateway::GatewaySettings;
use bridgevane_gateway::Repeatability::Idempotent;
use bridgevane_types::Bytes;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, settings, start_with};
use tokio::time::{Instant, sleep, timeout};

/// The memory for all bodies: five large ones of the length below, and an eighth for small ones.
const MEMORY: Bytes = Bytes(600_000);
const LARGE: usize = 100_000;
const PART: usize = 10_000;

async fn start_gateway(work: Duration) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 1)], &[KEY]);
    let script = move |_| vec![Action::Wait(work), answer("200 OK", "fine")];
    let endpoint = Endpoint::start(script).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let settings = GatewaySettings {
        max_buffered_bytes: MEMORY,
        ..settings()
    };
    (start_with(source, settings).await, endpoint)
}

/// Sends the head of a request with a body of this length.
async fn begin(running: &RunningGateway, id: &str, framing: &str) -> Client {
    let mut client = Client::connect(running.address).await;
    let extra = format!("x-deadline: 4000\r\n{framing}");
    client
        .send(&request("POST", "/often/x", id, &extra, ""))
        .await;
    client
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n")
}

/// Returns the answer to a small request.
async fn small(running: &RunningGateway, id: &str) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    let text = request("POST", "/often/x", id, "x-deadline: 4000\r\n", "small");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

/// Bodies that were still arriving weren't counted, so that a burst of uploads took the process over
/// the memory of its VM.
#[tokio::test]
async fn bodies_that_are_arriving_are_bounded_and_the_others_are_told_when_to_come_back() {
    for framing in [length(LARGE), "transfer-encoding: chunked\r\n".to_owned()] {
        let (running, endpoint) = start_gateway(Duration::ZERO).await;
        let mut clients = Vec::new();
        for at in 0..12 {
            let mut client = begin(&running, &format!("a{at}"), &framing).await;
            // All but the last part.
            for _ in 0..LARGE / PART - 1 {
                client.send_part(&framing, PART).await;
            }
            clients.push(client);
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        let mut statuses = Vec::new();
        for client in &mut clients {
            client.send_part(&framing, PART).await;
            client.end_parts(&framing).await;
            let got = client.answer().await.expect("an answer");
            if got.status == 503 {
                assert!(got.header("retry-after").is_some(), "{}", got.head);
            }
            statuses.push(got.status);
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert_eq!(served + refused, 12, "{framing}: {statuses:?}");
        // 525,000 bytes hold five of them.
        assert!((3..=5).contains(&served), "{framing}: {statuses:?}");
        assert_eq!(endpoint.request_count(), served);
        // All memory was given back.
        let mut client = begin(&running, "b1", &length(LARGE)).await;
        client.send(&"x".repeat(LARGE)).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
}

/// Small requests waited behind large bodies, or were refused because of them.
#[tokio::test]
async fn small_bodies_wait_for_no_large_ones() {
    let (running, _endpoint) = start_gateway(Duration::ZERO).await;
    let mut clients = Vec::new();
    for at in 0..8 {
        let mut client = begin(&running, &format!("a{at}"), &length(LARGE)).await;
        client.send(&"x".repeat(LARGE - PART)).await;
        clients.push(client);
    }
    for at in 0..20 {
        let asked_at = Instant::now();
        assert_eq!(small(&running, &format!("s{at}")).await.status, 200);
        assert!(asked_at.elapsed() < Duration::from_millis(200));
    }
}

/// A body waits unread for a moment, so that a client needn't send it twice.
#[tokio::test]
async fn a_body_that_fits_soon_waits_for_the_memory() {
    let (running, _endpoint) = start_gateway(Duration::from_millis(150)).await;
    let mut clients = Vec::new();
    for at in 0..7 {
        let mut client = begin(&running, &format!("a{at}"), &length(LARGE)).await;
        client.send(&"x".repeat(LARGE)).await;
        clients.push(client);
    }
    for client in &mut clients {
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
}

/// Clients that send next to nothing held the memory of their whole bodies until their deadlines.
#[tokio::test]
async fn clients_that_trickle_keep_nobody_out() {
    let (running, _endpoint) = start_gateway(Duration::ZERO).await;
    let mut tricklers = Vec::new();
    for at in 0..40 {
        let mut client = begin(&running, &format!("t{at}"), &length(LARGE)).await;
        client.send("x").await;
        tricklers.push(client);
    }
    sleep(Duration::from_millis(700)).await;
    let mut statuses = Vec::new();
    for at in 0..10 {
        let mut client = begin(&running, &format!("a{at}"), &length(LARGE)).await;
        client.send(&"x".repeat(LARGE)).await;
        statuses.push(client.answer().await.expect("an answer").status);
    }
    // The first ones may come while the tricklers still have their grace.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served >= 8, "{statuses:?}");
}

/// The end of a client's connection gives its memory back.
#[tokio::test]
async fn a_client_that_leaves_while_it_sends_gives_its_memory_back() {
    let (running, _endpoint) = start_gateway(Duration::ZERO).await;
    for round in 0..5 {
        for at in 0..5 {
            let mut client = begin(&running, &format!("a{round}{at}"), &length(LARGE)).await;
            client.send(&"x".repeat(LARGE - 1)).await;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let mut client = begin(&running, "b1", &length(LARGE)).await;
    client.send(&"x".repeat(LARGE)).await;
    let got = timeout(Duration::from_secs(2), client.answer()).await;
    assert_eq!(got.expect("in time").expect("an answer").status, 200);
}

/// Requests without a body announce no length, like chunked ones, and would reserve memory that large
/// bodies use.
#[tokio::test]
async fn requests_without_a_body_wait_for_no_memory() {
    let (running, _endpoint) = start_gateway(Duration::ZERO).await;
    let mut clients = Vec::new();
    for at in 0..8 {
        let mut client = begin(&running, &format!("a{at}"), &length(LARGE)).await;
        client.send(&"x".repeat(LARGE - PART)).await;
        clients.push(client);
    }
    sleep(Duration::from_millis(50)).await;
    for at in 0..20 {
        let mut client = Client::connect(running.address).await;
        let asked_at = Instant::now();
        let text = request(
            "GET",
            "/often/x",
            &format!("g{at}"),
            "x-deadline: 4000\r\n",
            "",
        );
        client.send(&text).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
        assert!(asked_at.elapsed() < Duration::from_millis(200));
    }
}

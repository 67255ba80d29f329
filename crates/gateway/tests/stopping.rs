//! A planned stop loses no request.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::{GatewaySettings, SourceError, stop_gracefully};
use bridgevane_types::DurationMs;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, settings, start, start_with};

/// Starts a gateway with one endpoint, which handles every request by `actions`.
async fn start_gateway(actions: Vec<Action>) -> (RunningGateway, Endpoint) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let endpoint = Endpoint::start(move |_| actions.clone()).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    (start(source).await, endpoint)
}

/// Guards against a stop that cuts a running request.
#[tokio::test]
async fn a_request_in_progress_is_answered_before_the_process_exits() {
    let slow = vec![
        Action::Wait(Duration::from_millis(600)),
        answer("200 OK", "fine"),
    ];
    let (running, _) = start_gateway(slow).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("POST", "/once/x", "a1", "", "")).await;
    while running.gateway.in_progress() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stopping = tokio::spawn(stop_gracefully(running.gateway.clone()));
    let got = client.answer().await.expect("an answer");
    assert_eq!((got.status, got.header("connection")), (200, Some("close")));
    assert!(!running.gateway.is_ready());
    stopping.await.unwrap();
}

/// Guards against a stop that cuts a connection accepted shortly before the listener closes.
#[tokio::test]
async fn a_connection_accepted_during_the_stop_is_served_before_the_process_exits() {
    let slow = vec![
        Action::Wait(Duration::from_millis(400)),
        answer("200 OK", "fine"),
    ];
    let (running, _) = start_gateway(slow).await;
    let stopping = tokio::spawn(stop_gracefully(running.gateway.clone()));
    // Most of the balancer's delay, 150 ms in the settings, has passed.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("POST", "/once/x", "a1", "", "")).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(!stopping.is_finished(), "the answer is still pending");
    let got = client.answer().await.expect("an answer");
    assert_eq!(got.status, 200);
    stopping.await.unwrap();
}

/// Guards against a client that sends its next request on an idle connection to a daemon that exits.
#[tokio::test]
async fn an_idle_connection_is_closed_after_the_balancer_s_delay() {
    let (running, _) = start_gateway(vec![answer("200 OK", "fine")]).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("POST", "/once/x", "a1", "", "")).await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
    let stopping = tokio::spawn(stop_gracefully(running.gateway.clone()));
    assert!(client.is_closed_within(Duration::from_secs(1)).await);
    stopping.await.unwrap();
}

/// Guards against connections that are accepted during the stop and reset when the process exits.
#[tokio::test]
async fn after_a_stop_no_connection_is_open_and_new_ones_are_refused() {
    let (running, _) = start_gateway(vec![answer("200 OK", "fine")]).await;
    let stopping = tokio::spawn(stop_gracefully(running.gateway.clone()));
    // Clients with an outdated list of daemons connect until they are refused.
    let mut served = 0;
    while !stopping.is_finished() {
        if let Ok(stream) = tokio::net::TcpStream::connect(running.address).await {
            drop(stream);
            let mut client = Client::connect(running.address).await;
            client.send(&request("POST", "/once/x", "a1", "", "")).await;
            let got = client
                .answer()
                .await
                .expect("an accepted request is answered");
            assert_eq!(got.status, 200);
            served += 1;
        }
        tokio::time::sleep(Duration::from_millis(170)).await;
    }
    assert!(served > 0);
    assert_eq!(running.gateway.open_connections(), 0);
    let refused = tokio::net::TcpStream::connect(running.address).await;
    assert!(refused.is_err(), "the listener is closed");
}

/// Guards against a stop that cuts a request because the control source is unavailable and the proof
/// expires meanwhile.
#[tokio::test]
async fn a_stop_during_an_outage_of_the_source_answers_accepted_requests() {
    let slow = vec![
        Action::Wait(Duration::from_millis(900)),
        answer("200 OK", "fine"),
    ];
    let (running, _) = start_gateway(slow).await;
    running.source.set_fault(Some(SourceError::NoAnswer));
    let mut client = Client::connect(running.address).await;
    client.send(&request("POST", "/once/x", "a1", "", "")).await;
    while running.gateway.in_progress() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stopping = tokio::spawn(stop_gracefully(running.gateway.clone()));
    // The proof's lifetime and the balancer's delay pass before the answer arrives.
    tokio::time::sleep(Duration::from_millis(750)).await;
    assert!(!stopping.is_finished(), "the process must not exit yet");
    let got = client.answer().await.expect("an answer");
    assert_eq!(got.status, 200);
    stopping.await.unwrap();
}

/// Sends requests on new connections until connecting fails.
async fn send_until_refused(address: std::net::SocketAddr) {
    while let Ok(stream) = tokio::net::TcpStream::connect(address).await {
        drop(stream);
        let mut client = Client::connect(address).await;
        client.send(&request("POST", "/once/x", "a1", "", "")).await;
        let got = client
            .answer()
            .await
            .expect("an accepted request is answered");
        assert_eq!(got.status, 200);
    }
}

/// Guards against a stop that waits for its time limit because new clients keep connecting.
#[tokio::test]
async fn continuous_new_connections_do_not_delay_the_stop() {
    let slow = vec![
        Action::Wait(Duration::from_millis(100)),
        answer("200 OK", "fine"),
    ];
    let (running, _) = start_gateway(slow).await;
    for _ in 0..4 {
        tokio::spawn(send_until_refused(running.address));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let started = std::time::Instant::now();
    stop_gracefully(running.gateway.clone()).await;
    // The settings allow three seconds; the balancer's delay is 150 ms.
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(running.gateway.open_connections(), 0);
}

/// Guards against a request that may run once, is begun late in a stop and cut at its end: its client never
/// learns whether it ran.
#[tokio::test]
async fn a_request_that_may_run_once_is_not_begun_if_the_stop_could_cut_it() {
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
    ];
    let source = ScriptedSource::new();
    source.publish_configuration(1, routes, &[KEY]);
    let slow = vec![
        Action::Wait(Duration::from_millis(60)),
        answer("200 OK", "fine"),
    ];
    let endpoint = Endpoint::start(move |_| slow.clone()).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let settings = GatewaySettings {
        stop_ms: DurationMs(1_500),
        balancer_delay_ms: DurationMs(1_000),
        ..settings()
    };
    let running = start_with(source, settings).await;
    let mut clients = Vec::new();
    for _ in 0..3 {
        clients.push(Client::connect(running.address).await);
    }
    tokio::spawn(stop_gracefully(running.gateway.clone()));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let requests = [
        request("POST", "/once/x", "a1", "x-deadline: 1400\r\n", ""),
        request("POST", "/once/x", "a2", "x-deadline: 1000\r\n", ""),
        request("GET", "/often/x", "a3", "x-deadline: 1400\r\n", ""),
    ];
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(request).await;
    }
    let mut answers = Vec::new();
    for client in &mut clients {
        answers.push(client.answer().await.expect("an answer"));
    }
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [503, 200, 200]);
    assert!(answers[0].header("retry-after").is_some());
    assert_eq!(endpoint.request_count(), 2, "the refused one has not run");
}

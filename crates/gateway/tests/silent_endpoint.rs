//! Tests of an endpoint that is silent for a second and goes on: it is neither lost nor failing.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::set_options;
use socket2::SockRef;
use std::time::{Duration, Instant};
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};
use tokio::net::{TcpListener, TcpStream};

/// How long the endpoint is silent.
const SILENCE: Duration = Duration::from_millis(1_100);
const DEADLINE: &str = "x-deadline: 1900\r\n";

async fn send(running: &RunningGateway, id: &str) -> Client {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/once/x", id, DEADLINE, ""))
        .await;
    client
}

/// Guards against a daemon that breaks off a request under a silent endpoint, sends the next ones
/// after it into the silence, or holds the silence against the endpoint when it is over.
#[tokio::test]
async fn a_silence_of_a_second_costs_no_request_and_is_forgotten() {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let silent = Endpoint::start(|at| match at {
        0 => vec![Action::Wait(SILENCE), answer("200 OK", "late")],
        _ => vec![answer("200 OK", "fine")],
    })
    .await;
    source.publish_endpoint("e-0", "plain", silent.address);
    let running = start(source).await;
    let mut waiting = send(&running, "a0").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let work = Action::Wait(Duration::from_millis(50));
    let other = Endpoint::start(move |_| vec![work.clone(), answer("200 OK", "fine")]).await;
    running
        .source
        .publish_endpoint("e-1", "plain", other.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for at in 1..6 {
        let asked_at = Instant::now();
        let mut client = send(&running, &format!("a{at}")).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
        assert!(asked_at.elapsed() < Duration::from_millis(150));
    }
    assert_eq!(silent.request_count(), 1, "the others went elsewhere");
    assert_eq!(waiting.answer().await.expect("an answer").body, "late");
    let mut concurrent = Vec::new();
    for at in 6..14 {
        concurrent.push(send(&running, &format!("a{at}")).await);
    }
    for mut client in concurrent {
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
    assert!(silent.request_count() > 1, "it gets requests again");
}

/// Guards against connections that end within a second of silence. `TCP_USER_TIMEOUT` bounds how long
/// sent bytes stay unacknowledged, and on Linux also when keep-alive probes give up, whatever their
/// count: with probes, it would end idle connections, too.
#[tokio::test]
async fn no_option_of_a_connection_ends_it_within_a_second_of_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    set_options(&stream).unwrap();
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().unwrap();
    assert!(user_timeout.expect("a timeout") > SILENCE);
    assert!(!socket.keepalive().unwrap());
}

/// Guards against a request that may be repeated and is given up for a second endpoint where its service has
/// none: its answer would have come in time.
#[tokio::test]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_request_that_may_be_repeated_waits_for_the_only_endpoint_of_its_service() {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let slow = Endpoint::start(|_| {
        let work = Duration::from_millis(700);
        vec![Action::Wait(work), answer("200 OK", "late")]
    })
    .await;
    source.publish_endpoint("e-0", "plain", slow.address);
    let running = start(source).await;
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("GET", "/often/x", "a1", DEADLINE, ""))
        .await;
    let got = client.answer().await.expect("an answer");
    assert_eq!((got.status, got.body.as_str()), (200, "late"));
}

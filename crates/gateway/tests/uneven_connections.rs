//! Most new connections of all clients come to one daemon for some time, as the platform may hand them
//! out, and clients open new ones more often.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use std::net::SocketAddr;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint};
use support::source::{KEY, ScriptedSource, plain_route};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// How long an endpoint runs a request.
const RUN: Duration = Duration::from_millis(20);
/// The interval at which requests are sent, each on a new connection: 100 a second.
const INTERVAL: Duration = Duration::from_millis(10);
/// The time that requests are counted in each part of a test.
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// The time in which daemons learn of each other and of the endpoints' signals.
const CONTACT_TIME: Duration = Duration::from_secs(2);
/// The number of daemons, and of endpoints.
const DAEMONS: usize = 6;
const ENDPOINTS: usize = 3;
/// The least share of requests that are served at the first attempt, of the share before.
const MIN_OF_BEFORE: f64 = 0.75;

/// Starts a fleet before endpoints that answer with these header lines.
async fn start_fleet(headers: &'static str) -> Vec<SocketAddr> {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    for at in 0..ENDPOINTS {
        let endpoint = Endpoint::start(move |_| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\n{headers}content-length: 4\r\n\r\nfine"
            );
            vec![Action::Wait(RUN), Action::Send(head)]
        })
        .await;
        source.publish_endpoint(&format!("e-{at}"), "plain", endpoint.address);
    }
    let fleet = support::start_fleet(&source, DAEMONS).await;
    fleet.iter().map(|daemon| daemon.address).collect()
}

async fn is_served(daemon: SocketAddr, id: String) -> bool {
    let mut client = Client::connect(daemon).await;
    let text = request("POST", "/once/x", &id, "x-deadline: 600\r\n", "");
    client.send(&text).await;
    client
        .answer()
        .await
        .is_some_and(|answer| answer.status == 200)
}

/// Sends requests for some time, each on a new connection to the next of these daemons, and returns the
/// share that is served.
async fn served_share(daemons: &[SocketAddr], time: Duration) -> f64 {
    let end = Instant::now() + time;
    let mut sending = JoinSet::new();
    let mut sent = 0;
    while Instant::now() < end {
        sending.spawn(is_served(daemons[sent % daemons.len()], format!("a{sent}")));
        sent += 1;
        sleep(INTERVAL).await;
    }
    let served = sending.join_all().await;
    served.iter().filter(|is_served| **is_served).count() as f64 / sent as f64
}

/// Asserts that one daemon serves nearly as much as all did before.
async fn assert_served_by_one_daemon(headers: &'static str) {
    let daemons = start_fleet(headers).await;
    served_share(&daemons, CONTACT_TIME).await;
    let before = served_share(&daemons, COUNTED_TIME).await;
    let one = &daemons[DAEMONS - 1..];
    served_share(one, CONTACT_TIME).await;
    let during = served_share(one, COUNTED_TIME).await;
    assert!(
        before > 0.0 && during >= MIN_OF_BEFORE * before,
        "{during} after {before}"
    );
}

/// Guards against a daemon that refuses or delays requests because most new connections come to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_gets_most_new_connections_serves_them() {
    assert_served_by_one_daemon("").await;
}

/// Guards against a daemon that refuses most requests at endpoints which announce a limit, because its
/// part of the limit is that of one daemon among many, while the others use theirs for nothing.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_daemon_that_gets_most_new_connections_uses_the_whole_limit_of_endpoints() {
    assert_served_by_one_daemon("x-rate-limit: 40\r\n").await;
}

/// Guards against a daemon that refuses most requests at brittle endpoints, because its part of their slots
/// is that of one daemon among many.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_gets_most_new_connections_uses_the_room_of_brittle_endpoints() {
    assert_served_by_one_daemon("x-brittle: 3\r\n").await;
}

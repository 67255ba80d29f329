//! The rate of requests that an endpoint names in its answers, kept by all daemons together.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use futures_util::future::join_all;
use std::time::Duration;
use support::client::{Client, Got, request};
use support::endpoint::{Act, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{Running, start};

/// Requests that an endpoint may get in 4 s from daemons that it has told so, at a limit of one a second: half
/// as many again, and five.
const MOST_AT_ONE_A_SECOND: usize = 11;

/// A whole answer that names a limit of requests a second.
fn limited(requests_per_s: &str) -> Act {
    Act::Send(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\nx-rate-limit: {requests_per_s}\r\n\
         content-length: 4\r\n\r\nfine"
    ))
}

/// A gateway before endpoints of one service.
async fn stage(endpoints: &[&Endpoint]) -> Running {
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    for (at, endpoint) in endpoints.iter().enumerate() {
        source.endpoint(&format!("e-{at}"), "plain", endpoint.address);
    }
    start(source).await
}

async fn ask(client: &mut Client, at: usize) -> Got {
    let id = format!("a{at}");
    client
        .send(&request("POST", "/once/x", &id, "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

/// Sends requests on several connections at once; gives how many were served.
async fn ask_often(running: &Running, connections: usize, requests: usize) -> usize {
    let clients = (0..connections).map(|connection| async move {
        let mut client = Client::connect(running.address).await;
        let mut served = 0;
        for at in 0..requests {
            let got = ask(&mut client, connection * requests + at).await;
            served += usize::from(got.status == 200);
        }
        served
    });
    join_all(clients).await.into_iter().sum()
}

/// Guards against an endpoint that names a limit and gets its usual share of all requests nonetheless.
#[tokio::test]
#[ignore = "listed in KNOWN-RED.txt"]
async fn an_endpoint_that_names_a_limit_gets_no_more_than_it_allows() {
    let work = || Act::Wait(Duration::from_millis(3));
    let in_need = Endpoint::start(move |_| vec![work(), limited("1")]).await;
    let sound = Endpoint::start(move |_| vec![work(), answer("200 OK", "fine")]).await;
    let running = stage(&[&in_need, &sound]).await;
    let served = ask_often(&running, 6, 20).await;
    assert_eq!(
        served, 120,
        "the other endpoint takes what this one doesn't"
    );
    let arrived = in_need.count();
    assert!(
        arrived <= MOST_AT_ONE_A_SECOND,
        "{arrived} of 120 in less than 4 s"
    );
}

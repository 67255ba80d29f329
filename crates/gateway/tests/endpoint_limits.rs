//! Tests that all daemons together stay within the request limit that an endpoint announces in its
//! answers.

mod support;

use bridgevane_gateway::RateLimitState;
use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_gateway::decisions::eligibility::rate_limit::{AnnouncedLimit, LimitObservation};
use bridgevane_types::{RequestsPerSecond, TimeMs};
use futures_util::future::join_all;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};

/// The number of requests that an endpoint may get in 4 s from daemons that know its limit of one a
/// second: half as many again, and five.
const MAX_AT_ONE_A_SECOND: usize = 11;

/// Returns a complete answer that announces a limit of requests a second.
fn limited(requests_per_s: &str) -> Action {
    Action::Send(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\nx-rate-limit: {requests_per_s}\r\n\
         content-length: 4\r\n\r\nfine"
    ))
}

/// Starts an endpoint that announces this limit in its first answers, and none in the later ones.
async fn limited_for(answers: usize, requests_per_s: &'static str) -> Endpoint {
    Endpoint::start(move |at| {
        let answer = if at < answers {
            limited(requests_per_s)
        } else {
            answer("200 OK", "fine")
        };
        vec![answer]
    })
    .await
}

/// Starts a gateway with endpoints of one service.
async fn start_gateway(endpoints: &[&Endpoint]) -> RunningGateway {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    for (at, endpoint) in endpoints.iter().enumerate() {
        source.publish_endpoint(&format!("e-{at}"), "plain", endpoint.address);
    }
    start(source).await
}

async fn ask(client: &mut Client, at: usize) -> ClientAnswer {
    let id = format!("a{at}");
    client
        .send(&request("POST", "/once/x", &id, "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

/// Sends requests on several connections at once; returns the number of those that were served.
async fn send_requests(running: &RunningGateway, connections: usize, requests: usize) -> usize {
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

/// Guards against an endpoint that announces a limit and still gets its usual share of all
/// requests.
#[tokio::test]
async fn an_endpoint_gets_no_more_requests_than_its_limit_allows() {
    let work = || Action::Wait(Duration::from_millis(3));
    let limited_endpoint = Endpoint::start(move |_| vec![work(), limited("1")]).await;
    let healthy = Endpoint::start(move |_| vec![work(), answer("200 OK", "fine")]).await;
    let running = start_gateway(&[&limited_endpoint, &healthy]).await;
    let served = send_requests(&running, 6, 20).await;
    assert_eq!(served, 120, "the other endpoint serves the rest");
    let arrived = limited_endpoint.request_count();
    assert!(
        arrived <= MAX_AT_ONE_A_SECOND,
        "{arrived} of 120 in less than 4 s"
    );
}

/// Guards against requests that reach a limited endpoint as retries.
#[tokio::test]
async fn retries_count_against_the_limit_of_an_endpoint() {
    let limited_endpoint = Endpoint::start(|_| vec![limited("1")]).await;
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let full = Endpoint::start(move |_| vec![Action::Send(not_run.into())]).await;
    let running = start_gateway(&[&limited_endpoint, &full]).await;
    send_requests(&running, 6, 20).await;
    let arrived = limited_endpoint.request_count();
    assert!(arrived <= MAX_AT_ONE_A_SECOND, "{arrived} in less than 4 s");
}

/// Guards against clients that get no retry time while all endpoints are limited, and against a
/// limit that is ignored because no other endpoint is left.
#[tokio::test]
async fn requests_are_refused_with_a_retry_time_while_all_endpoints_are_limited() {
    let limited_endpoint = limited_for(usize::MAX, "0.5").await;
    let running = start_gateway(&[&limited_endpoint]).await;
    let mut client = Client::connect(running.address).await;
    assert_eq!(
        ask(&mut client, 0).await.status,
        200,
        "no limit is known yet"
    );
    // The first permit may be available at once.
    let mut refused = ask(&mut client, 1).await;
    if refused.status == 200 {
        refused = ask(&mut client, 2).await;
    }
    assert_eq!(refused.status, 503);
    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=1.0).contains(&retry_after), "{retry_after}");
    assert!(limited_endpoint.request_count() <= 2);
}

/// Guards against a limit that still applies after the endpoint has withdrawn it.
#[tokio::test]
async fn an_endpoint_gets_all_requests_again_after_its_limit_ends() {
    // The first answer announces it, the second answers the request of the first permit.
    let limited_endpoint = limited_for(1, "20").await;
    let running = start_gateway(&[&limited_endpoint]).await;
    let mut client = Client::connect(running.address).await;
    assert_eq!(ask(&mut client, 0).await.status, 200);
    while ask(&mut client, 1).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for at in 2..30 {
        assert_eq!(ask(&mut client, at).await.status, 200, "request {at}");
    }
}

/// Guards against an endpoint that is left out, or no longer limited, because of an unreadable
/// limit.
#[tokio::test]
async fn an_unreadable_limit_changes_nothing() {
    for unreadable in ["-1", "NaN", "inf", "1e9", "many", "1,2"] {
        let answers = move |_| vec![limited(unreadable)];
        let endpoint = Endpoint::start(answers).await;
        let running = start_gateway(&[&endpoint]).await;
        let served = send_requests(&running, 1, 20).await;
        assert_eq!(served, 20, "{unreadable}");
    }
    let script = |at| vec![limited(if at == 0 { "1" } else { "many" })];
    let endpoint = Endpoint::start(script).await;
    let running = start_gateway(&[&endpoint]).await;
    send_requests(&running, 1, 40).await;
    assert!(
        endpoint.request_count() <= MAX_AT_ONE_A_SECOND,
        "the earlier limit still applies"
    );
}

fn observation(limit: Option<f64>, at_ms: u64) -> LimitObservation {
    LimitObservation {
        limit: limit.map(RequestsPerSecond),
        at: TimeMs(at_ms),
    }
}

/// Returns what a daemon knows after these observations were reported to it.
fn observation_after(reported: &[LimitObservation]) -> Option<LimitObservation> {
    let state = RateLimitState::default();
    for reported in reported {
        state.on_peer_observation(TimeMs(20_000), *reported, || 0.5);
    }
    state.observation(TimeMs(20_000))
}

/// Guards against an older observation that replaces a newer one because it arrived later.
#[test]
fn the_later_observation_applies_in_whatever_order_they_arrive() {
    let announced = observation(Some(1.0), 10_000);
    let ended = observation(None, 11_000);
    let changed = observation(Some(2.0), 12_000);
    assert_eq!(observation_after(&[ended]), None, "no limit was known");
    for reported in [
        [announced, ended, changed],
        [announced, changed, ended],
        [changed, announced, ended],
        [changed, ended, announced],
        [ended, changed, announced],
        [ended, announced, changed],
    ] {
        assert_eq!(observation_after(&reported), Some(changed), "{reported:?}");
    }
    assert_eq!(observation_after(&[announced, ended]), Some(ended));
    assert_eq!(
        observation_after(&[announced, ended, announced]),
        Some(ended)
    );
}

/// Guards against an observation whose time advances each time that two daemons report it to each
/// other, so that it lasts longer than the limit.
#[test]
fn the_same_observation_reported_again_is_not_newer() {
    let announced = observation(Some(1.0), 10_000);
    let again = observation(Some(1.0), 12_000);
    assert_eq!(observation_after(&[announced, again]), Some(announced));
}

/// Guards against daemons that report the end of a limit indefinitely.
#[test]
fn the_end_of_a_limit_expires() {
    let state = RateLimitState::default();
    state.on_peer_observation(TimeMs(10_000), observation(Some(1.0), 10_000), || 0.5);
    state.on_answer(TimeMs(12_000), TimeMs(11_900), AnnouncedLimit::None, || 0.5);
    assert!(!state.is_limited());
    assert_eq!(
        state.observation(TimeMs(41_000)),
        Some(observation(None, 11_900))
    );
    assert_eq!(state.observation(TimeMs(42_000)), None);
}

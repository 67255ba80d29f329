//! The rate of requests that an endpoint names in its answers, kept by all daemons together.

mod support;

use bridgevane_gateway::RateLimitState;
use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_gateway::decisions::eligibility::rate_limit::{LimitObservation, NamedLimit};
use bridgevane_types::{RequestsPerSecond, TimeMs};
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

/// An endpoint that names this limit in its first answers, and none in the later ones.
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

/// Guards against requests that go to a limited endpoint as retries of others.
#[tokio::test]
async fn retries_count_as_requests_of_a_limited_endpoint() {
    let in_need = Endpoint::start(|_| vec![limited("1")]).await;
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let full = Endpoint::start(move |_| vec![Act::Send(not_run.into())]).await;
    let running = stage(&[&in_need, &full]).await;
    ask_often(&running, 6, 20).await;
    let arrived = in_need.count();
    assert!(
        arrived <= MOST_AT_ONE_A_SECOND,
        "{arrived} in less than 4 s"
    );
}

/// Guards against clients that aren't told when to come back while all endpoints are limited, and against a limit that
/// is passed over since no other endpoint is left.
#[tokio::test]
async fn requests_are_refused_with_a_time_to_come_back_while_all_endpoints_are_limited() {
    let in_need = limited_for(usize::MAX, "0.5").await;
    let running = stage(&[&in_need]).await;
    let mut client = Client::connect(running.address).await;
    assert_eq!(
        ask(&mut client, 0).await.status,
        200,
        "nothing is known yet"
    );
    // The first turn may come at once.
    let mut refused = ask(&mut client, 1).await;
    if refused.status == 200 {
        refused = ask(&mut client, 2).await;
    }
    assert_eq!(refused.status, 503);
    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=1.0).contains(&retry_after), "{retry_after}");
    assert!(in_need.count() <= 2);
}

/// Guards against a limit that stands after the endpoint has withdrawn it.
#[tokio::test]
async fn an_endpoint_that_withdraws_its_limit_gets_all_requests_again() {
    // The first answer names it, the second is that of the first turn.
    let in_need = limited_for(1, "20").await;
    let running = stage(&[&in_need]).await;
    let mut client = Client::connect(running.address).await;
    assert_eq!(ask(&mut client, 0).await.status, 200);
    while ask(&mut client, 1).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for at in 2..30 {
        assert_eq!(ask(&mut client, at).await.status, 200, "request {at}");
    }
}

/// Guards against an endpoint that is left out, or not limited any more, for what nobody can read.
#[tokio::test]
async fn a_limit_that_cannot_be_read_changes_nothing() {
    for unreadable in ["-1", "NaN", "inf", "1e9", "many", "1,2"] {
        let answers = move |_| vec![limited(unreadable)];
        let odd = Endpoint::start(answers).await;
        let running = stage(&[&odd]).await;
        let served = ask_often(&running, 1, 20).await;
        assert_eq!(served, 20, "{unreadable}");
    }
    let script = |at| vec![limited(if at == 0 { "1" } else { "many" })];
    let odd = Endpoint::start(script).await;
    let running = stage(&[&odd]).await;
    ask_often(&running, 1, 40).await;
    assert!(
        odd.count() <= MOST_AT_ONE_A_SECOND,
        "the limit named before stands"
    );
}

fn observation(limit: Option<f64>, at_ms: u64) -> LimitObservation {
    LimitObservation {
        limit: limit.map(RequestsPerSecond),
        at: TimeMs(at_ms),
    }
}

/// What a daemon believes after it was told these.
fn believed(told: &[LimitObservation]) -> Option<LimitObservation> {
    let state = RateLimitState::default();
    for told in told {
        state.on_told(TimeMs(20_000), *told, || 0.5);
    }
    state.observation(TimeMs(20_000))
}

/// Guards against an old word that goes before a newer one since it was told on a longer way.
#[test]
fn the_later_observation_holds_in_whatever_order_they_are_told() {
    let named = observation(Some(1.0), 10_000);
    let ended = observation(None, 11_000);
    let renamed = observation(Some(2.0), 12_000);
    assert_eq!(believed(&[ended]), None, "there was none here");
    for told in [
        [named, ended, renamed],
        [named, renamed, ended],
        [renamed, named, ended],
        [renamed, ended, named],
        [ended, renamed, named],
        [ended, named, renamed],
    ] {
        assert_eq!(believed(&told), Some(renamed), "{told:?}");
    }
    assert_eq!(believed(&[named, ended]), Some(ended));
    assert_eq!(believed(&[named, ended, named]), Some(ended));
}

/// Guards against a word whose moment moves on each time that two daemons tell it to each other, so that it outlasts its end.
#[test]
fn the_same_word_told_again_is_no_newer() {
    let named = observation(Some(1.0), 10_000);
    let again = observation(Some(1.0), 12_000);
    assert_eq!(believed(&[named, again]), Some(named));
}

/// Guards against an end that is told for ever, of endpoints that were limited once.
#[test]
fn an_end_is_forgotten() {
    let state = RateLimitState::default();
    state.on_told(TimeMs(10_000), observation(Some(1.0), 10_000), || 0.5);
    state.on_answer(TimeMs(12_000), TimeMs(11_900), NamedLimit::None, || 0.5);
    assert!(!state.is_limited());
    assert_eq!(
        state.observation(TimeMs(41_000)),
        Some(observation(None, 11_900))
    );
    assert_eq!(state.observation(TimeMs(42_000)), None);
}

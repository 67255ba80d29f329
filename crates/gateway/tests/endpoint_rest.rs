//! An endpoint that turns a request away and asks for rest gets nothing from this daemon for so long.

mod support;

use bridgevane_gateway::GatewaySettings;
use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_types::Share;
use std::time::{Duration, Instant};
use support::client::{Client, Got, request};
use support::endpoint::{Act, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{Running, settings, start, start_with};

/// Requests that may reach an endpoint while it rests.
const MOST_WHILE_RESTING: usize = 2;

/// A refusal that asks for so many seconds of rest.
fn wants_rest(seconds: &str) -> Vec<Act> {
    vec![Act::Send(format!(
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn fine() -> Vec<Act> {
    vec![answer("200 OK", "fine")]
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

async fn ask(running: &Running) -> Got {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/once/x", "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

/// Guards against first tries and retries at an endpoint that has asked for rest.
#[tokio::test]
async fn a_resting_endpoint_gets_no_first_try_and_no_retry() {
    let resting = [
        Endpoint::start(|_| wants_rest("60")).await,
        Endpoint::start(|_| wants_rest("60")).await,
    ];
    let sound = Endpoint::start(|_| fine()).await;
    let running = stage(&[&resting[0], &resting[1], &sound]).await;
    for at in 0..30 {
        assert_eq!(ask(&running).await.status, 200, "request {at}");
    }
    for endpoint in &resting {
        let arrived = endpoint.count();
        // The first one is the request that it turned away.
        assert!(arrived <= 1 + MOST_WHILE_RESTING, "{arrived} arrived");
    }
}

/// Guards against an endpoint that is asked while it rests since no other is left, and against clients that aren't told
/// when to come back.
#[tokio::test]
async fn requests_are_refused_with_the_rest_that_is_left_while_all_endpoints_rest() {
    let resting = Endpoint::start(|_| wants_rest("30")).await;
    let running = stage(&[&resting]).await;
    for _ in 0..10 {
        let refused = ask(&running).await;
        assert_eq!(refused.status, 503);
        let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!((25.0..=30.0).contains(&retry_after), "{retry_after}");
    }
    let arrived = resting.count();
    assert!(arrived <= 1 + MOST_WHILE_RESTING, "{arrived} arrived");
}

/// Guards against a rest that outlasts what was asked for.
#[tokio::test]
async fn an_endpoint_gets_work_again_after_its_rest() {
    let script = |at| if at == 0 { wants_rest("1.5") } else { fine() };
    let endpoint = Endpoint::start(script).await;
    let running = stage(&[&endpoint]).await;
    let asked_at = Instant::now();
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(ask(&running).await.status, 503, "it rests");
    assert!(
        asked_at.elapsed() < Duration::from_millis(1_500),
        "still in its rest"
    );
    assert_eq!(endpoint.count(), 1);
    tokio::time::sleep(Duration::from_millis(1_510)).await;
    assert_eq!(ask(&running).await.status, 200);
}

/// Guards against an endpoint that is left out for a time that nobody can read.
#[tokio::test]
async fn a_rest_that_cannot_be_read_changes_nothing() {
    for unreadable in ["-1", "NaN", "1e9", "soon", "Thu, 03 Dec 2026 09:00:00 GMT"] {
        let script = move |at| {
            if at == 0 {
                wants_rest(unreadable)
            } else {
                fine()
            }
        };
        let endpoint = Endpoint::start(script).await;
        let running = stage(&[&endpoint]).await;
        assert_eq!(ask(&running).await.status, 503, "{unreadable}");
        assert_eq!(ask(&running).await.status, 200, "{unreadable}");
    }
}

/// Guards against callers that wait for the rest of one endpoint while another could take their request: the retry budget is
/// empty, and only retries aren't allowed.
#[tokio::test]
async fn a_caller_without_a_retry_is_not_told_to_wait_for_one_endpoint() {
    let settings = GatewaySettings {
        retry_ratio: Share(0.0),
        retry_slack: 0,
        ..settings()
    };
    let resting = Endpoint::start(|_| wants_rest("60")).await;
    let sound = Endpoint::start(|_| fine()).await;
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    source.endpoint("e-0", "plain", resting.address);
    source.endpoint("e-1", "plain", sound.address);
    let running = start_with(source, settings).await;
    let mut refused = 0;
    for _ in 0..20 {
        let got = ask(&running).await;
        if got.status == 503 {
            refused += 1;
            let retry_after: f64 = got.header("retry-after").unwrap().parse().unwrap();
            assert!(retry_after <= 0.2, "{retry_after}");
        }
    }
    assert!(refused <= 1, "{refused} refused");
}

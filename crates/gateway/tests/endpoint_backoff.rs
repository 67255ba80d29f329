//! Tests that an endpoint which rejects a request and asks for a back-off gets no requests from
//! this daemon during it.

mod support;

use bridgevane_gateway::GatewaySettings;
use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_types::Share;
use std::time::{Duration, Instant};
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, settings, start, start_with};

/// The number of requests that may reach an endpoint during its back-off.
const MAX_DURING_BACKOFF: usize = 2;

/// Returns a rejection that asks for a back-off of `seconds`.
fn backoff_for(seconds: &str) -> Vec<Action> {
    vec![Action::Send(format!(
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn fine() -> Vec<Action> {
    vec![answer("200 OK", "fine")]
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

async fn ask(running: &RunningGateway) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    client
        .send(&request("POST", "/once/x", "a1", "x-deadline: 900\r\n", ""))
        .await;
    client.answer().await.expect("an answer")
}

/// Guards against first attempts and retries at an endpoint that has asked for a back-off.
#[tokio::test]
async fn an_endpoint_gets_no_first_attempt_or_retry_during_its_backoff() {
    let backed_off = [
        Endpoint::start(|_| backoff_for("60")).await,
        Endpoint::start(|_| backoff_for("60")).await,
    ];
    let healthy = Endpoint::start(|_| fine()).await;
    let running = start_gateway(&[&backed_off[0], &backed_off[1], &healthy]).await;
    for at in 0..30 {
        assert_eq!(ask(&running).await.status, 200, "request {at}");
    }
    for endpoint in &backed_off {
        let arrived = endpoint.request_count();
        // The first one is the request that it rejected.
        assert!(arrived <= 1 + MAX_DURING_BACKOFF, "{arrived} arrived");
    }
}

/// Guards against requests to an endpoint during its back-off because no other is left, and against
/// clients that don't get a retry time.
#[tokio::test]
async fn requests_are_refused_with_the_remaining_backoff_if_no_endpoint_is_left() {
    let backed_off = Endpoint::start(|_| backoff_for("30")).await;
    let running = start_gateway(&[&backed_off]).await;
    for _ in 0..10 {
        let refused = ask(&running).await;
        assert_eq!(refused.status, 503);
        let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!((25.0..=30.0).contains(&retry_after), "{retry_after}");
    }
    let arrived = backed_off.request_count();
    assert!(arrived <= 1 + MAX_DURING_BACKOFF, "{arrived} arrived");
}

/// Guards against a back-off that is longer than the endpoint asked for.
#[tokio::test]
async fn an_endpoint_gets_requests_again_after_its_backoff() {
    let script = |at| if at == 0 { backoff_for("1.5") } else { fine() };
    let endpoint = Endpoint::start(script).await;
    let running = start_gateway(&[&endpoint]).await;
    let asked_at = Instant::now();
    assert_eq!(ask(&running).await.status, 503);
    assert_eq!(
        ask(&running).await.status,
        503,
        "the back-off has not ended"
    );
    assert!(
        asked_at.elapsed() < Duration::from_millis(1_500),
        "the test took longer than the back-off"
    );
    assert_eq!(endpoint.request_count(), 1);
    tokio::time::sleep(Duration::from_millis(1_510)).await;
    assert_eq!(ask(&running).await.status, 200);
}

/// Guards against an endpoint that is left out for an unreadable time.
#[tokio::test]
async fn an_unreadable_backoff_changes_nothing() {
    for unreadable in ["-1", "NaN", "1e9", "soon", "Thu, 03 Dec 2026 09:00:00 GMT"] {
        let script = move |at| {
            if at == 0 {
                backoff_for(unreadable)
            } else {
                fine()
            }
        };
        let endpoint = Endpoint::start(script).await;
        let running = start_gateway(&[&endpoint]).await;
        assert_eq!(ask(&running).await.status, 503, "{unreadable}");
        assert_eq!(ask(&running).await.status, 200, "{unreadable}");
    }
}

/// Guards against clients that wait for the back-off of one endpoint while another is free: the
/// retry budget is empty, and only retries aren't allowed.
#[tokio::test]
async fn a_client_does_not_get_the_backoff_of_one_endpoint_while_another_is_free() {
    let settings = GatewaySettings {
        retry_ratio: Share(0.0),
        retry_slack: 0,
        ..settings()
    };
    let backed_off = Endpoint::start(|_| backoff_for("60")).await;
    let healthy = Endpoint::start(|_| fine()).await;
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    source.publish_endpoint("e-0", "plain", backed_off.address);
    source.publish_endpoint("e-1", "plain", healthy.address);
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

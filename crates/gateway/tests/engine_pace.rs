//! Tests of what a daemon learns about the speed of engines.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_gateway::decisions::endpoint::engine_pace::{
    Pace, WORK_TIME_WINDOW, WorkTime, paces,
};
use bridgevane_gateway::decisions::endpoint::engine_rates::measured_read_rate;
use bridgevane_gateway::{Endpoint as GatewayEndpoint, PaceState};
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::Arc;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint};
use support::source::{KEY, ScriptedSource, plain_route};
use support::start;

const NOW: TimeMs = TimeMs(100_000);

fn work_times(values: &[u32]) -> Vec<Option<WorkTime>> {
    values.iter().map(|value| WorkTime::new(*value)).collect()
}

/// Guards against daemons that disagree on an engine's pace because each measured a slightly
/// different time.
#[test]
fn paces_are_relative_to_the_median_and_rounded() {
    let rounded = |values: &[u32]| -> Vec<f64> {
        let paces = paces(&work_times(values));
        paces.iter().map(|pace| (pace.0 * 100.0).round()).collect()
    };
    assert_eq!(rounded(&[60, 100, 160]), [63.0, 100.0, 159.0]);
    assert_eq!(rounded(&[2_400, 2_430, 3_200]), [100.0, 100.0, 126.0]);
    assert_eq!(rounded(&[2_380, 2_500, 2_450]), [100.0, 100.0, 100.0]);
}

/// Guards against a division by an unknown work time, and against engines that get no request because
/// nothing is known about them.
#[test]
fn an_engine_without_a_valid_work_time_has_the_usual_pace() {
    for value in [0, 100_001, u32::MAX] {
        assert_eq!(WorkTime::new(value), None);
    }
    assert_eq!(paces(&[]), []);
    assert_eq!(paces(&[None, None]), [Pace::USUAL; 2]);
    let known = paces(&work_times(&[0, 100, 100, 400]));
    assert_eq!(known[0], Pace::USUAL);
    assert_eq!(known[3], Pace(4.0));
}

/// Guards against an engine that looks slow because it was disturbed when it answered, and against
/// one that looks fast long after it has become slow.
#[test]
fn the_lowest_recent_work_time_counts_until_it_is_old() {
    let engine = PaceState::default();
    let at = |ms: u64| TimeMs(NOW.0 + ms);
    let reported = |ms, value| engine.on_reported(at(ms), WorkTime(value));
    reported(0, 250);
    assert_eq!(engine.lowest(at(0)), Some(WorkTime(250)));
    reported(100, 100);
    reported(200, 250);
    assert_eq!(engine.lowest(at(200)), Some(WorkTime(100)));
    let window = WORK_TIME_WINDOW.0;
    reported(window + 300, 300);
    reported(2 * window + 600, 300);
    assert_eq!(engine.lowest(at(2 * window + 600)), Some(WorkTime(300)));
}

/// Guards against a daemon of few requests that knows nothing about most engines, and against reports
/// that go round between daemons and never expire.
#[test]
fn work_times_of_other_daemons_count_but_are_not_reported_as_own() {
    let engine = PaceState::default();
    engine.on_peers_report(NOW, WorkTime(60));
    engine.on_reported(NOW, WorkTime(90));
    assert_eq!(engine.lowest(NOW), Some(WorkTime(60)));
    assert_eq!(engine.own_lowest(NOW), Some(WorkTime(90)));
    let later = TimeMs(NOW.0 + 2 * WORK_TIME_WINDOW.0);
    assert_eq!(engine.lowest(later), None);
}

/// Guards against a read rate that is too high because the prompt was cached or not read at all, and
/// against one that is measured on prompts too short to show it.
#[test]
fn only_long_own_prompts_show_the_read_rate() {
    let rate = |tokens, ms, pace| measured_read_rate(tokens, DurationMs(ms), Pace(pace));
    assert_eq!(rate(3_000, 100, 1.0), Some(30_000));
    assert_eq!(rate(3_000, 100, 0.5), Some(15_000), "at the usual pace");
    assert_eq!(rate(1_999, 10, 1.0), None);
    assert_eq!(rate(3_000, 0, 1.0), None);
    assert_eq!(rate(300_000, 1, 1.0), None, "it wasn't read");
    assert_eq!(rate(3_000, 1_000, 1.0), None, "it waited");
}

/// Starts a gateway whose only endpoint reports this load, and asks it once.
async fn endpoint_reporting(load: &str) -> (Arc<GatewayEndpoint>, TimeMs) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let head = format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-sign: s\r\nx-load: {load}\r\n");
    let answer = Action::Send(format!("{head}content-length: 4\r\n\r\nfine"));
    let endpoint = Endpoint::start(move |_| vec![answer.clone()]).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let running = start(source).await;
    let mut client = Client::connect(running.address).await;
    client.send(&request("POST", "/once/x", "a1", "", "")).await;
    let answer = client.answer().await.expect("an answer");
    assert_eq!(answer.status, 200, "{load}");
    let directory = running.gateway.control.directory();
    let service = directory.service(&"plain".into()).expect("the service");
    (service.all[0].clone(), running.gateway.clock.now())
}

/// Guards against a load that is lost because its work time can't be used, and against a work time of
/// nothing or of ages.
#[tokio::test]
async fn a_load_counts_also_if_its_work_time_is_invalid() {
    for (load, work_time) in [
        ("5,2,8,250", Some(WorkTime(250))),
        ("5,2,8", None),
        ("5,2,8,0", None),
        ("5,2,8,-100", None),
        ("5,2,8,1000000000", None),
        ("5,2,8,slow", None),
    ] {
        let (endpoint, now) = endpoint_reporting(load).await;
        assert_eq!(endpoint.pace.lowest(now), work_time, "{load}");
        // Of the seven one was this daemon's.
        assert_eq!(endpoint.load.snapshot(now).running(), 6, "{load}");
    }
}

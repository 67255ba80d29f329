//! Tests of endpoints that announce how many requests they can turn away in a second before they
//! crash.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use bridgevane_gateway::decisions::eligibility::brittle::{BrittleLoad, Fullness, has_room};
use bridgevane_types::TimeMs;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{start_daemon, start_fleet};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// The announced number, of all daemons together.
const MAX_TURNED_AWAY_PER_S: usize = 3;
/// The time after the first announcement from which the number holds.
const NOTICE_TIME: Duration = Duration::from_millis(3_000);

fn full() -> Vec<Action> {
    let head = format!(
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-brittle: {MAX_TURNED_AWAY_PER_S}\r\n\
         content-length: 0\r\n\r\n"
    );
    vec![Action::Send(head)]
}

/// Guards against daemons that send requests to an endpoint which has no room and crashes when it
/// turns more away in a second than it announces: each daemon alone, or all of them together.
#[tokio::test]
async fn a_fleet_has_no_more_requests_turned_away_than_a_brittle_endpoint_can_bear() {
    assert_few_are_turned_away_by(2).await;
}

/// Guards against daemons that each try a full endpoint on their own: with twelve of them twelve requests
/// were turned away in a second.
#[tokio::test]
async fn twelve_daemons_have_no_more_requests_turned_away_than_two() {
    assert_few_are_turned_away_by(12).await;
}

async fn assert_few_are_turned_away_by(daemons: usize) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| full()).await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let fleet = start_fleet(&source, daemons).await;
    let started_at = Instant::now();
    let mut before = 0;
    while started_at.elapsed() < NOTICE_TIME + Duration::from_secs(2) {
        let second_ends_at = Instant::now() + Duration::from_secs(1);
        for at in 0..20 {
            let mut client = Client::connect(fleet[at % daemons].address).await;
            let id = format!("a{at}");
            client
                .send(&request("POST", "/once/x", &id, "x-deadline: 500\r\n", ""))
                .await;
            assert_eq!(client.answer().await.expect("an answer").status, 503);
        }
        let turned_away = endpoint.request_count() - before;
        before += turned_away;
        if started_at.elapsed() > NOTICE_TIME {
            assert!(
                turned_away <= MAX_TURNED_AWAY_PER_S,
                "{turned_away} were turned away in a second"
            );
        }
        sleep(second_ends_at - Instant::now()).await;
    }
}

/// Guards against brittle endpoints that get next to nothing although they have room.
#[tokio::test]
async fn a_brittle_endpoint_with_room_gets_requests_as_usual() {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| {
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\nx-brittle: 1\r\ncontent-length: 4\r\n\r\nfine";
        vec![Action::Send(head.into())]
    })
    .await;
    source.publish_endpoint("e-0", "plain", endpoint.address);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seeds = [listener.local_addr().unwrap()];
    let daemon = start_daemon("vm-1", &source, listener, &seeds).await;
    for at in 0..40 {
        let mut client = Client::connect(daemon.address).await;
        let id = format!("a{at}");
        client.send(&request("POST", "/once/x", &id, "", "")).await;
        assert_eq!(client.answer().await.expect("an answer").status, 200);
    }
}

/// Guards against shares of the slots that add up to more than there are, so that a burst at all
/// daemons at once is turned away.
#[test]
fn the_shares_of_all_daemons_fit_into_the_slots() {
    let load = |slots, daemons, own_running, running| BrittleLoad {
        slots,
        daemons: Some(daemons),
        own_running,
        running,
        is_full: false,
    };
    for (slots, daemons) in [(6, 6), (64, 6), (8, 3), (1, 1)] {
        let most = (0..=slots).find(|own| !has_room(load(slots, daemons, *own, *own)));
        let most = most.expect("a limit");
        assert!(most >= 1 && most * daemons <= slots);
    }
    assert!(has_room(load(32, 295, 0, 15)));
    assert!(!has_room(load(32, 295, 0, 16)), "half of the slots");
    assert!(!has_room(load(32, 295, 1, 1)));
    assert!(!has_room(load(6, 2, 0, 6)), "full of others' requests");
    let unknown = BrittleLoad {
        daemons: None,
        ..load(6, 1, 1, 1)
    };
    assert!(!has_room(unknown));
    let full = BrittleLoad {
        is_full: true,
        ..load(6, 2, 0, 0)
    };
    assert!(!has_room(full));
}

/// Guards against an endpoint that counts as having room because time has passed, and against one that
/// counts as full after it has run a later request.
#[test]
fn a_full_endpoint_has_room_again_once_it_has_run_a_later_request() {
    let fullness = |turned_away, had_room| Fullness {
        turned_away_at: Option::map(turned_away, TimeMs),
        had_room_at: Option::map(had_room, TimeMs),
    };
    assert!(!fullness(None, None).is_full(), "nothing is known");
    assert!(!fullness(None, Some(10)).is_full());
    assert!(fullness(Some(10), None).is_full());
    assert!(fullness(Some(10), Some(9)).is_full(), "sent before");
    assert!(!fullness(Some(10), Some(11)).is_full());
}

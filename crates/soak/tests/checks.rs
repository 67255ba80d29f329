//! Each predicate catches a planted fault of its kind, and is content with a sound run.

use bridgevane_platform_emulator::Wish;
use bridgevane_soak::checks::{Broken, CONTACT, DRAIN, KEY_REMOVAL, RECOVERY, broken, whole_body};
use bridgevane_soak::history::{
    Arrived, Call, Disruption, End, History, Kind, Leaving, PlannedStop, Removal, Run,
};
use std::time::Duration;

const STREAM_EVENTS: u64 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answered(status: u16, is_signed: bool, body: String) -> End {
    End::Answered {
        status,
        is_signed,
        body,
    }
}

fn served(kind: Kind, id: &str) -> End {
    answered(200, true, whole_body(kind, id, STREAM_EVENTS))
}

fn call(id: &str, kind: Kind, sent_at: Duration, end: End) -> Call {
    Call {
        id: id.into(),
        kind,
        daemon: 0,
        key: "key".into(),
        sent_at,
        ended_at: sent_at + ms(100),
        end,
    }
}

fn run(id: &str, at: Duration) -> Run {
    Run {
        id: id.into(),
        worker: "worker".into(),
        at,
    }
}

/// One call of each kind, served as it should be, twenty seconds into the run.
fn sound() -> History {
    let kinds = [Kind::Once, Kind::Stream, Kind::Resumable];
    let ids = ["a", "b", "c"];
    let at = ms(20_000);
    let calls = kinds.iter().zip(ids);
    History {
        calls: calls
            .map(|(kind, id)| call(id, *kind, at, served(*kind, id)))
            .collect(),
        runs: ids.iter().map(|id| run(id, at)).collect(),
        stream_events: STREAM_EVENTS,
        ..History::default()
    }
}

#[test]
fn a_sound_run_breaks_nothing() {
    assert_eq!(broken(&sound()), vec![]);
}

#[test]
fn another_s_answer_a_missing_piece_and_a_missing_signature_are_mixed() {
    let wrong = [
        served(Kind::Stream, "other"),
        answered(200, true, whole_body(Kind::Stream, "b", STREAM_EVENTS - 1)),
        answered(200, true, whole_body(Kind::Stream, "b", 1).repeat(3)),
        answered(200, false, whole_body(Kind::Stream, "b", STREAM_EVENTS)),
    ];
    for end in wrong {
        let mut history = sound();
        history.calls[1].end = end;
        let found = broken(&history);
        assert!(
            matches!(found.as_slice(), [Broken::Mixed { .. }]),
            "{found:?}"
        );
    }
}

#[test]
fn a_second_run_of_what_may_run_once_is_found() {
    let mut history = sound();
    history.runs.push(run("c", ms(20_050)));
    assert_eq!(broken(&history), vec![], "it may be repeated");
    history.runs.push(run("a", ms(20_050)));
    let id = "a".into();
    assert_eq!(broken(&history), vec![Broken::Twice { id, times: 2 }]);
}

#[test]
fn a_refusal_of_what_ran_is_found_also_when_it_ran_later() {
    for ran_at in [ms(20_010), ms(25_000)] {
        let mut history = sound();
        history.calls[0].end = answered(503, false, String::new());
        history.runs[0].at = ran_at;
        let id = "a".into();
        let status = 503;
        // One of three unserved is not recovered, too; that is another promise.
        assert!(broken(&history).contains(&Broken::RefusedAndRun { id, status }));
    }
}

#[test]
fn a_run_that_nobody_asked_for_is_found() {
    let mut history = sound();
    history.runs.push(run("strange", ms(20_000)));
    let id = "strange".into();
    assert_eq!(broken(&history), vec![Broken::Unasked { id }]);
}

#[test]
fn a_removed_key_may_be_used_until_its_bound() {
    for (removed_at, found) in [(19_999, 3), (20_000, 3), (20_001, 0)] {
        let mut history = sound();
        history.removals.push(Removal {
            key: "key".into(),
            at: ms(removed_at) - KEY_REMOVAL,
        });
        assert_eq!(broken(&history).len(), found);
    }
}

#[test]
fn a_removed_key_may_be_used_longer_where_daemons_serve_on_while_something_is_wrong() {
    let mut history = sound();
    let removed_at = ms(20_000) - KEY_REMOVAL;
    history.removals.push(Removal {
        key: "key".into(),
        at: removed_at,
    });
    history.serves_stale = true;
    assert_eq!(broken(&history).len(), 3, "nothing was wrong");
    history.disruptions.push(Disruption {
        from: removed_at - CONTACT,
        to: removed_at - CONTACT,
    });
    assert_eq!(broken(&history), vec![]);
    history.serves_stale = false;
    assert_eq!(broken(&history).len(), 3, "where it is strict, always");
}

#[test]
fn a_leaving_worker_gets_nothing_after_the_bound_while_nothing_is_wrong() {
    let mut history = sound();
    let left_at = ms(20_000) - DRAIN - ms(5);
    history.leavings.push(Leaving {
        worker: "worker".into(),
        at: left_at,
    });
    assert_eq!(broken(&history).len(), 3);
    history.disruptions.push(Disruption {
        from: left_at - CONTACT + ms(1),
        to: left_at,
    });
    assert_eq!(broken(&history), vec![]);
}

#[test]
fn a_planned_stop_that_cuts_is_found_unless_something_else_was_wrong() {
    let mut history = sound();
    history.stops.push(PlannedStop {
        daemon: 0,
        from: ms(19_900),
        to: ms(22_000),
    });
    assert_eq!(broken(&history), vec![]);
    history.calls[1].end = End::CutInside;
    let cut = Broken::CutByStop {
        id: "b".into(),
        daemon: 0,
    };
    assert!(broken(&history).contains(&cut));
    history.disruptions.push(Disruption {
        from: ms(18_000),
        to: ms(18_001),
    });
    assert!(!broken(&history).contains(&cut));
}

#[test]
fn a_daemon_that_ends_by_itself_is_found() {
    let mut history = sound();
    history.ended = vec![2];
    assert_eq!(broken(&history), vec![Broken::Ended { daemon: 2 }]);
}

#[test]
fn too_little_served_after_the_last_trouble_is_found() {
    let mut history = sound();
    history.calm_from = ms(20_000) - RECOVERY;
    history.calls[0].end = End::TimedOut;
    let (served, asked) = (2, 3);
    assert_eq!(
        broken(&history),
        vec![Broken::NotRecovered { served, asked }]
    );
    history.calm_from = ms(20_001) - RECOVERY;
    assert_eq!(broken(&history), vec![], "it was too soon");
}

/// A daemon's requests at a worker that asks for something, one each `every`, answered at once.
fn asked_for(wish: Wish, requests: u64, every: u64) -> History {
    let mut history = History {
        stream_events: STREAM_EVENTS,
        ..History::default()
    };
    for at in 0..requests {
        let id = format!("w{at}");
        let sent_at = ms(20_000 + at * every);
        let end = served(Kind::Once, &id);
        history.calls.push(call(&id, Kind::Once, sent_at, end));
        history.runs.push(run(&id, sent_at));
        history.arrivals.push(Arrived {
            id,
            worker: "worker".into(),
            at: sent_at,
            wish: Some(wish),
        });
    }
    history
}

#[test]
fn a_worker_that_gets_more_than_its_limit_is_found() {
    // Told at 20.1 s: of those from 20.6 s on, 40 come in 4 s.
    let found = broken(&asked_for(Wish::Limit(1.0), 60, 100));
    assert!(matches!(
        found.as_slice(),
        [Broken::Limited {
            got: 40,
            allowed: 11,
            ..
        }]
    ));
    assert_eq!(broken(&asked_for(Wish::Limit(1.0), 12, 400)), []);
    let mut excused = asked_for(Wish::Limit(1.0), 60, 100);
    let (from, to) = (ms(20_500), ms(20_550));
    excused.disruptions.push(Disruption { from, to });
    assert_eq!(broken(&excused), [], "the daemon may have been restarted");
}

#[test]
fn a_request_at_a_worker_that_leaves_is_found() {
    let history = asked_for(Wish::Leaving, 30, 100);
    // Told at 20.1 s: those from 22.1 s on.
    let found = broken(&history);
    assert_eq!(found.len(), 9, "{found:?}");
    assert!(matches!(found[0], Broken::SentToLeaving { .. }));
    assert_eq!(broken(&asked_for(Wish::Leaving, 21, 100)), []);
}

#[test]
fn requests_at_a_worker_that_rests_are_found() {
    let rest = |ms: u64| Wish::Rest(Duration::from_millis(ms));
    let found = broken(&asked_for(rest(1_000), 20, 100));
    assert!(
        matches!(found.as_slice(), [Broken::Unrested { got: 5, .. }]),
        "{found:?}"
    );
    assert_eq!(
        broken(&asked_for(rest(1_000), 20, 250)),
        [],
        "two are allowed"
    );
}

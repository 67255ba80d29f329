//! Each check finds a planted violation of its kind, and none in a correct record.

use bridgevane_platform_emulator::Announcement;
use bridgevane_soak::checks::{
    DRAIN_BOUND, KEY_REMOVAL_BOUND, RECOVERY_BOUND, UNDISTURBED_PERIOD, Violation, find_violations,
    whole_body,
};
use bridgevane_soak::history::{
    CallEnd, Disruption, History, KeyRemoval, PlannedStop, RecordedCall, RequestArrival, RouteKind,
    Run, WorkerDrain,
};
use std::time::Duration;

const STREAM_EVENTS: u64 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answered(status: u16, is_signed: bool, body: String) -> CallEnd {
    CallEnd::Answered {
        status,
        is_signed,
        body,
    }
}

fn served(kind: RouteKind, id: &str) -> CallEnd {
    answered(200, true, whole_body(kind, id, STREAM_EVENTS))
}

fn call(id: &str, kind: RouteKind, sent_at: Duration, end: CallEnd) -> RecordedCall {
    RecordedCall {
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
        version: "v1".into(),
        last_event_id: None,
    }
}

#[test]
fn a_stream_resumed_at_another_version_is_found() {
    let mut history = correct_record();
    let first = history.runs[0].clone();
    let resumed = |version: &str| Run {
        at: first.at + ms(20),
        version: version.into(),
        last_event_id: Some(1),
        ..first.clone()
    };
    let found = |history: &History| {
        let violations = find_violations(history);
        let of_version =
            |found: &&Violation| matches!(found, Violation::ResumedAtOtherVersion { .. });
        violations.iter().filter(of_version).count()
    };
    history.runs.push(resumed("v1"));
    assert_eq!(found(&history), 0);
    history.runs.push(resumed("v2"));
    assert_eq!(found(&history), 1);
}

/// Returns a record of one correctly served call per kind, 20 s into the run.
fn correct_record() -> History {
    let kinds = [RouteKind::Once, RouteKind::Stream, RouteKind::Resumable];
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

/// Guards against checks that report correct runs.
#[test]
fn a_correct_record_has_no_violations() {
    assert_eq!(find_violations(&correct_record()), vec![]);
}

/// Guards against a check that accepts the answer of another request, an incomplete or wrong
/// stream, or an unsigned answer.
#[test]
fn wrong_incomplete_and_unsigned_answers_are_found() {
    let wrong = [
        served(RouteKind::Stream, "other"),
        answered(
            200,
            true,
            whole_body(RouteKind::Stream, "b", STREAM_EVENTS - 1),
        ),
        answered(200, true, whole_body(RouteKind::Stream, "b", 1).repeat(3)),
        answered(
            200,
            false,
            whole_body(RouteKind::Stream, "b", STREAM_EVENTS),
        ),
    ];
    for end in wrong {
        let mut history = correct_record();
        history.calls[1].end = end;
        let found = find_violations(&history);
        assert!(
            matches!(found.as_slice(), [Violation::WrongAnswer { .. }]),
            "{found:?}"
        );
    }
}

/// Guards against missed double runs, and against reports of permitted ones.
#[test]
fn a_second_run_of_a_request_that_may_run_once_is_found() {
    let mut history = correct_record();
    history.runs.push(run("c", ms(20_050)));
    assert_eq!(find_violations(&history), vec![], "it may be repeated");
    history.runs.push(run("a", ms(20_050)));
    let id = "a".into();
    assert_eq!(
        find_violations(&history),
        vec![Violation::RanTooOften { id, times: 2 }]
    );
}

/// Guards against a check that only sees runs that precede the refusal.
#[test]
fn a_run_of_a_refused_request_is_found_before_and_after_the_refusal() {
    for ran_at in [ms(20_010), ms(25_000)] {
        let mut history = correct_record();
        history.calls[0].end = answered(503, false, String::new());
        history.runs[0].at = ran_at;
        let id = "a".into();
        let status = 503;
        // One unserved call of three also violates the recovery; that is another check.
        assert!(find_violations(&history).contains(&Violation::RanDespiteRefusal { id, status }));
    }
}

/// Guards against requests that the gateway invents or whose id it changes.
#[test]
fn a_run_of_a_request_that_no_caller_sent_is_found() {
    let mut history = correct_record();
    history.runs.push(run("strange", ms(20_000)));
    let id = "strange".into();
    assert_eq!(find_violations(&history), vec![Violation::NeverSent { id }]);
}

/// Guards against a bound that is off: a key may be used up to the bound, not after it.
#[test]
fn a_removed_key_is_found_only_after_its_bound() {
    for (removed_at, found) in [(19_999, 3), (20_000, 3), (20_001, 0)] {
        let mut history = correct_record();
        history.removals.push(KeyRemoval {
            key: "key".into(),
            at: ms(removed_at) - KEY_REMOVAL_BOUND,
        });
        assert_eq!(find_violations(&history).len(), found);
    }
}

/// Guards against reports of removed keys that daemons may serve during a fault if key removal
/// isn't strict.
#[test]
fn a_removed_key_is_excused_during_a_fault_only_if_daemons_serve_stale() {
    let mut history = correct_record();
    let removed_at = ms(20_000) - KEY_REMOVAL_BOUND;
    history.removals.push(KeyRemoval {
        key: "key".into(),
        at: removed_at,
    });
    history.serves_stale = true;
    assert_eq!(find_violations(&history).len(), 3, "nothing was wrong");
    history.disruptions.push(Disruption {
        from: removed_at - UNDISTURBED_PERIOD,
        to: removed_at - UNDISTURBED_PERIOD,
    });
    assert_eq!(find_violations(&history), vec![]);
    history.serves_stale = false;
    assert_eq!(
        find_violations(&history).len(),
        3,
        "where it is strict, always"
    );
}

/// Guards against missed requests at a draining worker; an unplanned fault excuses them.
#[test]
fn a_request_at_a_draining_worker_after_the_bound_is_found_unless_a_fault_excuses_it() {
    let mut history = correct_record();
    let left_at = ms(20_000) - DRAIN_BOUND - ms(5);
    history.drains.push(WorkerDrain {
        worker: "worker".into(),
        at: left_at,
    });
    assert_eq!(find_violations(&history).len(), 3);
    history.disruptions.push(Disruption {
        from: left_at - UNDISTURBED_PERIOD + ms(1),
        to: left_at,
    });
    assert_eq!(find_violations(&history), vec![]);
}

/// Guards against missed answers cut by a planned stop; an unplanned fault excuses them.
#[test]
fn an_answer_cut_by_a_planned_stop_is_found_unless_a_fault_excuses_it() {
    let mut history = correct_record();
    history.stops.push(PlannedStop {
        daemon: 0,
        from: ms(19_900),
        to: ms(22_000),
    });
    assert_eq!(find_violations(&history), vec![]);
    history.calls[1].end = CallEnd::CutInside;
    let cut = Violation::CutByStop {
        id: "b".into(),
        daemon: 0,
    };
    assert!(find_violations(&history).contains(&cut));
    history.disruptions.push(Disruption {
        from: ms(18_000),
        to: ms(18_001),
    });
    assert!(!find_violations(&history).contains(&cut));
}

/// Guards against crashes that the callers' answers hide: another daemon serves them.
#[test]
fn a_daemon_that_ends_by_itself_is_found() {
    let mut history = correct_record();
    history.ended_daemons = vec![2];
    assert_eq!(
        find_violations(&history),
        vec![Violation::DaemonEnded { daemon: 2 }]
    );
}

/// Guards against a fleet that stays degraded after the last fault.
#[test]
fn too_few_served_requests_after_the_last_fault_are_found() {
    let mut history = correct_record();
    history.undisturbed_from = ms(20_000) - RECOVERY_BOUND;
    history.calls[0].end = CallEnd::TimedOut;
    let (served, sent) = (2, 3);
    assert_eq!(
        find_violations(&history),
        vec![Violation::NotRecovered { served, sent }]
    );
    history.undisturbed_from = ms(20_001) - RECOVERY_BOUND;
    assert_eq!(find_violations(&history), vec![], "it was too soon");
}

/// Returns a record of one daemon's requests at a worker that makes an announcement; a request is
/// sent every `every` ms and served.
fn announcing(announcement: Announcement, requests: u64, every: u64) -> History {
    let mut history = History {
        stream_events: STREAM_EVENTS,
        ..History::default()
    };
    for at in 0..requests {
        let id = format!("w{at}");
        let sent_at = ms(20_000 + at * every);
        let end = served(RouteKind::Once, &id);
        history.calls.push(call(&id, RouteKind::Once, sent_at, end));
        history.runs.push(run(&id, sent_at));
        history.arrivals.push(RequestArrival {
            id,
            worker: "worker".into(),
            at: sent_at,
            announcement: Some(announcement),
        });
    }
    history
}

/// Guards against missed requests above a limit that the daemon knew.
#[test]
fn requests_above_a_known_limit_are_found() {
    // The daemon knows the limit at 20.1 s: of the requests from 20.6 s on, 40 arrive within 4 s.
    let found = find_violations(&announcing(Announcement::Limit(1.0), 60, 100));
    assert!(matches!(
        found.as_slice(),
        [Violation::LimitExceeded {
            got: 40,
            allowed: 11,
            ..
        }]
    ));
    assert_eq!(
        find_violations(&announcing(Announcement::Limit(1.0), 12, 400)),
        []
    );
    let mut disturbed = announcing(Announcement::Limit(1.0), 60, 100);
    let (from, to) = (ms(20_500), ms(20_550));
    disturbed.disruptions.push(Disruption { from, to });
    assert_eq!(
        find_violations(&disturbed),
        [],
        "the daemon may have been restarted"
    );
}

/// Guards against missed requests at a worker that the daemon knew to be leaving.
#[test]
fn requests_at_a_worker_known_to_be_leaving_are_found() {
    let history = announcing(Announcement::Leaving, 30, 100);
    // The daemon knows it at 20.1 s: the requests from 22.1 s on are violations.
    let found = find_violations(&history);
    assert_eq!(found.len(), 9, "{found:?}");
    assert!(matches!(found[0], Violation::SentToLeaving { .. }));
    assert_eq!(
        find_violations(&announcing(Announcement::Leaving, 21, 100)),
        []
    );
}

/// Guards against missed requests during a back-off; two are allowed.
#[test]
fn requests_during_a_requested_backoff_are_found() {
    let rest = |ms: u64| Announcement::Backoff(Duration::from_millis(ms));
    let found = find_violations(&announcing(rest(1_000), 20, 100));
    assert!(
        matches!(
            found.as_slice(),
            [Violation::SentDuringBackoff { got: 5, .. }]
        ),
        "{found:?}"
    );
    assert_eq!(
        find_violations(&announcing(rest(1_000), 20, 250)),
        [],
        "two are allowed"
    );
}

//! Tests of the soak with rollouts: each check finds a planted violation, and plans are repeatable and
//! strike daemons that exist.

use bridgevane_soak::rollout_plan::{DisruptionKind, RolloutPlan, RolloutRow, RolloutShare};
use bridgevane_soak::stream_checks::{
    AttemptEnd, RecordedStream, Refusal, STREAM_EVENTS, StreamAttempt, StreamCounts, StreamEvent,
    StreamViolation, find_stream_violations,
};
use std::ops::RangeInclusive;
use std::time::Duration;

const DAEMONS: usize = 6;
const SEED_DAEMONS: usize = 3;
const DURATION: Duration = Duration::from_secs(60);

/// Returns an attempt that brought these events of one version.
fn attempt(id: &str, events: RangeInclusive<u64>, version: &str, end: AttemptEnd) -> StreamAttempt {
    StreamAttempt {
        id: id.to_owned(),
        daemon: 0,
        sent_at: Duration::ZERO,
        after: events.start() - 1,
        is_accepted: true,
        events: events.map(|at| event(at, id, version)).collect(),
        unreadable: Vec::new(),
        end,
    }
}

fn event(at: u64, id: &str, version: &str) -> StreamEvent {
    let text = format!("id: {at}\ndata: piece {at} of {id} by i-1 {version}");
    text.parse().expect("an event")
}

/// Returns a stream that broke after five events and went on to its end.
fn taken_up(version: &str) -> RecordedStream {
    RecordedStream {
        attempts: vec![
            attempt("s-0", 1..=5, "v1", AttemptEnd::Broken),
            attempt("s-1", 6..=STREAM_EVENTS, version, AttemptEnd::Whole),
        ],
    }
}

fn find(stream: RecordedStream) -> Vec<StreamViolation> {
    find_stream_violations(&[stream])
}

/// Guards against checks that find a violation in streams that went on as they should, or were given up.
#[test]
fn streams_of_one_version_that_break_and_go_on_violate_nothing() {
    assert_eq!(find(taken_up("v1")), []);
    let mut given_up = taken_up("v1");
    given_up.attempts[1].events.clear();
    given_up.attempts[1].is_accepted = false;
    given_up.attempts[1].end = AttemptEnd::Refused(Refusal::VersionGone);
    assert_eq!(find(given_up), []);
}

/// Guards against a check that takes a stream with parts of two versions for one of a single version.
#[test]
fn a_stream_joined_from_two_versions_is_found() {
    let found = find(taken_up("v2"));
    assert!(
        matches!(&found[..], [StreamViolation::Joined { id, versions, .. }]
            if id == "s-0" && *versions == ["v1", "v2"]),
        "{found:?}"
    );
    let mut inside = taken_up("v1");
    inside.attempts[1].events[20].version = "v2".to_owned();
    assert!(find(inside)[0].is_joined());
}

/// Guards against a check that misses the answer of the other version where two daemons got the same
/// take-up.
#[test]
fn a_second_answer_to_a_take_up_is_checked_too() {
    let mut stream = taken_up("v1");
    let second = attempt("s-1-double", 6..=9, "v2", AttemptEnd::Broken);
    stream.attempts.push(second);
    assert!(find(stream)[0].is_joined());
}

/// Guards against a check that misses events that come twice, out of order, after a gap or after the end.
#[test]
fn events_that_are_not_the_next_ones_are_found() {
    let wrong = |id: &str, expected, got| StreamViolation::WrongEvent {
        id: id.to_owned(),
        expected,
        got,
    };
    let mut repeated = taken_up("v1");
    repeated.attempts[1].events.insert(0, event(5, "s-1", "v1"));
    assert_eq!(find(repeated), [wrong("s-1", 6, 5)]);
    let mut gap = taken_up("v1");
    gap.attempts[0].events.remove(2);
    assert_eq!(find(gap), [wrong("s-0", 3, 4)]);
    let mut swapped = taken_up("v1");
    swapped.attempts[1].events.swap(3, 4);
    assert_eq!(find(swapped), [wrong("s-1", 9, 10)]);
    let mut surplus = taken_up("v1");
    let after_last = event(STREAM_EVENTS + 1, "s-1", "v1");
    surplus.attempts[1].events.push(after_last);
    let last = STREAM_EVENTS + 1;
    assert_eq!(find(surplus), [wrong("s-1", last, last)]);
}

/// Guards against a take-up whose answer begins anew, as if the client had no events yet.
#[test]
fn a_take_up_that_begins_anew_is_found() {
    let mut stream = taken_up("v1");
    let anew = attempt("s-1", 1..=STREAM_EVENTS, "v1", AttemptEnd::Whole);
    stream.attempts[1].events = anew.events;
    assert_eq!(
        find(stream),
        [StreamViolation::WrongEvent {
            id: "s-1".to_owned(),
            expected: 6,
            got: 1
        }]
    );
}

/// Guards against a check that takes an answer without its last events, or without any, for a whole one.
#[test]
fn an_end_before_the_last_event_is_found() {
    let early = |last| StreamViolation::EndedEarly {
        id: "s-1".to_owned(),
        last,
    };
    let mut short = taken_up("v1");
    short.attempts[1].events.pop();
    assert_eq!(find(short), [early(STREAM_EVENTS - 1)]);
    let mut empty = taken_up("v1");
    empty.attempts[1].events.clear();
    assert_eq!(find(empty), [early(5)]);
}

/// Guards against a check that takes the events of another stream, or other bytes, for those of a stream.
#[test]
fn foreign_and_unreadable_events_are_found() {
    let mut foreign = taken_up("v1");
    foreign.attempts[0].events[1].attempt_id = "s2-0".to_owned();
    let owner = "s2-0".to_owned();
    let id = "s-0".to_owned();
    assert_eq!(find(foreign), [StreamViolation::Foreign { id, owner }]);
    let mut unreadable = taken_up("v1");
    unreadable.attempts[0].unreadable = vec!["id: 3\ndata: pie".to_owned()];
    let found = find(unreadable);
    assert!(
        matches!(found[..], [StreamViolation::Unreadable { .. }]),
        "{found:?}"
    );
    assert!(
        "id: 3\ndata: piece 4 of a by i-1 v1"
            .parse::<StreamEvent>()
            .is_err()
    );
}

/// Guards against counts that leave out take-ups, or name a refusal by another reason.
#[test]
fn take_ups_are_counted_by_their_ends() {
    let mut refused = taken_up("v1");
    let bodies = [
        "{\"reason\":\"stream_version_unknown\"}",
        "stream_version_gone",
        "full",
    ];
    let refusals = bodies.map(|body| StreamAttempt {
        after: 5,
        is_accepted: false,
        events: Vec::new(),
        end: AttemptEnd::Refused(Refusal::new(503, body)),
        ..attempt("s-r", 1..=1, "v1", AttemptEnd::Broken)
    });
    refused.attempts.extend(refusals);
    let mut given_up = taken_up("v1");
    given_up.attempts.pop();
    let counts = StreamCounts::new(&[refused, given_up]);
    let expected = StreamCounts {
        streams: 2,
        whole: 1,
        broken: 2,
        went_on: 1,
        taken_up: 1,
        version_unknown: 1,
        version_gone: 1,
        other_refusals: 1,
    };
    assert_eq!(counts, expected);
}

/// Guards against plans that can't be repeated, or that never play one of the disruptions.
#[test]
fn plans_are_repeatable_and_have_all_disruptions() {
    let draw = |seed| RolloutPlan::draw(seed, DURATION, DAEMONS, SEED_DAEMONS);
    assert_eq!(draw(7), draw(7));
    let kinds: Vec<DisruptionKind> = (1..40)
        .flat_map(|seed| draw(seed).disruptions)
        .map(|disruption| disruption.kind)
        .collect();
    let has = |is: fn(&DisruptionKind) -> bool| kinds.iter().any(is);
    assert!(has(|kind| matches!(kind, DisruptionKind::AllKilled)));
    assert!(has(|kind| matches!(kind, DisruptionKind::HalfKilled(_))));
    assert!(has(|kind| matches!(kind, DisruptionKind::OthersKilled(_))));
    assert!(has(|kind| matches!(kind, DisruptionKind::Stopped(_))));
    assert!(has(|kind| matches!(kind, DisruptionKind::Frozen(_))));
    assert!(has(|kind| matches!(kind, DisruptionKind::CutOff(..))));
    let struck = kinds.iter().flat_map(|kind| kind.killed(DAEMONS));
    assert!(struck.max() < Some(DAEMONS));
}

/// Guards against rows that can't be chosen by their names, and against a row without its rollout.
#[test]
fn rows_are_chosen_by_name() {
    for row in RolloutRow::EACH {
        assert_eq!(row.to_string().parse(), Ok(row));
        let plan = RolloutPlan::of_row(row, 1, DAEMONS, SEED_DAEMONS);
        let rollouts = usize::from(row != RolloutRow::OneVersionKilled);
        assert_eq!(plan.rollouts.len(), rollouts, "{row}");
        assert_eq!(
            plan.disruptions.is_empty(),
            row == RolloutRow::Calm,
            "{row}"
        );
    }
    assert!("killed".parse::<RolloutRow>().is_err());
    assert_eq!((RolloutShare::All.of(8), RolloutShare::Half.of(7)), (8, 4));
}

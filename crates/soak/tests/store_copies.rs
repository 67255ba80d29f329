//! Tests of the soak in which the store comes back from copies: each check finds a planted violation, and
//! plans differ by their seeds alone.

use bridgevane_platform_emulator::{DutyCall, DutyRequest, ScalingOrder, SubmittedUsage};
use bridgevane_soak::copy_checks::{
    BegunRequest, CopyHistory, CopyViolation, LATE, Loss, MissCause, Span, WINDOW,
    find_copy_violations, window_span,
};
use bridgevane_soak::copy_plan::{CopyPlan, Target, Trouble};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

const FIRST: u64 = 1_000;
const WINDOWS: u64 = 8;
/// The requests of a customer that begin in each window.
const REQUESTS: u32 = 40;
const CUSTOMERS: [&str; 2] = ["a", "b"];

fn counts(of_a: u32) -> BTreeMap<String, u32> {
    BTreeMap::from([("a".to_owned(), of_a), ("b".to_owned(), REQUESTS)])
}

fn call(at: Duration, holder: &str, fence: u64, request: DutyRequest) -> DutyCall {
    DutyCall {
        at: SystemTime::UNIX_EPOCH + at,
        source: ([127, 0, 0, 1], 1).into(),
        holder: holder.to_owned(),
        fence,
        request,
    }
}

fn report(at: Duration, holder: &str, fence: u64, window: u64, of_a: u32) -> DutyCall {
    let usage = SubmittedUsage {
        holder: holder.to_owned(),
        fence,
        window,
        counts: counts(of_a),
    };
    call(at, holder, fence, DutyRequest::Usage(usage))
}

fn order(at: Duration, holder: &str, fence: u64) -> DutyCall {
    let order = ScalingOrder {
        fence,
        service: "s".into(),
        zone: "z".into(),
        desired: 1,
        spot: false,
    };
    call(at, holder, fence, DutyRequest::Order(order))
}

/// The time at which a window is usually reported.
fn usual(window: u64) -> Duration {
    window_span(window).to + Duration::from_millis(1_200)
}

fn span(from: Duration, lasts_ms: u64) -> Span {
    Span {
        from,
        to: from + Duration::from_millis(lasts_ms),
    }
}

fn loss(from: Duration, is_holder: bool) -> Loss {
    Loss {
        span: span(from, 1_000),
        is_holder,
    }
}

/// Returns the record of a run in which one holder reports all that workers began.
fn history() -> CopyHistory {
    let windows = FIRST..FIRST + WINDOWS;
    let begun = windows.clone().flat_map(|window| {
        let step = WINDOW / (REQUESTS + 1);
        (1..=REQUESTS).flat_map(move |at| {
            CUSTOMERS.map(|customer| BegunRequest {
                customer: customer.to_owned(),
                at: window_span(window).from + step * at,
            })
        })
    });
    CopyHistory {
        calls: windows
            .clone()
            .map(|window| report(usual(window), "vm-0", 7, window, REQUESTS))
            .collect(),
        begun: begun.collect(),
        calls_span: Some(Span {
            from: window_span(FIRST).from,
            to: window_span(FIRST + WINDOWS).from + LATE,
        }),
        ..CopyHistory::default()
    }
}

/// Guards against a check that finds violations in a run without any.
#[test]
fn a_run_in_which_everything_is_reported_once_has_no_violations() {
    let mut all = history();
    assert_eq!(find_copy_violations(&all), []);
    assert_eq!(all.judged_windows(), FIRST..FIRST + WINDOWS);
    // A report that got no answer is repeated with equal counts.
    all.calls.insert(1, all.calls[0].clone());
    assert_eq!(find_copy_violations(&all), []);
}

/// Guards against usage of a window that a holder reports again with other counts.
#[test]
fn two_reports_of_a_window_with_different_counts_are_found() {
    let mut wrong = history();
    wrong
        .calls
        .push(report(usual(FIRST + WINDOWS), "vm-0", 7, FIRST + 3, 12));
    let found = find_copy_violations(&wrong);
    assert!(
        matches!(&found[..], [CopyViolation::DifferentCounts { window, first, second, .. }]
            if *window == FIRST + 3 && first["a"] == REQUESTS && second["a"] == 12),
        "{found:?}"
    );
}

/// Guards against a holder that acts beside its successor, with orders as with reports.
#[test]
fn a_fence_that_falls_and_one_of_two_daemons_are_found() {
    let mut fell = history();
    fell.calls
        .push(order(usual(FIRST + WINDOWS + 1), "vm-1", 6));
    let found = find_copy_violations(&fell);
    assert!(
        matches!(
            &found[..],
            [CopyViolation::FenceFell {
                before: 7,
                after: 6,
                ..
            }]
        ),
        "{found:?}"
    );
    let mut shared = history();
    shared
        .calls
        .push(order(usual(FIRST + WINDOWS + 1), "vm-1", 7));
    let found = find_copy_violations(&shared);
    assert!(
        matches!(&found[..], [CopyViolation::SharedFence { fence: 7, .. }]),
        "{found:?}"
    );
}

/// Guards against two holders that act in turns, each with a fence of its own.
#[test]
fn a_holder_that_comes_back_within_a_lease_is_found() {
    let end = usual(FIRST + WINDOWS);
    let after = |ms| end + Duration::from_millis(ms);
    let mut turns = history();
    turns.calls.push(order(after(0), "vm-1", 8));
    turns.calls.push(order(after(1_000), "vm-2", 9));
    turns.calls.push(order(after(2_900), "vm-1", 10));
    let found = find_copy_violations(&turns);
    assert!(
        matches!(&found[..], [CopyViolation::HolderCameBack { holder, other, after }]
            if holder == "vm-1" && other == "vm-2" && after.as_millis() == 2_900),
        "{found:?}"
    );
    let last = turns.calls.len() - 1;
    turns.calls[last] = order(after(3_100), "vm-1", 10);
    assert_eq!(find_copy_violations(&turns), []);
}

/// Guards against requests that are counted twice, also where a daemon was lost.
#[test]
fn more_requests_than_workers_began_are_found() {
    let mut wrong = history();
    wrong.calls[2] = report(usual(FIRST + 2), "vm-0", 7, FIRST + 2, REQUESTS + 6);
    wrong.losses = vec![loss(window_span(FIRST + 2).from, false)];
    let found = find_copy_violations(&wrong);
    assert!(
        matches!(&found[..], [CopyViolation::CountedTooMany { customer, begun, .. }]
            if customer == "a" && *begun < REQUESTS as usize + 6),
        "{found:?}"
    );
}

/// Guards against counts that a holder reports without those of other daemons, and against a lost daemon
/// whose own counts are asked for.
#[test]
fn fewer_requests_than_workers_began_are_found_unless_a_daemon_was_lost() {
    let mut wrong = history();
    wrong.calls[2] = report(usual(FIRST + 2), "vm-0", 7, FIRST + 2, REQUESTS - 12);
    let found = find_copy_violations(&wrong);
    assert!(
        matches!(&found[..], [CopyViolation::CountedTooFew { window, .. }] if *window == FIRST + 2),
        "{found:?}"
    );
    wrong.losses = vec![loss(window_span(FIRST + 2).from, false)];
    assert_eq!(find_copy_violations(&wrong), []);
}

/// Returns the violation of a window that is missing, and why it is.
fn missed(history: &CopyHistory) -> Option<MissCause> {
    match &find_copy_violations(history)[..] {
        [] => None,
        [CopyViolation::WindowMissed { window, cause, .. }] => {
            assert_eq!(*window, FIRST + 3);
            Some(*cause)
        }
        found => panic!("{found:?}"),
    }
}

/// Guards against a window that is never submitted: only a holder that is lost in a return excuses the
/// windows that were open then.
#[test]
fn a_window_that_is_missing_is_found_unless_the_holder_was_lost_in_a_return() {
    let from = window_span(FIRST + 3).from;
    let back = span(from, 1_000);
    let mut without = history();
    without.calls.remove(3);
    assert_eq!(missed(&without), Some(MissCause::Nothing));
    without.returns = vec![back];
    assert_eq!(missed(&without), Some(MissCause::PlainReturn));
    without.losses = vec![loss(from, false)];
    assert_eq!(missed(&without), Some(MissCause::OtherLossInReturn));
    without.losses.push(loss(from, true));
    assert_eq!(missed(&without), None);
    assert_eq!(
        without.missed_windows(),
        [(FIRST + 3, MissCause::HolderLossInReturn)]
    );
    without.returns.clear();
    assert_eq!(missed(&without), Some(MissCause::Loss));
    // A loss and a return before the window began don't excuse it.
    without.returns = vec![span(from - WINDOW, 1_000)];
    without.losses = vec![loss(from - WINDOW, true)];
    assert_eq!(missed(&without), Some(MissCause::Nothing));
}

/// Guards against a report that comes after the window counts as missing.
#[test]
fn a_window_that_is_submitted_late_is_missing() {
    let mut late = history();
    let due = window_span(FIRST + 3).to + LATE;
    late.calls[3] = report(
        due + Duration::from_millis(1),
        "vm-0",
        7,
        FIRST + 3,
        REQUESTS,
    );
    assert_eq!(missed(&late), Some(MissCause::Nothing));
}

/// Guards against windows that are asked for though each return made the holder wait, and against a
/// series of returns that excuses a window for which there was time.
#[test]
fn a_series_of_returns_excuses_a_window_only_if_it_left_no_time() {
    let end = window_span(FIRST + 3).to;
    let at = |ms| end + Duration::from_millis(ms);
    let mut series = history();
    series.calls.remove(3);
    series.returns = vec![span(at(500), 4_000), span(at(7_600), 100)];
    assert_eq!(missed(&series), None);
    assert_eq!(series.missed_windows(), [(FIRST + 3, MissCause::NoTime)]);
    series.returns = vec![span(at(500), 2_000), span(at(8_000), 100)];
    assert_eq!(missed(&series), Some(MissCause::PlainReturn));
}

/// Guards against a plan that differs between two runs of a seed, or that never has rounds of some kind.
#[test]
fn a_seed_determines_its_plan_and_all_kinds_of_troubles_occur() {
    let draw = |seed| CopyPlan::draw(seed, 6, Duration::from_secs(60));
    let plans: Vec<CopyPlan> = (0..60).map(draw).collect();
    assert_eq!(plans[7], draw(7));
    let troubles = || plans.iter().flat_map(|plan| &plan.troubles);
    for trouble in [
        Trouble::Kill(Target::Holder),
        Trouble::Stop(Target::Holder),
        Trouble::Pause(Target::Holder),
        Trouble::CutStore(Target::Holder),
        Trouble::LateWrites,
        Trouble::UnansweredCalls,
        Trouble::EndLeases,
    ] {
        let occurs = troubles().any(|event| event.trouble == trouble);
        assert!(occurs, "{trouble}");
    }
    let is_other = |trouble: Trouble| matches!(trouble.target(), Some(Target::Daemon(_)));
    assert!(troubles().any(|event| is_other(event.trouble)));
    for plan in &plans {
        assert!(
            plan.returns
                .iter()
                .all(|back| back.copy_at < back.away_from)
        );
        assert!(
            plan.returns
                .iter()
                .all(|back| back.away_from <= back.back_at)
        );
    }
    let is_plain = |plan: &CopyPlan| plan.troubles.is_empty() && !plan.returns.is_empty();
    assert!(plans.iter().any(is_plain));
    assert!(plans.iter().any(|plan| plan.returns.len() > 2));
}

//! Tests of usage: windows, counts, reports to the holder, and when the holder submits.

use bridgevane_gateway::SourceEra;
use bridgevane_gateway::decisions::duties::duty_state::{DutyState, WindowUsage};
use bridgevane_gateway::decisions::duties::unreported_usage::UnreportedUsage;
use bridgevane_gateway::decisions::duties::usage_collection::{
    DaemonIncarnation, UsageCollection, UsageReport,
};
use bridgevane_gateway::decisions::duties::usage_counts::UsageCounts;
use bridgevane_gateway::decisions::duties::usage_ledger::UsageLedger;
use bridgevane_gateway::decisions::duties::usage_start::{
    FailedRun, RunResult, UsageStart, usage_start,
};
use bridgevane_gateway::decisions::duties::usage_window::{UsageCalendar, UsageDue, UsageWindow};
use bridgevane_gateway::decisions::resend::AttemptError;
use bridgevane_types::{CustomerId, DurationMs, FenceToken, Incarnation, TimeMs, WallTimeMs};
use http::StatusCode;

/// Windows of 5 s, submitted within 10 s of their end.
const CALENDAR: UsageCalendar = UsageCalendar {
    width_ms: DurationMs(5_000),
    late_ms: DurationMs(10_000),
};
/// From 50 s to 55 s.
const WINDOW: UsageWindow = UsageWindow(10);
/// When the holder started, long enough before `NOW` for windows to be complete.
const HOLDER_START: TimeMs = TimeMs(996_000);
const NOW: TimeMs = TimeMs(1_000_000);
/// The fence of the holder's session.
const FENCE: FenceToken = FenceToken(7);

fn counts(entries: &[(&str, u32)]) -> UsageCounts {
    let entries = entries.iter();
    entries
        .map(|(customer, requests)| (CustomerId::from(*customer), *requests))
        .collect()
}

fn daemon_process(vm: &str, incarnation: u64) -> DaemonIncarnation {
    DaemonIncarnation {
        vm: vm.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn report(daemon: DaemonIncarnation, first_open: u64, entries: &[(&str, u32)]) -> UsageReport {
    UsageReport {
        daemon,
        first_open: UsageWindow(first_open),
        windows: vec![(WINDOW, counts(entries))],
        acknowledged_by: None,
        newest_stored: UsageWindow(0),
    }
}

/// Requests at the edges of a window must count in exactly one window.
#[test]
fn a_request_counts_in_the_window_of_its_start() {
    let mut ledger = UsageLedger::new(CALENDAR);
    let customer = CustomerId::from("c");
    for at_ms in [49_999, 50_000, 54_999, 55_000] {
        ledger.count(WallTimeMs(at_ms), &customer);
    }
    let windows: Vec<_> = ledger.windows_from(UsageWindow(0)).collect();
    let totals: Vec<(u64, u64)> = windows
        .iter()
        .map(|(window, counts)| (window.0, counts.total()))
        .collect();
    assert_eq!(totals, [(9, 1), (10, 2), (11, 1)]);
}

/// A ledger without a limit would grow for as long as the process runs.
#[test]
fn a_ledger_keeps_only_the_newest_windows() {
    let mut ledger = UsageLedger::new(CALENDAR);
    let customer = CustomerId::from("c");
    for window in 0..100 {
        ledger.count(WallTimeMs(window * 5_000), &customer);
    }
    assert_eq!(ledger.windows_from(UsageWindow(0)).count(), 12);
    assert_eq!(ledger.windows_from(UsageWindow(98)).count(), 2);
}

/// With reports of four windows for any width, windows of one second were lost with their holder.
#[test]
fn reports_cover_every_window_that_can_still_be_submitted_in_time() {
    assert_eq!(CALENDAR.timely_windows(), 4);
    let short = UsageCalendar {
        width_ms: DurationMs(1_000),
        ..CALENDAR
    };
    assert_eq!(short.timely_windows(), 12);
}

/// A silent daemon must not delay a window until it counts as missing.
#[test]
fn a_window_is_due_when_complete_or_shortly_before_it_counts_as_missing() {
    let due = |now_ms, is_complete| CALENDAR.due(WallTimeMs(now_ms), WINDOW, is_complete);
    assert_eq!(due(55_500, true), UsageDue::At(WallTimeMs(56_000)));
    assert_eq!(due(56_000, true), UsageDue::Now);
    assert_eq!(due(56_000, false), UsageDue::At(WallTimeMs(63_000)));
    assert_eq!(due(63_000, false), UsageDue::Now);
}

/// A plain request counts from when it was sent, but only its response shows that it ran.
#[test]
fn a_window_closes_one_second_after_its_end() {
    assert_eq!(CALENDAR.first_open_at(WallTimeMs(55_999)), WINDOW);
    assert_eq!(CALENDAR.first_open_at(WallTimeMs(56_000)), WINDOW.next());
}

/// Reports may arrive several times and in any order; each request must count once.
#[test]
fn repeated_late_and_reordered_reports_count_once() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 0);
    let one = daemon_process("vm-1", 1);
    for entries in [
        [("a", 3), ("b", 1)],
        [("a", 5), ("b", 1)],
        [("a", 5), ("b", 1)],
        [("a", 4), ("b", 1)],
    ] {
        collection.on_report(NOW, report(one.clone(), 11, &entries));
    }
    assert_eq!(collection.total(WINDOW), counts(&[("a", 5), ("b", 1)]));
}

/// A session that took a report without the windows that the session before had acknowledged would
/// count this daemon as complete, and miss those windows.
#[test]
fn a_new_session_of_a_holder_gets_all_counts_again() {
    let holder = daemon_process("vm-1", 1);
    let own = report(daemon_process("vm-2", 1), 11, &[("a", 3)]);
    let mut unreported = UnreportedUsage::default();
    let first = unreported.report(&holder, &own).expect("a report");
    assert!(unreported.on_answer(&holder, &own, &first, FENCE));
    let later = UsageReport {
        first_open: UsageWindow(12),
        ..own.clone()
    };
    let partial = unreported.report(&holder, &later).expect("a report");
    assert_eq!(partial.windows, []);
    let new_fence = FenceToken(8);
    let mut collection = UsageCollection::new(new_fence, HOLDER_START, 0);
    collection.on_report(NOW, partial.clone());
    assert_eq!(collection.daemons_closed(WINDOW), 0);
    assert!(!unreported.on_answer(&holder, &later, &partial, new_fence));
    let whole = unreported.report(&holder, &later).expect("a report");
    collection.on_report(NOW, whole.clone());
    assert!(unreported.on_answer(&holder, &later, &whole, new_fence));
    assert_eq!(collection.total(WINDOW), counts(&[("a", 3)]));
    assert_eq!(unreported.report(&holder, &later), None);
}

/// A daemon that restarts counts from zero; its earlier counts must not be replaced.
#[test]
fn counts_of_successive_incarnations_add_up() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 0);
    collection.on_report(NOW, report(daemon_process("vm-1", 1), 10, &[("a", 3)]));
    collection.on_report(
        NOW + DurationMs(500),
        report(daemon_process("vm-1", 2), 11, &[("a", 2)]),
    );
    assert_eq!(collection.total(WINDOW), counts(&[("a", 5)]));
    // The earlier incarnation never closes the window, and isn't awaited.
    assert!(collection.is_complete(NOW + DurationMs(600), WINDOW));
}

/// A window submitted without a partitioned daemon is too low, but waiting without end would submit
/// none.
#[test]
fn a_partitioned_daemon_is_awaited_for_a_limited_time() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 0);
    collection.on_report(NOW, report(daemon_process("vm-1", 1), 11, &[("a", 3)]));
    collection.on_report(NOW, report(daemon_process("vm-2", 1), 10, &[("a", 3)]));
    assert!(!collection.is_complete(NOW + DurationMs(9_000), WINDOW));
    collection.on_report(
        NOW + DurationMs(15_000),
        report(daemon_process("vm-1", 1), 11, &[]),
    );
    assert!(collection.is_complete(NOW + DurationMs(15_000), WINDOW));
}

/// A new holder doesn't know all daemons yet, and would submit a window without some of their
/// counts.
#[test]
fn a_new_holder_awaits_as_many_daemons_as_closed_the_last_window() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 2);
    assert!(!collection.is_complete(NOW, WINDOW));
    collection.on_report(NOW, report(daemon_process("vm-1", 1), 11, &[("a", 3)]));
    assert!(!collection.is_complete(NOW, WINDOW));
    collection.on_report(NOW, report(daemon_process("vm-2", 1), 11, &[("a", 3)]));
    assert!(collection.is_complete(NOW, WINDOW));
}

/// The first windows of a starting fleet were submitted without most of its counts.
#[test]
fn a_new_holder_collects_for_some_seconds_before_a_window_is_complete() {
    let mut collection = UsageCollection::new(FENCE, NOW, 0);
    collection.on_report(NOW, report(daemon_process("vm-1", 1), 11, &[("a", 3)]));
    assert!(!collection.is_complete(NOW + DurationMs(3_499), WINDOW));
    collection.on_report(NOW, report(daemon_process("vm-2", 1), 11, &[("a", 3)]));
    assert!(collection.is_complete(NOW + DurationMs(3_500), WINDOW));
}

/// The last report of a stopped daemon is final; its windows must not wait for it.
#[test]
fn a_stopped_daemon_has_closed_every_window() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 0);
    collection.on_report(
        NOW,
        report(daemon_process("vm-1", 1), u64::MAX, &[("a", 3)]),
    );
    assert!(collection.is_complete(NOW, WINDOW));
    assert_eq!(collection.total(WINDOW), counts(&[("a", 3)]));
}

/// Dropping a window too early would lose counts, keeping it would use memory without limit.
#[test]
fn submitted_windows_are_dropped_and_newer_ones_kept() {
    let mut collection = UsageCollection::new(FENCE, HOLDER_START, 0);
    let mut both = report(daemon_process("vm-1", 1), 11, &[("a", 3)]);
    both.windows.push((WINDOW.next(), counts(&[("a", 1)])));
    collection.on_report(NOW, both);
    collection.forget_before(NOW + DurationMs(60_000), WINDOW.next());
    assert!(collection.total(WINDOW).is_empty());
    assert_eq!(collection.total(WINDOW.next()).total(), 1);
}

/// A successor repeats the newest windows and awaits as many daemons as its predecessor.
#[test]
fn a_successor_inherits_the_newest_windows_and_the_daemon_count() {
    let mut state = DutyState::initial(daemon_process("vm-1", 1), SourceEra::default());
    for window in 0..10 {
        let usage = WindowUsage {
            window: UsageWindow(window),
            counts: counts(&[("a", window as u32)]),
        };
        state = state.with_window(usage, 88);
    }
    let state = state.with_holder(daemon_process("vm-2", 5), SourceEra::default());
    assert_eq!(state.holder, daemon_process("vm-2", 5));
    assert_eq!(state.newest_window(), Some(UsageWindow(9)));
    assert_eq!((state.submitted_windows.len(), state.daemons), (4, 88));
}

/// Returns a failed run of a prompt whose first token was expected after 100 ms.
fn failed_run(error: AttemptError, elapsed_ms: f64) -> RunResult {
    RunResult::Failed(FailedRun {
        error,
        elapsed_ms,
        expected_ms: 100.0,
    })
}

/// A plain request occupies a slot as soon as it is sent, with any status and also when it fails.
#[test]
fn a_plain_request_counts_from_when_it_was_sent_with_any_result() {
    for run in [
        RunResult::Answered(StatusCode::OK),
        RunResult::Answered(StatusCode::INTERNAL_SERVER_ERROR),
        failed_run(AttemptError::Broken, 1.0),
        failed_run(AttemptError::TimedOut, 800.0),
    ] {
        assert_eq!(
            usage_start(true, run),
            Some(UsageStart::WhenSent),
            "{run:?}"
        );
    }
}

/// A successful status alone doesn't show that the prompt has its first token.
#[test]
fn a_prompt_counts_with_its_first_token_not_its_response_head() {
    assert_eq!(
        usage_start(false, RunResult::Answered(StatusCode::OK)),
        None
    );
}

/// Where engines failed 0.45 of their requests, windows were 0.27 too low without these.
#[test]
fn a_prompt_answered_with_a_server_error_has_started() {
    let run = RunResult::Answered(StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(usage_start(false, run), Some(UsageStart::Now));
}

/// Engines that go down and up break connections at once: windows were 0.37 too high. Engines whose
/// responses are lost break them when a run has started: windows were 0.30 too low. Silent engines
/// keep running their requests: 0.10 too low.
#[test]
fn a_prompt_without_a_response_has_started_if_its_first_token_was_possible() {
    for error in [
        AttemptError::Broken,
        AttemptError::TimedOut,
        AttemptError::Silent,
    ] {
        assert_eq!(
            usage_start(false, failed_run(error, 2.0)),
            None,
            "{error:?}"
        );
        assert_eq!(
            usage_start(false, failed_run(error, 59.0)),
            None,
            "{error:?}"
        );
        let late = failed_run(error, 60.0);
        assert_eq!(usage_start(false, late), Some(UsageStart::Now), "{error:?}");
    }
    let crossed = failed_run(AttemptError::Crossed, 3_000.0);
    assert_eq!(usage_start(false, crossed), None);
}

//! Tests of whether a request may be sent again, and if not, why: all cases of `decisions::resend`.

use bridgevane_gateway::decisions::admission::refusal::{Refusal, RefusalReason};
use bridgevane_gateway::decisions::resend::{
    AttemptError, Failure, MAX_ENDPOINTS, MIN_REMAINING, NoResend, OpenError, ResendPolicy,
    ResendProgress, check, hedging,
};
use bridgevane_types::DurationMs;
use std::cell::Cell;
use std::time::Duration;

const ONCE: ResendPolicy = ResendPolicy {
    may_run_again: false,
    is_resumable: false,
    max_runs: 1,
};
const OFTEN: ResendPolicy = ResendPolicy {
    may_run_again: true,
    is_resumable: false,
    max_runs: 2,
};
const RESUMABLE: ResendPolicy = ResendPolicy {
    may_run_again: true,
    is_resumable: true,
    max_runs: 2,
};
const NOT_SENT: Failure = Failure::Attempt(AttemptError::NotSent(OpenError::Refused));
const NOT_RUN: Failure = Failure::Attempt(AttemptError::NotExecuted);
const BROKEN: Failure = Failure::Attempt(AttemptError::Broken);

fn progress(endpoints_tried: usize, runs: u32) -> ResendProgress {
    ResendProgress {
        endpoints_tried,
        runs,
        remaining: Duration::from_secs(1),
        suspected_crashes: 0,
    }
}

/// Guards against retries and resumed streams that crash one more endpoint each, and against a request
/// that isn't tried elsewhere although it has not run.
#[test]
fn a_request_that_may_have_crashed_two_endpoints_is_not_run_again() {
    for failure in [
        BROKEN,
        Failure::ServerError,
        Failure::StillWaiting,
        Failure::StreamBroken,
    ] {
        for (suspected_crashes, expected) in [(1, Ok(())), (2, Err(NoResend::MayCrashEndpoints))] {
            let progress = ResendProgress {
                suspected_crashes,
                ..progress(1, 0)
            };
            assert_eq!(verdict(failure, RESUMABLE, progress, true).0, expected);
        }
    }
    let progress = ResendProgress {
        suspected_crashes: 2,
        ..progress(1, 0)
    };
    assert_eq!(verdict(NOT_SENT, RESUMABLE, progress, true).0, Ok(()));
    assert_eq!(verdict(NOT_RUN, RESUMABLE, progress, true).0, Ok(()));
}

/// Returns the decision, and whether a retry was withdrawn from the budget.
fn verdict(
    failure: Failure,
    policy: ResendPolicy,
    progress: ResendProgress,
    has_budget: bool,
) -> (Result<(), NoResend>, bool) {
    let is_withdrawn = Cell::new(false);
    let withdraw = || {
        is_withdrawn.set(has_budget);
        has_budget
    };
    let verdict = check(failure, policy, progress, withdraw);
    (verdict, is_withdrawn.get())
}

/// Guards against a request that runs more often than its route allows, and against one that is
/// refused although it may be sent again.
#[test]
fn every_failure_has_its_decision() {
    let tried = MAX_ENDPOINTS;
    let misdirected = Failure::Attempt(AttemptError::Misdirected);
    let silent = Failure::Attempt(AttemptError::Silent);
    let (free, paid) = ((Ok(()), false), (Ok(()), true));
    let denied = |reason| (Err(reason), false);
    let cases = [
        ("not sent is free", NOT_SENT, ONCE, progress(1, 0), free),
        ("not run is paid for", NOT_RUN, ONCE, progress(1, 0), paid),
        (
            "misdirected is paid for",
            misdirected,
            ONCE,
            progress(1, 0),
            paid,
        ),
        (
            "not sent, too many endpoints tried",
            NOT_SENT,
            OFTEN,
            progress(tried, 0),
            denied(NoResend::NoEndpointsLeft),
        ),
        (
            "not run, too many endpoints tried",
            NOT_RUN,
            OFTEN,
            progress(tried, 0),
            denied(NoResend::NoEndpointsLeft),
        ),
        (
            "may have run, once only",
            BROKEN,
            ONCE,
            progress(1, 1),
            denied(NoResend::RunsOnce),
        ),
        ("may have run", BROKEN, OFTEN, progress(1, 1), paid),
        (
            "may have run twice",
            BROKEN,
            OFTEN,
            progress(2, 2),
            denied(NoResend::NoRunsLeft),
        ),
        (
            "server error, once only",
            Failure::ServerError,
            ONCE,
            progress(1, 1),
            denied(NoResend::RunsOnce),
        ),
        (
            "server error",
            Failure::ServerError,
            OFTEN,
            progress(1, 1),
            paid,
        ),
        (
            "hedge, once only",
            Failure::StillWaiting,
            ONCE,
            progress(1, 0),
            denied(NoResend::RunsOnce),
        ),
        ("hedge", Failure::StillWaiting, OFTEN, progress(1, 0), paid),
        (
            "hedge, the pending run counts",
            Failure::StillWaiting,
            OFTEN,
            progress(2, 1),
            denied(NoResend::NoRunsLeft),
        ),
        (
            "a hedge was paid for before",
            silent,
            OFTEN,
            progress(1, 1),
            free,
        ),
        (
            "a stream that can't be resumed",
            Failure::StreamBroken,
            OFTEN,
            progress(1, 1),
            denied(NoResend::NotResumable),
        ),
        (
            "a stream",
            Failure::StreamBroken,
            RESUMABLE,
            progress(1, 1),
            paid,
        ),
        (
            "a stream that was resumed",
            Failure::StreamBroken,
            RESUMABLE,
            progress(2, 2),
            denied(NoResend::NoRunsLeft),
        ),
    ];
    for (what, failure, policy, progress, expected) in cases {
        assert_eq!(verdict(failure, policy, progress, true), expected, "{what}");
    }
}

/// Guards against retries beyond the budget.
#[test]
fn with_an_empty_budget_only_unsent_requests_are_resent() {
    let empty = (Err(NoResend::BudgetEmpty), false);
    let first = progress(1, 0);
    assert_eq!(verdict(NOT_SENT, ONCE, first, false), (Ok(()), false));
    assert_eq!(verdict(NOT_RUN, ONCE, first, false), empty);
    for failure in [BROKEN, Failure::ServerError, Failure::StreamBroken] {
        assert_eq!(verdict(failure, RESUMABLE, progress(1, 1), false), empty);
    }
    assert_eq!(verdict(Failure::StillWaiting, OFTEN, first, false), empty);
}

/// Guards against resuming a stream that would miss its deadline.
#[test]
fn a_stream_without_time_left_is_not_resumed() {
    let late = ResendProgress {
        remaining: MIN_REMAINING,
        ..progress(1, 1)
    };
    let (verdict, _) = verdict(Failure::StreamBroken, RESUMABLE, late, true);
    assert_eq!(verdict, Err(NoResend::OutOfTime));
}

/// Guards against a second engine that reads a long prompt because the first one is busy.
#[test]
fn a_stream_is_not_hedged_while_its_engine_streams_to_others() {
    assert!(!hedging::is_silent(true, true), "the engine is busy");
    assert!(hedging::is_silent(true, false));
    assert!(hedging::is_silent(false, true), "plain answers are short");
    let target = DurationMs(1_000);
    assert_eq!(hedging::delay(target, false), Duration::from_millis(600));
    assert_eq!(hedging::delay(target, true), Duration::from_millis(3_000));
}

/// Guards against a client that repeats a request which has run: 408, 421, 429 and 503 say that it
/// has not.
#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    let not_run_statuses = [408, 421, 429, 503];
    let full = AttemptError::NotExecuted;
    let not_run = Refusal::after_failure(full, 0, Some(DurationMs(170)));
    assert_eq!(not_run.reason, RefusalReason::Overloaded);
    assert_eq!(not_run.retry_after(), Some(DurationMs(170)));
    for error in [
        full,
        AttemptError::NotSent(OpenError::TimedOut),
        AttemptError::Misdirected,
        AttemptError::Broken,
        AttemptError::Crossed,
        AttemptError::TimedOut,
    ] {
        let refusal = Refusal::after_failure(error, 1, Some(DurationMs(170)));
        let status = refusal.reason.status().as_u16();
        assert!(!not_run_statuses.contains(&status), "{error}: {status}");
    }
    for reason in [
        RefusalReason::NotReady,
        RefusalReason::Stopping,
        RefusalReason::NoEndpoint,
        RefusalReason::Overloaded,
    ] {
        assert_eq!(reason.or_unknown_if_run(0), reason);
        assert_eq!(reason.or_unknown_if_run(1), RefusalReason::OutcomeUnknown);
    }
    assert_eq!(RefusalReason::out_of_time(0), RefusalReason::Expired);
    assert_eq!(RefusalReason::out_of_time(1), RefusalReason::TimedOut);
}

//! May a request be sent again, and why not: the whole table of `decisions::resend`.

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
    }
}

/// The verdict, and whether a retry was taken from the budget.
fn verdict(
    failure: Failure,
    policy: ResendPolicy,
    progress: ResendProgress,
    has_budget: bool,
) -> (Result<(), NoResend>, bool) {
    let is_taken = Cell::new(false);
    let take = || {
        is_taken.set(has_budget);
        has_budget
    };
    let verdict = check(failure, policy, progress, take);
    (verdict, is_taken.get())
}

#[test]
fn every_failure_has_one_answer() {
    let tried = MAX_ENDPOINTS;
    let misdirected = Failure::Attempt(AttemptError::Misdirected);
    let silent = Failure::Attempt(AttemptError::Silent);
    let (free, paid) = ((Ok(()), false), (Ok(()), true));
    let denied = |reason| (Err(reason), false);
    let cases = [
        ("not sent is free", NOT_SENT, ONCE, progress(1, 0), free),
        ("not run is paid for", NOT_RUN, ONCE, progress(1, 0), paid),
        ("so is misdirected", misdirected, ONCE, progress(1, 0), paid),
        (
            "not sent, to too many",
            NOT_SENT,
            OFTEN,
            progress(tried, 0),
            denied(NoResend::NoEndpointsLeft),
        ),
        (
            "not run, by too many",
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
            "hedge, the run that is out counts",
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

#[test]
fn without_a_budget_only_what_is_free_goes_on() {
    let empty = (Err(NoResend::BudgetEmpty), false);
    let first = progress(1, 0);
    assert_eq!(verdict(NOT_SENT, ONCE, first, false), (Ok(()), false));
    assert_eq!(verdict(NOT_RUN, ONCE, first, false), empty);
    for failure in [BROKEN, Failure::ServerError, Failure::StreamBroken] {
        assert_eq!(verdict(failure, RESUMABLE, progress(1, 1), false), empty);
    }
    assert_eq!(verdict(Failure::StillWaiting, OFTEN, first, false), empty);
}

#[test]
fn a_stream_without_time_left_is_not_resumed() {
    let late = ResendProgress {
        remaining: MIN_REMAINING,
        ..progress(1, 1)
    };
    let (verdict, _) = verdict(Failure::StreamBroken, RESUMABLE, late, true);
    assert_eq!(verdict, Err(NoResend::OutOfTime));
}

#[test]
fn an_engine_that_streams_to_others_is_not_hedged() {
    assert!(!hedging::is_silent(true, true), "it is busy");
    assert!(hedging::is_silent(true, false));
    assert!(hedging::is_silent(false, true), "plain answers are short");
    let target = DurationMs(1_000);
    assert_eq!(hedging::delay(target, false), Duration::from_millis(600));
    assert_eq!(hedging::delay(target, true), Duration::from_millis(3_000));
}

/// 408, 421, 429 and 503 promise that a request has not run.
#[test]
fn a_request_that_may_have_run_is_never_refused_with_a_promise() {
    let promises = [408, 421, 429, 503];
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
        assert!(!promises.contains(&status), "{error}: {status}");
    }
    for reason in [
        RefusalReason::NotReady,
        RefusalReason::NoEndpoint,
        RefusalReason::Overloaded,
    ] {
        assert_eq!(reason.unless_run(0), reason);
        assert_eq!(reason.unless_run(1), RefusalReason::OutcomeUnknown);
    }
    assert_eq!(RefusalReason::out_of_time(0), RefusalReason::Expired);
    assert_eq!(RefusalReason::out_of_time(1), RefusalReason::TimedOut);
}

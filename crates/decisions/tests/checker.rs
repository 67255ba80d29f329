//! The checker of guarantees finds each kind of violation in a hand-written decision log.

use bridgevane_decisions::{CancelCause, ClassIx, Decision, DecisionRecord, EndpointIx};
use bridgevane_standins::{BrokenPromise, check_promises};
use bridgevane_types::{AttemptNumber, Outcome, RefusalCode, RequestId, Tier, TimeMs, Tokens};

const HIGH: RequestId = RequestId(1);
const LOW: RequestId = RequestId(2);

fn offered(request: RequestId, tier: u8, is_repeatable: bool) -> Decision {
    Decision::Offered {
        request,
        class: ClassIx(u16::from(tier)),
        tier: Tier(tier),
        is_repeatable,
        is_preemptible: is_repeatable,
    }
}

fn dispatched(request: RequestId, attempt: u64) -> Decision {
    Decision::Dispatched {
        request,
        attempt: AttemptNumber(attempt),
        engine: EndpointIx(0),
        cached_tokens: Tokens(0),
        is_protected: false,
    }
}

fn lost(request: RequestId, may_have_run: bool) -> Decision {
    Decision::Lost {
        request,
        attempt: AttemptNumber(0),
        may_have_run,
    }
}

fn refused(request: RequestId, outcome: Outcome) -> Decision {
    Decision::Refused {
        request,
        code: RefusalCode::CannotMeetTarget,
        outcome,
    }
}

fn preempted(request: RequestId, for_tier: u8) -> Decision {
    Decision::Cancelled {
        request,
        attempt: AttemptNumber(0),
        cause: CancelCause::Preempted,
        for_tier: Some(Tier(for_tier)),
    }
}

fn check(decisions: &[Decision]) -> Vec<BrokenPromise> {
    let at = |decision: &Decision| DecisionRecord {
        at: TimeMs(0),
        decision: *decision,
    };
    let records: Vec<DecisionRecord> = decisions.iter().map(at).collect();
    check_promises(&records)
}

// Each violation has a similar log without one, so that a checker that reports too much fails, too.
#[test]
fn each_violation_is_reported_and_a_similar_correct_log_is_not() {
    let refused_above = BrokenPromise::RefusedAboveLower {
        request: HIGH,
        tier: Tier(0),
        lower: Tier(2),
    };
    let preempted_for = BrokenPromise::PreemptedForLower {
        request: HIGH,
        tier: Tier(0),
        for_tier: Tier(2),
    };
    let not_run = Outcome::NotRun;
    let high = offered(HIGH, 0, true);
    let low = offered(LOW, 2, true);
    let once = offered(HIGH, 0, false);
    let done = Decision::Done {
        request: HIGH,
        attempt: AttemptNumber(0),
        tokens: Tokens(1),
    };
    let table: Vec<(&str, Vec<Decision>, Vec<BrokenPromise>)> = vec![
        (
            "refused while lower runs",
            vec![low, dispatched(LOW, 0), high, refused(HIGH, not_run)],
            vec![refused_above],
        ),
        (
            "refused after lower left",
            vec![
                low,
                dispatched(LOW, 0),
                preempted(LOW, 0),
                high,
                refused(HIGH, not_run),
            ],
            vec![],
        ),
        (
            "lower refused while higher runs",
            vec![high, dispatched(HIGH, 0), low, refused(LOW, not_run)],
            vec![],
        ),
        (
            "preempted for a lower tier",
            vec![high, dispatched(HIGH, 0), preempted(HIGH, 2)],
            vec![preempted_for],
        ),
        (
            "not run after it may have",
            vec![
                high,
                dispatched(HIGH, 0),
                lost(HIGH, true),
                refused(HIGH, not_run),
            ],
            vec![BrokenPromise::FalseNotRun { request: HIGH }],
        ),
        (
            "not run after it surely didn't",
            vec![
                high,
                dispatched(HIGH, 0),
                lost(HIGH, false),
                refused(HIGH, not_run),
            ],
            vec![],
        ),
        (
            "not run while it runs",
            vec![high, dispatched(HIGH, 0), refused(HIGH, not_run)],
            vec![BrokenPromise::FalseNotRun { request: HIGH }],
        ),
        (
            "repeated though it may not be",
            vec![
                once,
                dispatched(HIGH, 0),
                lost(HIGH, true),
                dispatched(HIGH, 1),
            ],
            vec![BrokenPromise::Repeated { request: HIGH }],
        ),
        (
            "sent again after it surely didn't run",
            vec![
                once,
                dispatched(HIGH, 0),
                lost(HIGH, false),
                dispatched(HIGH, 1),
            ],
            vec![],
        ),
        (
            "two attempts at once",
            vec![high, dispatched(HIGH, 0), dispatched(HIGH, 1)],
            vec![BrokenPromise::RanTwiceAtOnce { request: HIGH }],
        ),
        (
            "answered twice",
            vec![high, dispatched(HIGH, 0), done, refused(HIGH, Outcome::Ran)],
            vec![BrokenPromise::AnsweredTwice { request: HIGH }],
        ),
    ];
    for (name, decisions, expected) in table {
        assert_eq!(check(&decisions), expected, "{name}");
    }
}

//! Tests of the tenure: which daemon may hold the duties, and until when the holder may act.

use bridgevane_gateway::decisions::duties::tenure::{
    CandidateRank, Predecessor, RESTORE_HEAD_START, Tenure, TenureStart, Vacancy,
    candidacy_starts_at,
};
use bridgevane_types::{DurationMs, FenceToken, TimeMs};

const LEASE: DurationMs = DurationMs(3_000);
const CALL: DurationMs = DurationMs(1_000);

fn tenure(predecessor: Predecessor) -> Tenure {
    Tenure::begin(TenureStart {
        fence: FenceToken(7),
        lease_requested_at: TimeMs(10_000),
        known_at: TimeMs(10_050),
        lease_ms: LEASE,
        predecessor,
        might_act_from: TimeMs(0),
    })
}

/// No other holder can still act in these cases, so a wait would only delay usage.
#[test]
fn a_first_or_returning_holder_acts_at_once() {
    for predecessor in [Predecessor::None, Predecessor::Itself] {
        assert!(tenure(predecessor).may_act(TimeMs(10_050), CALL));
    }
}

/// The store may have ended the earlier lease early, while its holder still relies on it.
#[test]
fn a_successor_waits_until_every_earlier_lease_has_expired() {
    let mut successor = tenure(Predecessor::Another);
    successor.on_renewed(TimeMs(12_900));
    assert!(!successor.may_act(TimeMs(13_049), CALL));
    assert!(successor.may_act(TimeMs(13_050), CALL));
    // The latest possible renewal of an earlier holder is just before the successor's grant.
    let mut earlier = tenure(Predecessor::None);
    earlier.on_renewed(TimeMs(10_050));
    assert!(!earlier.may_act(TimeMs(13_050), DurationMs(0)));
}

/// The store may have granted the lease at any time after the call was sent.
#[test]
fn a_lease_counts_from_the_sent_call_and_no_call_may_outlast_it() {
    let mut holder = tenure(Predecessor::None);
    // Nine tenths of the lease, from the time when it was requested.
    assert!(holder.may_act(TimeMs(11_700), CALL));
    assert!(!holder.may_act(TimeMs(11_701), CALL));
    assert!(holder.may_act(TimeMs(12_700), DurationMs(0)));
    // A renewal whose response arrives after a freeze counts from when it was sent.
    holder.on_renewed(TimeMs(11_000));
    assert!(!holder.may_act(TimeMs(16_000), DurationMs(0)));
}

/// A holder that gives up its lease must not act until the lease's own end.
#[test]
fn an_ended_tenure_allows_no_calls() {
    let mut holder = tenure(Predecessor::None);
    holder.end();
    assert!(!holder.may_act(TimeMs(10_100), DurationMs(0)));
    assert!(holder.is_over());
}

/// Candidates that start together cause rejected writes at the store.
#[test]
fn candidates_start_in_the_order_last_holder_seeds_others() {
    let places = [
        CandidateRank::LastHolder,
        CandidateRank::Seed(0),
        CandidateRank::Seed(1),
        CandidateRank::Seed(2),
        CandidateRank::Other { spread: 0.0 },
        CandidateRank::Other { spread: 1.0 },
    ];
    let vacancy = Vacancy {
        since: TimeMs(5_000),
        is_after_restore: false,
    };
    let at = places.map(|place| candidacy_starts_at(vacancy, place));
    assert_eq!(at[0], TimeMs(5_000));
    assert!(at.is_sorted_by(|earlier, later| earlier < later), "{at:?}");
    // The last candidate starts while a window's usage can still be submitted in time.
    assert!(at[5].since(at[0]) <= DurationMs(2_000), "{at:?}");
}

/// A daemon that takes the duties before the last holder learns of a return from a copy leaves out
/// windows that only the last holder knows to be open.
#[test]
fn other_candidates_wait_for_the_last_holder_after_a_return_from_a_copy() {
    let vacancy = Vacancy {
        since: TimeMs(5_000),
        is_after_restore: true,
    };
    let last_holder = candidacy_starts_at(vacancy, CandidateRank::LastHolder);
    assert_eq!(last_holder, TimeMs(5_000));
    let seed = candidacy_starts_at(vacancy, CandidateRank::Seed(0));
    assert!(seed.since(last_holder) > RESTORE_HEAD_START);
}

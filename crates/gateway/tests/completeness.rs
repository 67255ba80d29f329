//! The rule of what a state may lack after the control source came back from a copy.

use bridgevane_gateway::decisions::admission::freshness::{Freshness, FreshnessPolicy};
use bridgevane_gateway::decisions::replication::completeness::{
    Completeness::{self, Complete, Unwitnessed, Witnessed},
    DOUBT_LIMIT, EraKnowledge, WITNESS_WAIT,
};
use bridgevane_gateway::{Revision, SourceEra};
use bridgevane_types::{ConfigVersion, DurationMs, TimeMs};

const PROOF_LIFETIME: DurationMs = DurationMs(4_700);
const START: TimeMs = TimeMs(1_000_000);

fn at(after_ms: u64) -> TimeMs {
    START + DurationMs(after_ms)
}

fn revision(era: u32, counter: u64) -> Revision {
    Revision::new(SourceEra(era), counter)
}

/// Returns the knowledge of a daemon that starts in this era.
fn started_in(era: u32) -> EraKnowledge {
    EraKnowledge::default().after_full_state(START, revision(era, 10), None, PROOF_LIFETIME)
}

/// Returns the knowledge of a daemon that was in era 0, after a return 1 s later.
fn returned(proof_age_ms: u64) -> EraKnowledge {
    let proof_age = Some(DurationMs(proof_age_ms));
    started_in(0).after_full_state(at(1_000), revision(1, 8), proof_age, PROOF_LIFETIME)
}

/// Guards against daemons that wait although the source never came back from a copy.
#[test]
fn every_state_of_the_first_era_is_complete() {
    assert_eq!(EraKnowledge::default().completeness(START), Complete);
    assert_eq!(started_in(0).completeness(START), Complete);
    let reloaded = started_in(0).after_full_state(
        at(9_000),
        revision(0, 30),
        Some(DurationMs(8_000)),
        PROOF_LIFETIME,
    );
    assert_eq!(reloaded.completeness(at(9_000)), Complete);
}

/// Guards against a daemon that starts from a copy, or was cut off in the return, and trusts its state.
#[test]
fn only_a_daemon_with_a_valid_proof_witnesses_a_return() {
    assert_eq!(started_in(1).completeness(START), Unwitnessed);
    assert_eq!(returned(0).completeness(at(1_000)), Witnessed);
    assert_eq!(returned(4_699).completeness(at(1_000)), Witnessed);
    assert_eq!(returned(4_700).completeness(at(1_000)), Unwitnessed);
}

/// Guards against a fleet that refuses all requests after a return for which the store was away longer
/// than a proof is valid.
#[test]
fn a_daemon_that_was_cut_off_waits_a_while_for_one_that_knows_more() {
    let known = returned(4_700);
    let last = 1_000 + WITNESS_WAIT.0 - 1;
    assert_eq!(known.completeness(at(last)), Unwitnessed);
    assert_eq!(known.completeness(at(last + 1)), Witnessed);
}

/// Guards against a second return that makes a witness of a daemon that wasn't one of the first.
#[test]
fn a_daemon_without_a_witness_stays_so_over_a_second_return() {
    let fresh = Some(DurationMs(100));
    let again = started_in(1).after_full_state(at(500), revision(2, 5), fresh, PROOF_LIFETIME);
    assert_eq!(again.completeness(at(500)), Unwitnessed);
    let again = returned(100).after_full_state(at(1_500), revision(2, 5), fresh, PROOF_LIFETIME);
    assert_eq!(again.completeness(at(1_500)), Witnessed);
}

/// Guards against a fleet that never serves or denies again.
#[test]
fn a_doubt_ends_by_time() {
    for (known, doubt, since_ms) in [
        (started_in(1), Unwitnessed, 0),
        (returned(100), Witnessed, 1_000),
    ] {
        let last = since_ms + DOUBT_LIMIT.0 - 1;
        assert_eq!(known.completeness(at(last)), doubt);
        assert_eq!(known.completeness(at(last + 1)), Complete);
    }
}

/// Guards against a record of the copy, or an older version that an operator replays, that is taken for the
/// operator's newest write.
#[test]
fn only_a_write_of_this_era_that_is_not_older_ends_a_doubt() {
    let now = at(1_500);
    let after = |written: u64, counter: u64| {
        let (written, active) = (ConfigVersion(written), ConfigVersion(12));
        returned(100)
            .after_operator_write(revision(1, counter), written, active)
            .completeness(now)
    };
    assert_eq!(after(12, 8), Witnessed);
    assert_eq!(after(11, 9), Witnessed);
    assert_eq!(after(12, 9), Complete);
    assert_eq!(after(13, 9), Complete);
}

/// Guards against a report that makes a state less complete, and against one that is ignored.
#[test]
fn reports_of_other_daemons_only_raise() {
    let now = at(1_500);
    let after = |known: EraKnowledge, reported: Completeness| {
        known.after_report(reported).completeness(now)
    };
    assert_eq!(after(started_in(1), Unwitnessed), Unwitnessed);
    assert_eq!(after(started_in(1), Witnessed), Witnessed);
    assert_eq!(after(started_in(1), Complete), Complete);
    assert_eq!(after(returned(100), Unwitnessed), Witnessed);
    assert_eq!(after(started_in(0), Unwitnessed), Complete);
}

/// Guards against 401 and 404 by an incomplete state, against requests that are served by a copy alone, and
/// against an outage where operators allow a stale configuration.
#[test]
fn an_incomplete_state_denies_nothing_and_a_copy_serves_nothing() {
    let strict = FreshnessPolicy {
        proof_lifetime_ms: DurationMs(4_700),
        config_apply_ms: DurationMs(3_000),
        max_stale_age_ms: DurationMs(4_700),
    };
    let lenient = FreshnessPolicy {
        max_stale_age_ms: DurationMs(60_000),
        ..strict
    };
    let young = Some(DurationMs(100));
    assert_eq!(strict.freshness(young, Complete), Freshness::Current);
    assert_eq!(strict.freshness(young, Witnessed), Freshness::Witnessed);
    assert_eq!(strict.freshness(young, Unwitnessed), Freshness::Unwitnessed);
    assert_eq!(lenient.freshness(young, Witnessed), Freshness::Witnessed);
    assert_eq!(lenient.freshness(young, Unwitnessed), Freshness::Stale);
    for completeness in [Unwitnessed, Witnessed, Complete] {
        let expired = Some(DurationMs(4_700));
        assert_eq!(strict.freshness(expired, completeness), Freshness::TooOld);
        assert_eq!(lenient.freshness(expired, completeness), Freshness::Stale);
        assert_eq!(strict.freshness(None, completeness), Freshness::TooOld);
    }
    let witnessed = Freshness::Witnessed;
    assert!(witnessed.may_serve() && !witnessed.may_deny() && witnessed.may_order());
    let unwitnessed = Freshness::Unwitnessed;
    assert!(!unwitnessed.may_serve() && !unwitnessed.may_deny() && !unwitnessed.may_order());
    assert!(witnessed.may_hold_duties() && unwitnessed.may_hold_duties());
}

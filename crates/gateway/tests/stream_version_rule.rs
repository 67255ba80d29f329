//! Tests of the rule for the software version of a stream, in virtual time.

#![allow(missing_docs)]

use bridgevane_gateway::decisions::eligibility::stream_version::{
    ServiceVersions, VERSION_MEMORY, VersionEvidence, VersionHash, VersionSpan, notice_time,
};
use bridgevane_types::{DurationMs, TimeMs};

const NOTICE: DurationMs = DurationMs(3_000);
const V1: VersionHash = VersionHash(1);
const V2: VersionHash = VersionHash(2);
const START: TimeMs = TimeMs(1_000_000);

fn at(ms: u64) -> TimeMs {
    START + DurationMs(ms)
}

fn evidence(now: TimeMs, proof_age_ms: u64) -> VersionEvidence {
    VersionEvidence {
        now,
        notice_time: NOTICE,
        proof_age: Some(DurationMs(proof_age_ms)),
        known_since: START,
    }
}

/// Returns a service whose version `V1` is known from the start.
fn one_version() -> ServiceVersions {
    let mut versions = ServiceVersions::default();
    versions.observe(at(0), TimeMs(0), &[V1]);
    versions
}

/// Guards against a single version that is taken for the only one by a daemon whose state may be too
/// old, or that has just started.
#[test]
fn the_only_version_is_concluded_from_a_recent_state_alone() {
    let versions = one_version();
    assert_eq!(versions.only_version(evidence(at(10_000), 2_999)), Some(V1));
    assert_eq!(versions.only_version(evidence(at(10_000), 3_000)), None);
    assert_eq!(versions.only_version(evidence(at(2_999), 100)), None);
    assert_eq!(versions.only_version(evidence(at(3_000), 100)), Some(V1));
    let without_proof = VersionEvidence {
        proof_age: None,
        ..evidence(at(10_000), 0)
    };
    assert_eq!(versions.only_version(without_proof), None);
    let unknown = ServiceVersions::default();
    assert_eq!(unknown.only_version(evidence(at(10_000), 100)), None);
}

/// Guards against two daemons, one of which lags, that send parts of one stream to two versions: the
/// one that knows the new version must not begin streams there while the other may still conclude
/// that there is only one.
#[test]
fn no_daemon_concludes_a_single_version_once_another_may_begin_streams_at_a_second() {
    let written_at = 10_000;
    for seen_after in [0, 200, 1_600] {
        let mut ahead = one_version();
        ahead.observe(at(written_at + seen_after), at(written_at - 300), &[V1, V2]);
        for now in (written_at..written_at + 12_000).step_by(100) {
            let begins = ahead.may_begin(at(now), NOTICE);
            let may_begin = begins.is_some_and(|versions| versions.contains(&V2));
            // The other daemon's newest proof is of a state just before the record.
            let behind = one_version();
            let concluded = behind.only_version(evidence(at(now), now - written_at));
            assert!(!may_begin || concluded.is_none(), "at {now}");
        }
    }
}

/// Guards against streams from before a rollout that can't be taken up as soon as a second version is
/// seen, although none can have begun there yet.
#[test]
fn streams_of_the_old_version_are_known_until_the_new_one_may_begin_any() {
    let mut versions = one_version();
    versions.observe(at(10_200), at(9_800), &[V1, V2]);
    assert_eq!(versions.only_version(evidence(at(12_700), 300)), Some(V1));
    assert_eq!(versions.only_version(evidence(at(12_800), 300)), None);
}

/// Guards against a version that is forgotten while streams which it began may still be taken up, and
/// against one that counts for ever.
#[test]
fn a_version_counts_for_a_while_after_its_last_endpoint_is_gone() {
    let mut versions = one_version();
    versions.observe(at(10_000), at(9_800), &[V1, V2]);
    versions.observe(at(20_000), at(19_800), &[V2]);
    let gone_at = 20_000;
    let last = gone_at + VERSION_MEMORY.0 - 1;
    assert_eq!(versions.only_version(evidence(at(last), 300)), None);
    assert!(versions.needs_reports(evidence(at(last), 300)));
    let forgotten = at(last + 1);
    assert_eq!(versions.only_version(evidence(forgotten, 300)), Some(V2));
    assert!(!versions.needs_reports(evidence(forgotten, 300)));
}

/// Guards against a rollback that makes the old version wait like a new one, and against a fleet that
/// begins no stream because all versions are new.
#[test]
fn a_version_that_comes_back_and_versions_that_are_all_new_begin_streams() {
    let mut versions = one_version();
    versions.observe(at(10_000), at(9_800), &[V2]);
    assert_eq!(versions.may_begin(at(10_000), NOTICE), None, "all are new");
    versions.observe(at(11_000), at(10_800), &[V1, V2]);
    assert_eq!(versions.may_begin(at(11_000), NOTICE), Some(vec![V1]));
    assert_eq!(versions.may_begin(at(13_000), NOTICE), Some(vec![V1, V2]));
}

/// Guards against a daemon that has started and knows only the versions that serve now, not the one
/// that has just gone.
#[test]
fn what_another_daemon_knows_of_versions_counts() {
    let mut versions = ServiceVersions::default();
    versions.observe(at(10_000), TimeMs(0), &[V2]);
    let reported = |version, seen, gone: Option<u64>| VersionSpan {
        version,
        seen_at: at(seen),
        not_before: TimeMs(0),
        gone_at: gone.map(at),
    };
    versions.merge(at(10_100), reported(V1, 0, Some(9_000)));
    versions.merge(at(10_100), reported(V2, 5_000, None));
    assert!(versions.is_mixed(at(10_100)));
    assert_eq!(versions.only_version(evidence(at(10_100), 100)), None);
    assert_eq!(versions.may_begin(at(10_100), NOTICE), Some(vec![V2]));
}

/// Guards against streams that can't be taken up during an outage of the control source: they have to
/// be reported before daemons can no longer conclude their version.
#[test]
fn streams_are_reported_before_the_version_can_no_longer_be_concluded() {
    let versions = one_version();
    let now = at(10_000);
    assert!(!versions.needs_reports(evidence(now, 1_999)));
    assert!(versions.needs_reports(evidence(now, 2_000)));
    assert!(
        versions.needs_reports(evidence(at(1_000), 100)),
        "just started"
    );
    assert_eq!(notice_time(DurationMs(700)), DurationMs(700));
    assert_eq!(notice_time(DurationMs(600_000)), NOTICE);
}

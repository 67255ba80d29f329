//! Tests of the rule for the software version of a stream.

#![allow(missing_docs)]

use bridgevane_gateway::decisions::eligibility::stream_version::{
    HostHash, InvalidHostHash, RegisteredVersions, UnreportedVersion, VersionEvidence, VersionHash,
};
use bridgevane_types::{DurationMs, TimeMs};
use bytes::Bytes;

const V1: VersionHash = VersionHash(1);
const V2: VersionHash = VersionHash(2);
const TAKEN_UP_AT: TimeMs = TimeMs(1_000_000);
const PROOF_LIFETIME: DurationMs = DurationMs(4_700);

fn registered(active: &[VersionHash], retired: &[VersionHash]) -> RegisteredVersions {
    RegisteredVersions {
        active: active.to_vec(),
        retired: retired.to_vec(),
    }
}

/// Returns the evidence of a proof that was requested so many milliseconds after the stream was taken
/// up.
fn proved_after(ms: i64) -> VersionEvidence {
    VersionEvidence {
        taken_up_at: TAKEN_UP_AT,
        proved_at: Some(TimeMs(TAKEN_UP_AT.0.saturating_add_signed(ms))),
        may_lack_versions: false,
    }
}

/// Guards against a version that is concluded from a state that may be older than the stream, however
/// young its proof is.
#[test]
fn the_only_version_is_concluded_from_a_state_that_is_newer_than_the_question() {
    let versions = registered(&[V1], &[]);
    for ms in [-3_000, -1, 0] {
        let unreported = versions.unreported(proved_after(ms));
        assert_eq!(unreported, UnreportedVersion::NeedsProof, "{ms} ms");
    }
    let unreported = versions.unreported(proved_after(1));
    assert_eq!(unreported, UnreportedVersion::Known(V1));
    let without_proof = VersionEvidence {
        proved_at: None,
        ..proved_after(0)
    };
    let unreported = versions.unreported(without_proof);
    assert_eq!(unreported, UnreportedVersion::NeedsProof);
}

/// Guards against a stream of a version that has just left, which is taken for one of the version that
/// replaced it.
#[test]
fn a_retired_version_may_have_begun_a_stream() {
    for versions in [
        registered(&[V1, V2], &[]),
        registered(&[V2], &[V1]),
        registered(&[], &[V1, V2]),
        registered(&[], &[]),
    ] {
        let unreported = versions.unreported(proved_after(1_000));
        assert_eq!(unreported, UnreportedVersion::Unknown, "{versions:?}");
    }
    let leaving = registered(&[], &[V1]);
    let unreported = leaving.unreported(proved_after(1));
    assert_eq!(unreported, UnreportedVersion::Known(V1));
}

/// Guards against a record from a copy of the source, which lacks a version that has begun streams.
#[test]
fn nothing_is_concluded_while_versions_may_be_missing() {
    let versions = registered(&[V1], &[]);
    let after_return = VersionEvidence {
        may_lack_versions: true,
        ..proved_after(1_000)
    };
    let unreported = versions.unreported(after_return);
    assert_eq!(unreported, UnreportedVersion::Unknown);
    assert!(versions.needs_reports(Some(DurationMs(0)), PROOF_LIFETIME, true));
}

/// Guards against two daemons, one of which lags, that send parts of one stream to two versions: in
/// every order of a registration, a stream that begins after it, and a state that is read after the
/// stream was taken up.
#[test]
fn no_daemon_concludes_a_single_version_once_another_may_have_begun_streams_at_a_second() {
    // The source's history: at each step, what its record has.
    let history = [
        registered(&[], &[]),
        registered(&[V1], &[]),
        registered(&[V1, V2], &[]),
        registered(&[V2], &[V1]),
        registered(&[V2], &[]),
    ];
    for begins_at in 0..history.len() {
        for version in &history[begins_at].active {
            // A version is removed only after all streams that it began have ended.
            let known = |record: &&RegisteredVersions| record.all().any(|each| each == *version);
            for read in history[begins_at..].iter().take_while(known) {
                let concluded = read.unreported(proved_after(1));
                let is_right = matches!(concluded, UnreportedVersion::Known(v) if v == *version)
                    || concluded == UnreportedVersion::Unknown;
                assert!(is_right, "{version} began, {read:?} was read");
            }
        }
    }
}

/// Guards against streams that can't be taken up during an outage of the source: they have to be
/// reported before daemons can no longer get a proof.
#[test]
fn streams_are_reported_while_their_version_can_not_be_concluded() {
    let one = registered(&[V1], &[]);
    let needs = |versions: &RegisteredVersions, age: Option<u64>| {
        versions.needs_reports(age.map(DurationMs), PROOF_LIFETIME, false)
    };
    assert!(!needs(&one, Some(1_999)));
    assert!(needs(&one, Some(2_000)));
    assert!(needs(&one, None));
    assert!(needs(&registered(&[V2], &[V1]), Some(0)));
    assert!(needs(&registered(&[], &[]), Some(0)));
    let short = DurationMs(600);
    assert!(!one.needs_reports(Some(DurationMs(399)), short, false));
    assert!(one.needs_reports(Some(DurationMs(400)), short, false));
}

/// Guards against a record that other daemons read differently than it was written.
#[test]
fn a_record_is_read_as_it_was_written() {
    let versions = registered(&[V1, VersionHash(0x0a0b_0c0d)], &[V2]);
    let bytes: &[u8] = &[10, 8, 1, 0, 0, 0, 13, 12, 11, 10, 18, 4, 2, 0, 0, 0];
    assert_eq!(versions.encode(), bytes);
    assert_eq!(RegisteredVersions::decode(&versions.encode()), Ok(versions));
    assert!(RegisteredVersions::decode(&Bytes::from_static(b"odd")).is_err());
}

/// Guards against a stream that goes on at another service because its version has the same name there.
#[test]
fn equal_versions_of_two_services_differ() {
    let version = |service: &str| VersionHash::new(&service.into(), Some(&"v1".into()));
    assert_ne!(version("model"), version("model-2"));
    let unversioned = |service: &str| VersionHash::new(&service.into(), None);
    assert_ne!(unversioned("model"), unversioned("model-2"));
}

/// Guards against two keys of the source that count as one host's.
#[test]
fn a_hosts_hash_has_one_spelling() {
    let host = HostHash::new("host.example");
    assert_eq!(host.to_string().parse(), Ok(host));
    for text in [
        "",
        "1",
        "+0000001",
        "0x000001",
        "0000000G",
        "000000001",
        "ABCDEF01",
    ] {
        assert_eq!(text.parse::<HostHash>(), Err(InvalidHostHash), "{text}");
    }
}

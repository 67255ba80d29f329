//! Tests of the rule for the software versions that the source's record of a service names.

#![allow(missing_docs)]

use bridgevane_gateway::decisions::eligibility::stream_version::{RegisteredVersions, VersionHash};
use bridgevane_gateway::decisions::eligibility::version_registration::{
    RETIRE_AFTER, VersionSight, contact_delay, next_record, version_memory,
};
use bridgevane_types::DurationMs;

const V1: VersionHash = VersionHash(1);
const V2: VersionHash = VersionHash(2);
const MEMORY: DurationMs = DurationMs(60_000);

fn registered(active: &[VersionHash], retired: &[VersionHash]) -> RegisteredVersions {
    RegisteredVersions {
        active: active.to_vec(),
        retired: retired.to_vec(),
    }
}

/// Returns a version that has endpoints.
fn present(version: VersionHash, was_reached: bool) -> VersionSight {
    VersionSight {
        version,
        absent_for: None,
        was_reached,
        retired_for: DurationMs(0),
    }
}

/// Returns a version that has had no endpoints for so long, and has been retired for so long.
fn absent(version: VersionHash, absent_for: DurationMs, retired_for: u64) -> VersionSight {
    VersionSight {
        absent_for: Some(absent_for),
        retired_for: DurationMs(retired_for),
        ..present(version, true)
    }
}

/// Guards against a record of another writer that makes a service one of several versions, though
/// nobody listens at its address.
#[test]
fn a_version_is_registered_once_one_of_its_endpoints_was_reached() {
    let known = registered(&[V1], &[]);
    let unreached = [present(V1, false), present(V2, false)];
    assert_eq!(next_record(&known, &unreached, MEMORY), None);
    let reached = [present(V1, false), present(V2, true)];
    let next = next_record(&known, &reached, MEMORY);
    assert_eq!(next, Some(registered(&[V1, V2], &[])));
    let first = next_record(&registered(&[], &[]), &[present(V1, true)], MEMORY);
    assert_eq!(first, Some(registered(&[V1], &[])));
}

/// Guards against a version that is removed while a daemon that lags begins streams there, or while
/// streams that it began may still be taken up.
#[test]
fn a_version_that_left_is_retired_and_removed_later() {
    let known = registered(&[V1, V2], &[]);
    let almost = DurationMs(RETIRE_AFTER.0 - 1);
    let sights = [absent(V1, almost, 0), present(V2, true)];
    assert_eq!(next_record(&known, &sights, MEMORY), None);
    let sights = [absent(V1, RETIRE_AFTER, 100_000), present(V2, true)];
    let next = next_record(&known, &sights, MEMORY);
    let retired = registered(&[V2], &[V1]);
    assert_eq!(next.as_ref(), Some(&retired));
    let sights = [absent(V1, RETIRE_AFTER, MEMORY.0 - 1), present(V2, true)];
    assert_eq!(next_record(&retired, &sights, MEMORY), None);
    let sights = [absent(V1, RETIRE_AFTER, MEMORY.0), present(V2, true)];
    let next = next_record(&retired, &sights, MEMORY);
    assert_eq!(next, Some(registered(&[V2], &[])));
}

/// Guards against a version that comes back and gets no streams, or loses its place while it serves.
#[test]
fn a_retired_version_that_has_endpoints_again_becomes_active() {
    let known = registered(&[V2], &[V1]);
    let unreached = [
        VersionSight {
            retired_for: MEMORY,
            ..present(V1, false)
        },
        present(V2, false),
    ];
    // Endpoints that nobody has reached don't keep a version registered.
    let next = next_record(&known, &unreached, MEMORY);
    assert_eq!(next, Some(registered(&[V2], &[])));
    let reached = [present(V1, true), present(V2, false)];
    let next = next_record(&known, &reached, MEMORY);
    assert_eq!(next, Some(registered(&[V1, V2], &[])));
}

/// Guards against daemons that replace each other's records for ever because they list the versions in
/// another order, or twice.
#[test]
fn the_order_of_versions_is_no_change() {
    let sights = [present(V1, true), present(V2, true)];
    for known in [registered(&[V2, V1], &[]), registered(&[V1, V2, V1], &[])] {
        assert_eq!(next_record(&known, &sights, MEMORY), None, "{known:?}");
    }
}

/// Guards against a version that is forgotten while a stream with a long timeout runs.
#[test]
fn a_version_is_remembered_for_longer_than_the_longest_stream() {
    assert_eq!(version_memory(DurationMs(0)), MEMORY);
    assert_eq!(version_memory(DurationMs(12_000)), MEMORY);
    assert_eq!(version_memory(DurationMs(60_000)), DurationMs(240_000));
    assert_eq!(version_memory(DurationMs(u64::MAX)), DurationMs(u64::MAX));
}

/// Guards against endpoints that get a connection from each check for as long as nobody listens there.
#[test]
fn connections_to_endpoints_that_do_not_accept_any_become_rare() {
    let delays: Vec<u64> = (1..8).map(|failures| contact_delay(failures).0).collect();
    assert_eq!(delays, [250, 500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    assert_eq!(contact_delay(u32::MAX), DurationMs(8_000));
}

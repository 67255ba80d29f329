//! Updates between replicas: patches, removals, full states and their messages.

use bridgevane_gateway::{
    ChangedValue, Changes, FullState, MessageError, Patch, PatchDoesNotFit, Replica, ReplicaUpdate,
    Revision, SourceEra, SourceRecord, decode_update, encode_update, encode_update_parts,
};
use bridgevane_protocol::{MAX_FRAME_BYTES, RecordsAnswer};
use bytes::Bytes;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;

fn record(key: &str, revision: u64, value: Option<&str>) -> SourceRecord {
    SourceRecord {
        key: key.into(),
        revision: Revision(revision),
        value: value.map(|value| Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn changes(at: u64, records: Vec<SourceRecord>) -> Changes {
    Changes {
        revision: Revision(at),
        records,
    }
}

fn full_state(at: u64, records: Vec<SourceRecord>) -> FullState {
    FullState {
        revision: Revision(at),
        records,
    }
}

/// Returns a document with one entry that depends on `seed`.
fn document(seed: u64) -> String {
    let value = |at: u64| if at == seed % 40 { seed } else { 0 };
    let entry = |at: u64| format!("{{\"entry\":{at},\"value\":{}}},", value(at));
    (0..40).map(entry).collect()
}

/// Brings a replica up to date from another one; returns false if its update was too old.
fn follow(upstream: &Replica, downstream: &mut Replica) -> bool {
    match upstream.update_since(downstream.revision()) {
        ReplicaUpdate::Full(all) => {
            let records = downstream
                .resolve(all)
                .expect("whole values always resolve");
            downstream.replace(&full_state(upstream.revision().0, records))
        }
        ReplicaUpdate::Changes(newer) => {
            let records = downstream.resolve(newer).expect("the patches fit");
            downstream.apply(changes(upstream.revision().0, records));
            true
        }
    }
}

fn full_update(replica: &Replica) -> ReplicaUpdate {
    replica.update_since(Revision(0))
}

/// Guards against patches that corrupt values: each of 1,600 pairs of documents is patched.
#[test]
fn applying_a_patch_yields_the_new_value() {
    for from in 0..40_u64 {
        for to in 0..40_u64 {
            let old = Bytes::from(document(from * 7919));
            let new = Bytes::from(document(to * 104_729));
            if let Some(patch) = Patch::between(&old, &new) {
                assert_eq!(patch.apply(&old), Ok(new));
            }
        }
    }
}

/// Guards against sending large values as a whole when few bytes changed, and against patches
/// between values that have nothing in common.
#[test]
fn a_small_change_of_a_large_value_makes_a_small_patch() {
    let old = Bytes::from("a".repeat(100_000) + "old" + &"b".repeat(100_000));
    let new = Bytes::from("a".repeat(100_000) + "newer" + &"b".repeat(100_000));
    let patch = Patch::between(&old, &new).expect("the patch is much shorter");
    assert_eq!(patch.inserted, "newer");
    assert_eq!(patch.apply(&Bytes::from("a")), Err(PatchDoesNotFit));
    let other = Patch::between(&Bytes::from("abc"), &Bytes::from("xyz"));
    assert_eq!(other, None, "a patch would save nothing");
}

/// Guards against whole records for a follower that lacks only remembered changes.
#[test]
fn a_follower_slightly_behind_gets_patches() {
    let mut upstream = Replica::default();
    upstream.replace(&full_state(
        5,
        vec![record("document", 5, Some(&document(1)))],
    ));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    let new_records = vec![
        record("document", 6, Some(&document(2))),
        record("document", 7, Some(&document(3))),
        record("worker", 8, Some("here")),
    ];
    upstream.apply(changes(9, new_records));
    let ReplicaUpdate::Changes(newer) = upstream.update_since(downstream.revision()) else {
        panic!("a follower slightly behind gets changes");
    };
    let is_patch = |at: usize| matches!(newer[at].outcome, ChangedValue::Patched { .. });
    assert!(is_patch(0) && is_patch(1), "both changes are patches");
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(downstream.revision(), Revision(9));
    assert_eq!(full_update(&downstream), full_update(&upstream));
}

/// Guards against a full state for a follower that is behind by more than the remembered changes:
/// it gets each newer record once, and the removals.
#[test]
fn a_follower_far_behind_gets_each_newer_record_once_and_the_removals() {
    let mut upstream = Replica::default();
    upstream.replace(&full_state(1, vec![record("worker", 1, Some("here"))]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    for revision in 2..2_000 {
        let value = format!("value {revision}");
        let new_records = vec![record("other", revision, Some(&value))];
        upstream.apply(changes(revision, new_records));
    }
    upstream.apply(changes(2_000, vec![record("worker", 2_000, None)]));
    let ReplicaUpdate::Changes(missing) = upstream.update_since(downstream.revision()) else {
        panic!("the removal is remembered");
    };
    let keys: Vec<&str> = missing.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(
        keys,
        ["other", "worker"],
        "each record once, the older one first"
    );
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(full_update(&downstream), full_update(&upstream));
}

/// Guards against removed records that stay at a follower because their removal is no longer
/// remembered upstream.
#[test]
fn a_follower_behind_the_remembered_removals_gets_the_full_state() {
    let mut upstream = Replica::default();
    upstream.replace(&full_state(1, vec![record("worker", 1, Some("here"))]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    upstream.apply(changes(2, vec![record("worker", 2, None)]));
    for revision in (3..2_003).step_by(2) {
        let key = format!("other-{revision}");
        let added_and_removed = vec![
            record(&key, revision, Some("here")),
            record(&key, revision + 1, None),
        ];
        upstream.apply(changes(revision + 1, added_and_removed));
    }
    assert!(matches!(
        upstream.update_since(downstream.revision()),
        ReplicaUpdate::Full(_)
    ));
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(full_update(&downstream), full_update(&upstream));
}

/// Guards against full updates during the release of a large fleet, when 400 of 10,000 endpoints
/// are replaced while a follower waits for an answer: it gets at most 1,200 records.
#[test]
fn a_release_does_not_cause_full_updates() {
    const ENDPOINTS: u64 = 10_000;
    const RELEASED: u64 = 400;
    let value = |state: &str| format!("{{\"state\":\"{state}\",\"rest\":\"{}\"}}", "x".repeat(250));
    let ready = value("ready");
    let endpoints = (0..ENDPOINTS).map(|at| record(&format!("e-{at}"), at + 1, Some(&ready)));
    let mut upstream = Replica::default();
    upstream.replace(&full_state(ENDPOINTS, endpoints.collect()));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    let mut revision = ENDPOINTS;
    for at in 0..RELEASED {
        let key = format!("e-{at}");
        let draining = value("draining");
        let new_records = vec![
            record(&key, revision + 1, Some(&draining)),
            record(&key, revision + 2, None),
            record(&format!("new-{at}"), revision + 3, Some(&ready)),
        ];
        revision += 3;
        upstream.apply(changes(revision, new_records));
    }
    let ReplicaUpdate::Changes(missing) = upstream.update_since(downstream.revision()) else {
        panic!("the full state has {ENDPOINTS} records");
    };
    assert_eq!(missing.len() as u64, 2 * RELEASED);
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(full_update(&downstream), full_update(&upstream));
}

/// Guards against full updates of followers after a daemon has read the full state again: records
/// that the new state doesn't list are sent as removals.
#[test]
fn rereading_the_full_state_does_not_cause_full_updates_of_followers() {
    let here = |key: &str, revision| record(key, revision, Some("here"));
    let mut upstream = Replica::default();
    upstream.replace(&full_state(
        3,
        vec![here("a", 1), here("b", 2), here("c", 3)],
    ));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    upstream.replace(&full_state(
        9,
        vec![here("a", 1), here("c", 8), here("d", 7)],
    ));
    let ReplicaUpdate::Changes(missing) = upstream.update_since(downstream.revision()) else {
        panic!("the follower had the state before");
    };
    let keys: Vec<&str> = missing.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["d", "c", "b"]);
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(full_update(&downstream), full_update(&upstream));
    // A follower between the two states may hold records that upstream never saw.
    assert!(matches!(
        upstream.update_since(Revision(5)),
        ReplicaUpdate::Full(_)
    ));
}

/// Guards against replicas that differ from the source after random steps of a source and two
/// daemons that follow it or each other, with more changes than are remembered and full states
/// whose records are newer than their revision.
#[test]
fn replicas_converge_after_random_steps() {
    for seed in 0..60_u64 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut log: Vec<SourceRecord> = Vec::new();
        let mut source = Replica::default();
        source.replace(&full_state(0, vec![]));
        let mut daemons = [Replica::default(), Replica::default()];
        for _ in 0..30 {
            match random.random_range(0..6) {
                0 | 1 => {
                    let most = if random.random_bool(0.3) { 700 } else { 20 };
                    for _ in 0..random.random_range(1..most) {
                        let revision = log.len() as u64 + 1;
                        let key = format!("k-{}", random.random_range(0..300));
                        let value = random.random_bool(0.6).then(|| document(revision));
                        let new_record = record(&key, revision, value.as_deref());
                        log.push(new_record.clone());
                        source.apply(changes(revision, vec![new_record]));
                    }
                }
                2 => {
                    let at = random.random_range(0..2);
                    let read_before = random.random_range(0..=log.len());
                    if daemons[at].revision().0 <= read_before as u64 {
                        daemons[at].replace(&paged_state(&log, read_before));
                    }
                }
                3 => follow_or_resync(&source, &mut daemons[0]),
                4 => {
                    let [first, second] = &mut daemons;
                    follow_or_resync(first, second);
                }
                _ => {
                    let [first, second] = &mut daemons;
                    follow_or_resync(second, first);
                }
            }
        }
        for daemon in &mut daemons {
            follow_or_resync(&source, daemon);
            assert_eq!(full_update(daemon), full_update(&source), "seed {seed}");
        }
    }
}

/// Follows as daemons do: requests the full state if a patch doesn't fit, because the replica holds
/// a record that is newer than its revision.
fn follow_or_resync(upstream: &Replica, downstream: &mut Replica) {
    if let ReplicaUpdate::Changes(newer) = upstream.update_since(downstream.revision())
        && downstream.resolve(newer).is_err()
    {
        let ReplicaUpdate::Full(all) = full_update(upstream) else {
            panic!("the full state was requested");
        };
        let records = downstream
            .resolve(all)
            .expect("whole values always resolve");
        downstream.replace(&full_state(upstream.revision().0, records));
        return;
    }
    follow(upstream, downstream);
}

/// Returns a full state whose first page was read at `first_page_at`, and the last one now.
fn paged_state(log: &[SourceRecord], first_page_at: usize) -> FullState {
    let newest: HashMap<&str, &SourceRecord> = log
        .iter()
        .map(|record| (record.key.as_str(), record))
        .collect();
    let here = newest.values().filter(|record| record.value.is_some());
    full_state(
        first_page_at as u64,
        here.map(|record| (*record).clone()).collect(),
    )
}

/// Guards against a lost record: it was read with a full state of an older revision, so the change
/// that wrote it isn't new to the daemon and isn't remembered for followers.
#[test]
fn a_record_newer_than_its_full_state_reaches_followers() {
    let mut upstream = Replica::default();
    upstream.replace(&full_state(1, vec![]));
    let mut downstream = Replica::default();
    downstream.replace(&full_state(1, vec![]));
    // The pages of a state are read in sequence: a later one may hold newer records.
    upstream.replace(&full_state(1, vec![record("worker", 3, Some("here"))]));
    upstream.apply(changes(4, vec![record("worker", 3, Some("here"))]));
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(full_update(&downstream), full_update(&upstream));
}

/// Guards against removed records that come back when a daemon follows another one that is behind.
#[test]
fn an_older_upstream_does_not_restore_a_removed_record() {
    let mut old = Replica::default();
    old.replace(&full_state(5, vec![record("worker", 4, Some("here"))]));
    let mut own = Replica::default();
    own.replace(&full_state(5, vec![record("worker", 4, Some("here"))]));
    own.apply(changes(6, vec![record("worker", 6, None)]));
    let ReplicaUpdate::Full(all) = full_update(&old) else {
        panic!("the full state was requested");
    };
    let records = own.resolve(all).expect("whole values always resolve");
    assert!(
        !own.replace(&full_state(5, records.clone())),
        "an older state"
    );
    assert!(own.apply(changes(5, records)).is_empty(), "older changes");
    assert_eq!(own.revision(), Revision(6));
    assert_eq!(full_update(&own), ReplicaUpdate::Full(vec![]));
}

/// Guards against packed updates that lose records, and against packing small ones.
#[test]
fn packing_many_records_is_lossless() {
    let value = |at: u64| format!("{{\"service\":\"model\",\"address\":\"10.1.0.{at}:80\"}}");
    let records = (1..200).map(|at| record(&format!("worker-{at}"), at, Some(&value(at))));
    let mut upstream = Replica::default();
    upstream.replace(&full_state(200, records.collect()));
    for (after, is_packed) in [(0, true), (200, false)] {
        let update = upstream.update_since(Revision(after));
        let mut answer = RecordsAnswer::default();
        encode_update(&mut answer, update.clone());
        assert_eq!(!answer.packed_records.is_empty(), is_packed);
        assert!(answer.packed_records.len() < 6_000);
        assert_eq!(decode_update(&mut [answer]), Ok(update));
    }
}

/// Guards against a sender that makes a daemon allocate too much: the header claims 64 MiB.
#[test]
fn packed_records_over_the_unpacked_limit_are_rejected() {
    let mut packed = (64_u32 << 20).to_le_bytes().to_vec();
    packed.extend([0; 40]);
    let answer = RecordsAnswer {
        packed_records: packed.into(),
        ..Default::default()
    };
    assert_eq!(decode_update(&mut [answer]), Err(MessageError::TooLarge));
}

/// Guards against a full state that exceeds a frame: 40,000 endpoints, with records that pack
/// badly.
#[test]
fn a_large_state_is_sent_in_small_parts() {
    let mut random = SmallRng::seed_from_u64(1);
    let endpoints = (1..=40_000).map(|at| {
        let value: String = (0..20)
            .map(|_| format!("{:08x}", random.random::<u32>()))
            .collect();
        record(&format!("worker-{at}"), at, Some(&value))
    });
    let mut upstream = Replica::default();
    upstream.replace(&full_state(40_000, endpoints.collect()));
    let update = full_update(&upstream);
    let mut whole = RecordsAnswer::default();
    encode_update(&mut whole, update.clone());
    assert!(whole.encoded_len() > MAX_FRAME_BYTES, "larger than a frame");
    let mut parts = encode_update_parts(update.clone());
    for (at, part) in parts.iter().enumerate() {
        assert!(part.encoded_len() < 300_000, "part {at}");
        assert_eq!(part.has_more, at + 1 < parts.len());
    }
    assert_eq!(decode_update(&mut parts), Ok(update));
}

/// Guards against an update without records that sends no message at all.
#[test]
fn an_update_without_records_is_one_message() {
    let parts = encode_update_parts(ReplicaUpdate::Changes(Vec::new()));
    assert_eq!(parts.len(), 1);
    assert!(!parts[0].has_more);
}

/// Guards against a sender that evades the limit on unpacked records with many parts.
#[test]
fn parts_over_the_unpacked_limit_in_total_are_rejected() {
    let update = || {
        let value = "x".repeat(200_000);
        let records = (1..=20).map(|at| record(&format!("worker-{at}"), at, Some(&value)));
        let mut replica = Replica::default();
        replica.replace(&full_state(20, records.collect()));
        encode_update_parts(full_update(&replica))
    };
    let mut parts: Vec<RecordsAnswer> = (0..5).flat_map(|_| update()).collect();
    assert_eq!(decode_update(&mut parts), Err(MessageError::TooLarge));
}

/// Guards against a corrupt value from a patch that was made for another revision.
#[test]
fn a_patch_for_another_value_is_rejected() {
    let mut upstream = Replica::default();
    upstream.replace(&full_state(
        5,
        vec![record("document", 5, Some(&document(1)))],
    ));
    upstream.apply(changes(6, vec![record("document", 6, Some(&document(2)))]));
    let ReplicaUpdate::Changes(newer) = upstream.update_since(Revision(5)) else {
        panic!("a follower slightly behind gets changes");
    };
    let mut other = Replica::default();
    other.replace(&full_state(
        4,
        vec![record("document", 3, Some(&document(1)))],
    ));
    assert_eq!(other.resolve(newer), Err(PatchDoesNotFit));
}

/// Guards against replicas that go back, or differ from the source in the end: a source and two
/// daemons that follow it or each other take all sequences of six steps.
#[test]
fn replicas_converge_and_never_go_back_in_any_order_of_six_steps() {
    const STEPS: u32 = 6;
    const CHOICES: u32 = 6;
    for code in 0..CHOICES.pow(STEPS) {
        let mut source = Replica::default();
        source.replace(&full_state(
            1,
            vec![record("document", 1, Some(&document(0)))],
        ));
        let mut daemons = [Replica::default(), Replica::default()];
        let mut revision = 1;
        for step in 0..STEPS {
            let before = daemons.each_ref().map(Replica::revision);
            let [first, second] = &mut daemons;
            match code / CHOICES.pow(step) % CHOICES {
                0 => {
                    revision += 1;
                    let value = document(revision * 31);
                    let new_records = vec![record("document", revision, Some(&value))];
                    source.apply(changes(revision, new_records));
                }
                1 => {
                    revision += 1;
                    let value = (revision % 2 == 0).then_some("here");
                    let new_records = vec![record("worker", revision, value)];
                    source.apply(changes(revision, new_records));
                }
                2 => _ = follow(&source, first),
                3 => _ = follow(&source, second),
                4 => _ = follow(second, first),
                _ => _ = follow(first, second),
            }
            let after = daemons.each_ref().map(Replica::revision);
            assert!(after >= before && after[1] >= before[1], "{code}");
        }
        for daemon in &mut daemons {
            follow_or_resync(&source, daemon);
            assert_eq!(full_update(daemon), full_update(&source), "{code}");
        }
    }
}

/// Guards against a follower that gets the changes since its revision from a daemon whose source came
/// back from a copy: records that the copy lacks would stay, since no change removes them.
#[test]
fn a_daemon_of_another_era_gets_the_full_state() {
    let era = SourceEra(1);
    let record = |revision, value: &'static str| SourceRecord {
        key: "key".into(),
        revision,
        value: Some(Bytes::from_static(value.as_bytes())),
    };
    let state = |revision, value| FullState {
        revision,
        records: vec![record(revision, value)],
    };
    let mut replica = Replica::default();
    assert!(replica.replace(&state(Revision(20), "before")));
    assert!(
        replica.replace(&state(Revision::new(era, 18), "copy")),
        "a lower counter of a later era is newer"
    );
    assert!(!replica.replace(&state(Revision(30), "before")));
    let update = replica.update_since(Revision(20));
    assert!(matches!(update, ReplicaUpdate::Full(changes) if changes.len() == 1));
}

/// Guards against a patch that is applied to another value of the same revision: daemons may have different
/// documents there after the source came back from a copy.
#[test]
fn a_patch_for_another_value_of_the_same_revision_does_not_fit() {
    let (copied, kept, written) = (document(3), document(4), document(5));
    let state = full_state(7, vec![record("a", 6, Some(&copied))]);
    let (mut upstream, mut downstream) = (Replica::default(), Replica::default());
    assert!(upstream.replace(&state) && downstream.replace(&state));
    upstream.overwrite("a", Bytes::from(kept));
    upstream.apply(changes(8, vec![record("a", 8, Some(&written))]));
    let ReplicaUpdate::Changes(newer) = upstream.update_since(downstream.revision()) else {
        panic!("the changes are remembered");
    };
    assert!(matches!(newer[0].outcome, ChangedValue::Patched { .. }));
    assert_eq!(downstream.resolve(newer), Err(PatchDoesNotFit));
}

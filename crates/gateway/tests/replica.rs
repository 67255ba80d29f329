//! Records as one daemon passes them to another.

use bridgevane_gateway::{
    Changes, FullState, MessageError, Patch, PatchDoesNotFit, RecordOutcome, Replica, Revision,
    SourceRecord, Update, put_update, take_update, update_parts,
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
        at: Revision(at),
        records,
    }
}

fn state(at: u64, records: Vec<SourceRecord>) -> FullState {
    FullState {
        at: Revision(at),
        records,
    }
}

/// A document, one entry of which comes from a number.
fn text(seed: u64) -> String {
    let value = |at: u64| if at == seed % 40 { seed } else { 0 };
    let entry = |at: u64| format!("{{\"entry\":{at},\"value\":{}}},", value(at));
    (0..40).map(entry).collect()
}

/// Brings one replica up to date by another.
fn follow(upstream: &Replica, downstream: &mut Replica) -> bool {
    match upstream.update_since(downstream.at()) {
        Update::Everything(all) => {
            let records = downstream.resolve(all).expect("whole values");
            downstream.replace(&state(upstream.at().0, records))
        }
        Update::Changes(newer) => {
            let records = downstream.resolve(newer).expect("they fit");
            downstream.apply(changes(upstream.at().0, records));
            true
        }
    }
}

fn everything(replica: &Replica) -> Update {
    replica.update_since(Revision(0))
}

#[test]
fn a_patch_leads_from_any_value_to_any_other() {
    for from in 0..40_u64 {
        for to in 0..40_u64 {
            let old = Bytes::from(text(from * 7919));
            let new = Bytes::from(text(to * 104_729));
            if let Some(patch) = Patch::between(&old, &new) {
                assert_eq!(patch.apply(&old), Ok(new));
            }
        }
    }
}

#[test]
fn a_small_change_of_a_large_value_is_told_by_little() {
    let old = Bytes::from("a".repeat(100_000) + "old" + &"b".repeat(100_000));
    let new = Bytes::from("a".repeat(100_000) + "newer" + &"b".repeat(100_000));
    let patch = Patch::between(&old, &new).expect("it is worth it");
    assert_eq!(patch.inserted, "newer");
    assert_eq!(patch.apply(&Bytes::from("a")), Err(PatchDoesNotFit));
    let other = Patch::between(&Bytes::from("abc"), &Bytes::from("xyz"));
    assert_eq!(other, None, "it is told as a whole");
}

#[test]
fn a_follower_that_is_a_little_behind_gets_patches() {
    let mut upstream = Replica::default();
    upstream.replace(&state(5, vec![record("document", 5, Some(&text(1)))]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    let news = vec![
        record("document", 6, Some(&text(2))),
        record("document", 7, Some(&text(3))),
        record("worker", 8, Some("here")),
    ];
    upstream.apply(changes(9, news));
    let Update::Changes(newer) = upstream.update_since(downstream.at()) else {
        panic!("it is not far behind");
    };
    let is_patch = |at: usize| matches!(newer[at].outcome, RecordOutcome::Patched { .. });
    assert!(is_patch(0) && is_patch(1), "one on top of the other");
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(downstream.at(), Revision(9));
    assert_eq!(everything(&downstream), everything(&upstream));
}

/// What goes to a follower that is behind by more than the changes that are remembered: the records that
/// are newer, each once, and what is gone.
#[test]
fn a_follower_that_is_far_behind_gets_what_it_lacks() {
    let mut upstream = Replica::default();
    upstream.replace(&state(1, vec![record("worker", 1, Some("here"))]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    for revision in 2..2_000 {
        let value = format!("value {revision}");
        let news = vec![record("other", revision, Some(&value))];
        upstream.apply(changes(revision, news));
    }
    upstream.apply(changes(2_000, vec![record("worker", 2_000, None)]));
    let Update::Changes(lacking) = upstream.update_since(downstream.at()) else {
        panic!("all that is gone is remembered");
    };
    let keys: Vec<&str> = lacking.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["other", "worker"], "each once, the older one first");
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(everything(&downstream), everything(&upstream));
}

#[test]
fn a_follower_that_may_hold_what_is_gone_unremembered_gets_everything() {
    let mut upstream = Replica::default();
    upstream.replace(&state(1, vec![record("worker", 1, Some("here"))]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    upstream.apply(changes(2, vec![record("worker", 2, None)]));
    for revision in (3..2_003).step_by(2) {
        let key = format!("other-{revision}");
        let came_and_went = vec![
            record(&key, revision, Some("here")),
            record(&key, revision + 1, None),
        ];
        upstream.apply(changes(revision + 1, came_and_went));
    }
    assert!(matches!(
        upstream.update_since(downstream.at()),
        Update::Everything(_)
    ));
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(everything(&downstream), everything(&upstream));
}

/// A large fleet's release: 400 of 10,000 endpoints drain, go and come anew, while a daemon waits for an answer.
/// It costs the followers that are behind 1,200 records at the most, and not everything.
#[test]
fn a_release_makes_no_follower_ask_for_everything() {
    const ENDPOINTS: u64 = 10_000;
    const RELEASED: u64 = 400;
    let value = |text: &str| format!("{{\"state\":\"{text}\",\"rest\":\"{}\"}}", "x".repeat(250));
    let ready = value("ready");
    let endpoints = (0..ENDPOINTS).map(|at| record(&format!("e-{at}"), at + 1, Some(&ready)));
    let mut upstream = Replica::default();
    upstream.replace(&state(ENDPOINTS, endpoints.collect()));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    let mut revision = ENDPOINTS;
    for at in 0..RELEASED {
        let key = format!("e-{at}");
        let draining = value("draining");
        let news = vec![
            record(&key, revision + 1, Some(&draining)),
            record(&key, revision + 2, None),
            record(&format!("new-{at}"), revision + 3, Some(&ready)),
        ];
        revision += 3;
        upstream.apply(changes(revision, news));
    }
    let Update::Changes(lacking) = upstream.update_since(downstream.at()) else {
        panic!("everything is {ENDPOINTS} records");
    };
    assert_eq!(lacking.len() as u64, 2 * RELEASED);
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(everything(&downstream), everything(&upstream));
}

/// A daemon that read everything anew brings its followers up to date without everything: what the new
/// state doesn't list any more is gone.
#[test]
fn a_state_that_was_read_anew_costs_its_followers_what_they_lack() {
    let here = |key: &str, revision| record(key, revision, Some("here"));
    let mut upstream = Replica::default();
    upstream.replace(&state(3, vec![here("a", 1), here("b", 2), here("c", 3)]));
    let mut downstream = Replica::default();
    assert!(follow(&upstream, &mut downstream));
    upstream.replace(&state(9, vec![here("a", 1), here("c", 8), here("d", 7)]));
    let Update::Changes(lacking) = upstream.update_since(downstream.at()) else {
        panic!("it had what the daemon had before");
    };
    let keys: Vec<&str> = lacking.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["d", "c", "b"]);
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(everything(&downstream), everything(&upstream));
    // Between the two states a daemon may have seen what came and went.
    assert!(matches!(
        upstream.update_since(Revision(5)),
        Update::Everything(_)
    ));
}

/// Random steps of a source and two daemons, with more changes than are remembered, whole states that are read
/// ahead, and daemons that follow each other: what a daemon ends with is what the source holds.
#[test]
fn whatever_is_missed_replicas_end_alike() {
    for seed in 0..60_u64 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut log: Vec<SourceRecord> = Vec::new();
        let mut source = Replica::default();
        source.replace(&state(0, vec![]));
        let mut daemons = [Replica::default(), Replica::default()];
        for _ in 0..30 {
            match random.random_range(0..6) {
                0 | 1 => {
                    let most = if random.random_bool(0.3) { 700 } else { 20 };
                    for _ in 0..random.random_range(1..most) {
                        let revision = log.len() as u64 + 1;
                        let key = format!("k-{}", random.random_range(0..300));
                        let value = random.random_bool(0.6).then(|| text(revision));
                        let news = record(&key, revision, value.as_deref());
                        log.push(news.clone());
                        source.apply(changes(revision, vec![news]));
                    }
                }
                2 => {
                    let at = random.random_range(0..2);
                    let read_before = random.random_range(0..=log.len());
                    if daemons[at].at().0 <= read_before as u64 {
                        daemons[at].replace(&whole_state(&log, read_before));
                    }
                }
                3 => follow_or_ask_anew(&source, &mut daemons[0]),
                4 => {
                    let [first, second] = &mut daemons;
                    follow_or_ask_anew(first, second);
                }
                _ => {
                    let [first, second] = &mut daemons;
                    follow_or_ask_anew(second, first);
                }
            }
        }
        for daemon in &mut daemons {
            follow_or_ask_anew(&source, daemon);
            assert_eq!(everything(daemon), everything(&source), "seed {seed}");
        }
    }
}

/// As daemons do: where a patch doesn't fit, since a record was read ahead, everything is asked for.
fn follow_or_ask_anew(upstream: &Replica, downstream: &mut Replica) {
    if let Update::Changes(newer) = upstream.update_since(downstream.at())
        && downstream.resolve(newer).is_err()
    {
        let Update::Everything(all) = everything(upstream) else {
            panic!("everything was asked for");
        };
        let records = downstream.resolve(all).expect("whole values");
        downstream.replace(&state(upstream.at().0, records));
        return;
    }
    follow(upstream, downstream);
}

/// A state whose first page was read at a revision, and the last one now.
fn whole_state(log: &[SourceRecord], first_page_at: usize) -> FullState {
    let newest: HashMap<&str, &SourceRecord> = log
        .iter()
        .map(|record| (record.key.as_str(), record))
        .collect();
    let here = newest.values().filter(|record| record.value.is_some());
    state(
        first_page_at as u64,
        here.map(|record| (*record).clone()).collect(),
    )
}

#[test]
fn a_record_that_was_read_ahead_of_its_state_is_not_lost_for_followers() {
    let mut upstream = Replica::default();
    upstream.replace(&state(1, vec![]));
    let mut downstream = Replica::default();
    downstream.replace(&state(1, vec![]));
    // The pages of a state are read one after the other: a later one may hold newer records.
    upstream.replace(&state(1, vec![record("worker", 3, Some("here"))]));
    upstream.apply(changes(4, vec![record("worker", 3, Some("here"))]));
    assert!(follow(&upstream, &mut downstream));
    assert_eq!(everything(&downstream), everything(&upstream));
}

#[test]
fn what_is_gone_does_not_come_back_by_an_older_upstream() {
    let mut old = Replica::default();
    old.replace(&state(5, vec![record("worker", 4, Some("here"))]));
    let mut own = Replica::default();
    own.replace(&state(5, vec![record("worker", 4, Some("here"))]));
    own.apply(changes(6, vec![record("worker", 6, None)]));
    let Update::Everything(all) = everything(&old) else {
        panic!("everything was asked for");
    };
    let records = own.resolve(all).expect("whole values");
    assert!(!own.replace(&state(5, records.clone())), "it is older");
    assert!(own.apply(changes(5, records)).is_empty(), "nothing is new");
    assert_eq!(own.at(), Revision(6));
    assert_eq!(everything(&own), Update::Everything(vec![]));
}

#[test]
fn many_records_go_packed_and_come_back_whole() {
    let value = |at: u64| format!("{{\"service\":\"model\",\"address\":\"10.1.0.{at}:80\"}}");
    let records = (1..200).map(|at| record(&format!("worker-{at}"), at, Some(&value(at))));
    let mut upstream = Replica::default();
    upstream.replace(&state(200, records.collect()));
    for (after, is_packed) in [(0, true), (200, false)] {
        let update = upstream.update_since(Revision(after));
        let mut answer = RecordsAnswer::default();
        put_update(&mut answer, update.clone());
        assert_eq!(!answer.packed_records.is_empty(), is_packed);
        assert!(answer.packed_records.len() < 6_000);
        assert_eq!(take_update(&mut [answer]), Ok(update));
    }
}

#[test]
fn packed_records_that_would_unpack_to_too_much_are_refused() {
    let mut packed = (64_u32 << 20).to_le_bytes().to_vec();
    packed.extend([0; 40]);
    let answer = RecordsAnswer {
        packed_records: packed.into(),
        ..Default::default()
    };
    assert_eq!(take_update(&mut [answer]), Err(MessageError::TooLarge));
}

/// A fleet of 40,000 endpoints whose records pack badly: more than one frame may hold.
#[test]
fn a_large_state_goes_in_parts_that_are_small_at_any_size() {
    let mut random = SmallRng::seed_from_u64(1);
    let endpoints = (1..=40_000).map(|at| {
        let value: String = (0..20)
            .map(|_| format!("{:08x}", random.random::<u32>()))
            .collect();
        record(&format!("worker-{at}"), at, Some(&value))
    });
    let mut upstream = Replica::default();
    upstream.replace(&state(40_000, endpoints.collect()));
    let update = everything(&upstream);
    let mut whole = RecordsAnswer::default();
    put_update(&mut whole, update.clone());
    assert!(whole.encoded_len() > MAX_FRAME_BYTES, "no frame holds it");
    let mut parts = update_parts(update.clone());
    for (at, part) in parts.iter().enumerate() {
        assert!(part.encoded_len() < 300_000, "part {at}");
        assert_eq!(part.has_more, at + 1 < parts.len());
    }
    assert_eq!(take_update(&mut parts), Ok(update));
}

#[test]
fn an_update_without_records_is_one_message() {
    let parts = update_parts(Update::Changes(Vec::new()));
    assert_eq!(parts.len(), 1);
    assert!(!parts[0].has_more);
}

/// What each part may unpack to bounds nothing if there may be any number of them.
#[test]
fn parts_that_would_unpack_to_too_much_together_are_refused() {
    let update = || {
        let value = "x".repeat(200_000);
        let records = (1..=20).map(|at| record(&format!("worker-{at}"), at, Some(&value)));
        let mut replica = Replica::default();
        replica.replace(&state(20, records.collect()));
        update_parts(everything(&replica))
    };
    let mut parts: Vec<RecordsAnswer> = (0..5).flat_map(|_| update()).collect();
    assert_eq!(take_update(&mut parts), Err(MessageError::TooLarge));
}

#[test]
fn a_patch_for_another_value_is_refused() {
    let mut upstream = Replica::default();
    upstream.replace(&state(5, vec![record("document", 5, Some(&text(1)))]));
    upstream.apply(changes(6, vec![record("document", 6, Some(&text(2)))]));
    let Update::Changes(newer) = upstream.update_since(Revision(5)) else {
        panic!("it is not far behind");
    };
    let mut other = Replica::default();
    other.replace(&state(4, vec![record("document", 3, Some(&text(1)))]));
    assert_eq!(other.resolve(newer), Err(PatchDoesNotFit));
}

/// Three daemons that follow a source or each other in any order end with what it holds, and
/// none ever goes back: all orders of a bounded length are tried.
#[test]
fn in_every_order_of_steps_replicas_only_go_forward() {
    const STEPS: u32 = 6;
    const CHOICES: u32 = 6;
    for code in 0..CHOICES.pow(STEPS) {
        let mut source = Replica::default();
        source.replace(&state(1, vec![record("document", 1, Some(&text(0)))]));
        let mut daemons = [Replica::default(), Replica::default()];
        let mut revision = 1;
        for step in 0..STEPS {
            let before = daemons.each_ref().map(Replica::at);
            let [first, second] = &mut daemons;
            match code / CHOICES.pow(step) % CHOICES {
                0 => {
                    revision += 1;
                    let value = text(revision * 31);
                    let news = vec![record("document", revision, Some(&value))];
                    source.apply(changes(revision, news));
                }
                1 => {
                    revision += 1;
                    let value = (revision % 2 == 0).then_some("here");
                    let news = vec![record("worker", revision, value)];
                    source.apply(changes(revision, news));
                }
                2 => _ = follow(&source, first),
                3 => _ = follow(&source, second),
                4 => _ = follow(second, first),
                _ => _ = follow(first, second),
            }
            let after = daemons.each_ref().map(Replica::at);
            assert!(after >= before && after[1] >= before[1], "{code}");
        }
        for daemon in &mut daemons {
            follow_or_ask_anew(&source, daemon);
            assert_eq!(everything(daemon), everything(&source), "{code}");
        }
    }
}

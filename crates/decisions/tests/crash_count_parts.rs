//! The rule that tells the part of prompts that crashes endpoints from those that stand beside it.

use bridgevane_decisions::crash_count::{
    CRASHES_TO_QUARANTINE, CRASHES_WITHOUT_OTHER_CAUSE, CrashCount as Count, CrashFact,
    CrashObservation as Observation, SETTLE_TIME,
};
use bridgevane_types::{CrashSuspect, DurationMs, PartFingerprint, RequestFingerprint, TimeMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Endpoint incarnations are plain numbers in these tests.
type CrashCount = Count<u32>;

const CRASHING: CrashSuspect = part(1);
const FIRST: CrashSuspect = part(2);
const BESIDE: CrashSuspect = part(3);

const fn part(part: u64) -> CrashSuspect {
    CrashSuspect::Part(PartFingerprint { service: 7, part })
}

const fn request(content: u64) -> CrashSuspect {
    CrashSuspect::Request(RequestFingerprint {
        customer: 7,
        content,
    })
}

fn at(ms: u64) -> TimeMs {
    TimeMs(1_000_000_000 + ms)
}

fn record(count: &mut CrashCount, ms: u64, suspects: &[CrashSuspect], fact: CrashFact<u32>) {
    for suspect in suspects {
        let observation = Observation {
            suspect: *suspect,
            at: at(ms),
            started_at: None,
            fact,
        };
        count.record(at(ms), observation);
    }
}

fn crash(count: &mut CrashCount, ms: u64, endpoint: u32, suspects: &[CrashSuspect]) {
    record(count, ms, suspects, CrashFact::Crashed(endpoint));
}

fn serve(count: &mut CrashCount, ms: u64, suspects: &[CrashSuspect]) {
    record(count, ms, suspects, CrashFact::Served);
}

fn quarantined(count: &CrashCount) -> Vec<CrashSuspect> {
    let mut quarantined: Vec<_> = count.quarantined().map(|(suspect, _)| suspect).collect();
    quarantined.sort();
    quarantined
}

/// Guards against a part that goes on to crash endpoints because no request with it comes twice.
#[test]
fn a_part_that_crashed_three_endpoints_is_the_cause_though_no_request_came_twice() {
    let mut count = CrashCount::default();
    for (crashes, ms) in [(1, 0), (2, 1_000), (3, 2_000)] {
        assert!(count.review(at(ms + SETTLE_TIME.0)).is_empty());
        crash(
            &mut count,
            ms,
            crashes,
            &[request(crashes.into()), FIRST, CRASHING],
        );
        serve(&mut count, ms + 100, &[request(100), FIRST, BESIDE]);
    }
    assert!(
        count
            .review(at(2_000) + SETTLE_TIME + DurationMs(0))
            .contains(&CRASHING)
    );
    assert_eq!(quarantined(&count), [CRASHING]);
}

/// Guards against a quarantine by observations whose counterparts haven't arrived: another daemon may
/// have seen the cause at the same endpoint, or an answer with the part.
#[test]
fn a_crash_counts_for_a_part_only_when_other_daemons_had_time_to_report() {
    let mut count = CrashCount::default();
    for endpoint in 1..=3 {
        crash(&mut count, u64::from(endpoint) * 200, endpoint, &[CRASHING]);
    }
    assert!(count.review(at(600 + SETTLE_TIME.0 - 1)).is_empty());
    assert_eq!(count.review(at(600 + SETTLE_TIME.0)), [CRASHING]);
}

/// Guards against a session that is stopped because it ran beside the cause each time that it came, and
/// against its crashes that still count after the cause is known.
#[test]
fn a_part_that_only_ran_beside_the_cause_is_never_stopped() {
    let mut count = CrashCount::default();
    crash(&mut count, 0, 1, &[CRASHING]);
    for endpoint in 2..=4 {
        crash(
            &mut count,
            u64::from(endpoint) * 200,
            endpoint,
            &[BESIDE, CRASHING],
        );
    }
    assert_eq!(count.review(at(10_000)), [CRASHING]);
    assert!(!count.is_suspect(BESIDE), "the crashes are attributed");
    crash(&mut count, 11_000, 5, &[BESIDE, CRASHING]);
    crash(&mut count, 12_000, 6, &[CRASHING, BESIDE]);
    assert!(count.review(at(20_000)).is_empty());
    assert!(!count.is_suspect(BESIDE));
}

/// Guards against two parts that are stopped though one answer would tell them apart, and against a
/// part that is never stopped because another one always stands beside it.
#[test]
fn parts_with_the_same_crashes_are_stopped_only_after_the_fifth() {
    let mut count = CrashCount::default();
    for endpoint in 1..=4 {
        crash(
            &mut count,
            u64::from(endpoint) * 200,
            endpoint,
            &[BESIDE, CRASHING],
        );
    }
    assert!(count.review(at(10_000)).is_empty());
    let mut told_apart = count;
    crash(&mut told_apart, 11_000, 5, &[BESIDE, CRASHING]);
    assert_eq!(told_apart.review(at(20_000)).len(), 2);
    assert_eq!(CRASHES_WITHOUT_OTHER_CAUSE, 5);

    let mut count = CrashCount::default();
    for endpoint in 1..=4 {
        crash(
            &mut count,
            u64::from(endpoint) * 200,
            endpoint,
            &[BESIDE, CRASHING],
        );
    }
    serve(&mut count, 900, &[BESIDE]);
    assert_eq!(count.review(at(10_000)), [CRASHING]);
}

/// Guards against the parts of a request that crashes endpoints by itself: its session has sound
/// requests, too.
#[test]
fn the_parts_of_one_request_that_crashes_endpoints_are_not_stopped() {
    let mut count = CrashCount::default();
    for endpoint in 1..=4 {
        crash(
            &mut count,
            u64::from(endpoint) * 200,
            endpoint,
            &[request(1), FIRST, BESIDE],
        );
    }
    assert!(count.review(at(10_000)).is_empty());
    assert_eq!(quarantined(&count), [request(1)]);
    // A different request with the part shows that the part is the cause.
    crash(&mut count, 11_000, 5, &[request(2), BESIDE]);
    crash(&mut count, 12_000, 6, &[request(3), BESIDE]);
    serve(&mut count, 12_500, &[FIRST]);
    assert_eq!(count.review(at(20_000)), [BESIDE]);
}

/// Guards against endpoints that are killed together and count as many crashes of what ran there.
#[test]
fn endpoints_that_crash_together_count_once_for_a_part() {
    let mut count = CrashCount::default();
    for endpoint in 1..=8 {
        crash(&mut count, u64::from(endpoint), endpoint, &[FIRST, BESIDE]);
    }
    assert!(count.review(at(10_000)).is_empty());
    assert_eq!(CRASHES_TO_QUARANTINE, 3);
}

/// Guards against innocent parts that are stopped under many crashes, at whichever order daemons learn
/// of them: engines of 64 slots, one crash in 500 ms, sessions that come back at once.
#[test]
fn under_many_crashes_only_the_cause_is_stopped() {
    for seed in 0..50 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut count = CrashCount::default();
        let mut found = Vec::new();
        for endpoint in 1..=12_u32 {
            let ms = u64::from(endpoint) * 500;
            // A third of a hundred sessions runs at the engine, beside the first part of all prompts.
            let mut running: Vec<CrashSuspect> = (10..110)
                .filter(|_| rng.random_ratio(1, 3))
                .map(part)
                .collect();
            running.extend([FIRST, CRASHING, request(u64::from(endpoint))]);
            for suspect in &running {
                // Daemons report up to 700 ms later; the count has the time of the crash.
                crash(&mut count, ms, endpoint, &[*suspect]);
            }
            found.extend(count.review(at(ms)));
            serve(&mut count, ms + 50, &[FIRST]);
            for session in 10..110 {
                if rng.random_ratio(1, 2) {
                    serve(&mut count, ms + 100 + session, &[part(session)]);
                }
            }
        }
        assert_eq!(found, [CRASHING], "seed {seed}");
    }
}

/// Guards against a message from every daemon for each answer with a part that many requests have, long
/// after the first of them cleared it.
#[test]
fn an_answer_that_clears_no_crash_of_a_part_is_not_passed_on() {
    let mut count = CrashCount::default();
    crash(&mut count, 0, 1, &[FIRST]);
    serve(&mut count, 100, &[FIRST]);
    let newest = count.newest_cursor();
    for daemon in 0..88 {
        serve(&mut count, 101 + daemon, &[FIRST]);
    }
    assert_eq!(count.newest_cursor(), newest);
    crash(&mut count, 1_000, 2, &[FIRST]);
    serve(&mut count, 1_100, &[FIRST]);
    assert!(count.newest_cursor() > newest);
    assert!(!count.is_suspect(FIRST));
}

/// Guards against state that grows with the crashes, and against the cause that is forgotten for parts
/// with one crash each: five engines of 64 slots crash, and requests have four parts.
#[test]
fn the_suspect_parts_are_bounded_and_the_one_with_most_crashes_is_kept() {
    let mut count = CrashCount::default();
    for endpoint in 1..=5_u32 {
        let ms = u64::from(endpoint) * 400;
        let others = u64::from(endpoint) * 1_000;
        let running: Vec<CrashSuspect> = (others..others + 256).map(part).collect();
        crash(&mut count, ms, endpoint, &running);
        crash(&mut count, ms, endpoint, &[CRASHING]);
    }
    assert!(count.suspects().count() <= 1_024);
    assert_eq!(count.review(at(10_000)), [CRASHING]);
}

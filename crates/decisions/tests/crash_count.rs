//! The rule that tells requests that crash endpoints from those that merely ran there.

use bridgevane_decisions::crash_count::{
    CrashCount as Count, CrashFact, CrashObservation as Observation, ObservationCursor,
    ObservationOutcome, QUARANTINE_DURATION,
};
use bridgevane_types::{CrashSuspect, RequestFingerprint, TimeMs};
use proptest::prelude::*;

/// Endpoint incarnations are plain numbers in these tests.
type CrashCount = Count<u32>;
type CrashObservation = Observation<u32>;

const CRASHING: CrashSuspect = request(1);
const BYSTANDER: CrashSuspect = request(2);

const fn request(content: u64) -> CrashSuspect {
    CrashSuspect::Request(RequestFingerprint {
        customer: 7,
        content,
    })
}

fn at(second: u64) -> TimeMs {
    TimeMs(1_000_000_000 + second * 1_000)
}

fn crashed(suspect: CrashSuspect, endpoint: u32, second: u64) -> CrashObservation {
    CrashObservation {
        suspect,
        at: at(second),
        started_at: None,
        fact: CrashFact::Crashed(endpoint),
    }
}

fn served(suspect: CrashSuspect, second: u64) -> CrashObservation {
    CrashObservation {
        suspect,
        at: at(second),
        started_at: None,
        fact: CrashFact::Served,
    }
}

fn record_all(
    count: &mut CrashCount,
    observations: &[CrashObservation],
) -> Vec<ObservationOutcome> {
    let outcomes = observations
        .iter()
        .map(|observation| count.record(observation.at, *observation));
    outcomes.collect()
}

fn quarantined(count: &CrashCount) -> Vec<CrashSuspect> {
    let mut requests: Vec<_> = count.quarantined().map(|(request, _)| request).collect();
    requests.sort();
    requests
}

// Retries and several daemons report the same crash more than once.
#[test]
fn a_request_is_quarantined_at_the_third_crash_and_duplicates_do_not_count() {
    use ObservationOutcome::{Ignored, NewlyQuarantined, Recorded};
    let mut count = CrashCount::default();
    let observations = [
        crashed(CRASHING, 1, 0),
        // The same crash, reported by a hedge or another daemon.
        crashed(CRASHING, 1, 0),
        crashed(CRASHING, 2, 1),
        crashed(CRASHING, 2, 2),
        crashed(CRASHING, 3, 3),
        crashed(CRASHING, 3, 3),
    ];
    let outcomes = record_all(&mut count, &observations);
    assert_eq!(
        outcomes,
        [
            Recorded,
            Ignored,
            Recorded,
            Ignored,
            NewlyQuarantined,
            Ignored
        ]
    );
    assert_eq!(quarantined(&count), [CRASHING]);
}

// A client that polls with identical requests is often running where an endpoint crashes.
#[test]
fn a_successful_answer_clears_a_request_of_earlier_crashes() {
    let mut count = CrashCount::default();
    let observations = [
        crashed(BYSTANDER, 1, 0),
        crashed(BYSTANDER, 2, 1),
        served(BYSTANDER, 2),
        crashed(BYSTANDER, 3, 3),
        crashed(BYSTANDER, 4, 4),
        // A late observation of another daemon.
        crashed(BYSTANDER, 5, 1),
    ];
    record_all(&mut count, &observations);
    assert_eq!(quarantined(&count), []);
    assert_eq!(
        count
            .suspects()
            .map(|(suspect, _)| suspect)
            .collect::<Vec<_>>(),
        [BYSTANDER]
    );
}

// A request under quarantine can still be running somewhere, and its crashes would count for the
// requests beside it.
#[test]
fn a_crash_under_a_quarantined_request_counts_for_no_other_request() {
    let mut count = CrashCount::default();
    let first_three_crashes = [
        crashed(CRASHING, 1, 0),
        crashed(CRASHING, 2, 1),
        crashed(CRASHING, 3, 2),
    ];
    record_all(&mut count, &first_three_crashes);
    // Runs that had started before the quarantine; their crashes are observed before and after
    // those of the other request.
    record_all(
        &mut count,
        &[
            crashed(BYSTANDER, 4, 3),
            crashed(CRASHING, 4, 3),
            crashed(CRASHING, 5, 4),
            crashed(BYSTANDER, 5, 4),
            crashed(BYSTANDER, 6, 5),
            crashed(BYSTANDER, 7, 6),
        ],
    );
    assert_eq!(quarantined(&count), [CRASHING]);
}

// Two requests that crash engines always run together: the crashes that put one under quarantine
// must count for the other, too.
#[test]
fn crashes_that_lead_to_a_quarantine_count_for_every_request_that_ran_there() {
    let mut count = CrashCount::default();
    for endpoint in 1..=3 {
        let second = u64::from(endpoint);
        record_all(
            &mut count,
            &[
                crashed(CRASHING, endpoint, second),
                crashed(BYSTANDER, endpoint, second),
            ],
        );
    }
    assert_eq!(quarantined(&count), [CRASHING, BYSTANDER]);
}

// All processes of a host are killed together while each runs an identical request of a client that
// polls.
#[test]
fn crashes_within_one_window_count_once() {
    let mut count = CrashCount::default();
    let observation = |endpoint: u32, ms: u64| CrashObservation {
        at: TimeMs(at(0).0 + ms),
        ..crashed(BYSTANDER, endpoint, 0)
    };
    for endpoint in 0..9 {
        record_all(
            &mut count,
            &[observation(endpoint, 5 * u64::from(endpoint))],
        );
    }
    assert_eq!(quarantined(&count), []);
    record_all(&mut count, &[observation(20, 700)]);
    assert_eq!(quarantined(&count), []);
    record_all(&mut count, &[observation(21, 1_400)]);
    assert_eq!(quarantined(&count), [BYSTANDER], "the third distinct crash");
}

// A request is retried from engine to engine and crashes each at once, all within one window.
#[test]
fn crashes_of_consecutive_runs_count_separately() {
    let mut count = CrashCount::default();
    for endpoint in 0..3u32 {
        let end = TimeMs(at(0).0 + 2 * u64::from(endpoint + 1));
        let observation = CrashObservation {
            at: end,
            started_at: Some(TimeMs(end.0 - 2)),
            ..crashed(CRASHING, endpoint, 0)
        };
        record_all(&mut count, &[observation]);
    }
    assert_eq!(quarantined(&count), [CRASHING]);
}

// The engines may be fixed in the meantime, and a late observation must not renew the quarantine.
#[test]
fn a_quarantine_expires() {
    let mut count = CrashCount::default();
    let observations = [1, 2, 3].map(|endpoint| crashed(CRASHING, endpoint, u64::from(endpoint)));
    record_all(&mut count, &observations);
    let expires_at = at(3) + QUARANTINE_DURATION;
    count.expire(TimeMs(expires_at.0 - 1));
    assert_eq!(quarantined(&count), [CRASHING]);
    count.expire(expires_at);
    assert_eq!(quarantined(&count), []);
    let late = crashed(CRASHING, 9, 3);
    assert_eq!(count.record(expires_at, late), ObservationOutcome::Ignored);
}

// Hundreds of different requests per second each crash an engine: the state must stay bounded, and
// a suspect with two crashes must not be evicted in favour of one with a single crash.
#[test]
fn state_is_bounded_under_a_flood_of_crashes() {
    let mut count = CrashCount::default();
    record_all(
        &mut count,
        &[crashed(CRASHING, 1, 0), crashed(CRASHING, 2, 1)],
    );
    for n in 0..20_000u32 {
        let second = u64::from(n / 400);
        let other = request(100 + u64::from(n));
        record_all(&mut count, &[crashed(other, 10 + n, second)]);
    }
    assert!(count.suspects().count() <= 1_024);
    let (observations, _) = count.observations_after(ObservationCursor::default(), usize::MAX);
    assert!(observations.len() <= 1_100, "{}", observations.len());
    assert_eq!(
        record_all(&mut count, &[crashed(CRASHING, 3, 50)]),
        [ObservationOutcome::NewlyQuarantined]
    );
    for n in 0..15_000u32 {
        let other = request(1_000_000 + u64::from(n / 3));
        let second = 60 + u64::from(n % 3);
        record_all(&mut count, &[crashed(other, 100_000 + n, second)]);
    }
    assert!(count.quarantined().count() <= 4_096);
}

// Each daemon sends an observation back to the one that it got it from. When an observation that was
// known already moved the position of the newest one, every follower was answered at once, with nothing.
#[test]
fn an_observation_that_changes_nothing_does_not_count_as_newer() {
    let mut count = CrashCount::default();
    record_all(&mut count, &[crashed(CRASHING, 1, 0), served(BYSTANDER, 0)]);
    let newest = count.newest_cursor();
    record_all(&mut count, &[crashed(CRASHING, 1, 0), served(BYSTANDER, 1)]);
    assert_eq!(
        count.newest_cursor(),
        newest,
        "a crash again, and no suspect"
    );
    record_all(&mut count, &[served(CRASHING, 2)]);
    assert_ne!(count.newest_cursor(), newest);
    let newest = count.newest_cursor();
    record_all(&mut count, &[served(CRASHING, 1), crashed(CRASHING, 2, 1)]);
    assert_eq!(
        count.newest_cursor(),
        newest,
        "both are older than the answer"
    );
}

// Daemons exchange observations in batches and continue at the cursor of the last one.
#[test]
fn observations_are_returned_in_batches_and_only_once() {
    let mut count = CrashCount::default();
    for n in 0..10 {
        record_all(&mut count, &[crashed(request(n), n as u32, n)]);
    }
    let (first, cursor) = count.observations_after(ObservationCursor::default(), 6);
    let (second, cursor) = count.observations_after(cursor, 6);
    assert_eq!((first.len(), second.len()), (6, 4));
    assert_eq!(count.observations_after(cursor, 6), (Vec::new(), cursor));
    record_all(&mut count, &[crashed(request(0), 99, 11)]);
    let (third, _) = count.observations_after(cursor, 6);
    assert_eq!(third, [crashed(request(0), 99, 11)]);
}

fn arbitrary_crash() -> impl Strategy<Value = CrashObservation> {
    // Each crash has its own time. There is none after the third one, so that no crash is
    // attributed to a request under quarantine: which ones are attributed depends on the order.
    (0..3u64, 0..3u32)
        .prop_map(|(content, endpoint)| crashed(request(content), endpoint, u64::from(endpoint)))
}

proptest! {
    // Two daemons that exchange all observations quarantine the same requests in whatever order
    // they observed the crashes, unless some are attributed.
    #[test]
    fn two_daemons_that_exchange_all_observations_agree(
        crashes in prop::collection::vec(arbitrary_crash(), 0..16),
        split in 0..16usize,
    ) {
        let split = split.min(crashes.len());
        let mut daemons = [CrashCount::default(), CrashCount::default()];
        record_all(&mut daemons[0], &crashes[..split]);
        record_all(&mut daemons[1], &crashes[split..]);
        for _ in 0..2 {
            let (from_first, _) = daemons[0].observations_after(ObservationCursor::default(), usize::MAX);
            let (from_second, _) = daemons[1].observations_after(ObservationCursor::default(), usize::MAX);
            record_all(&mut daemons[0], &from_second);
            record_all(&mut daemons[1], &from_first);
        }
        prop_assert_eq!(quarantined(&daemons[0]), quarantined(&daemons[1]));
        let mut single = CrashCount::default();
        record_all(&mut single, &crashes);
        prop_assert_eq!(quarantined(&single), quarantined(&daemons[0]));
    }
}

//! A short soak of real processes with fixed seeds in which workers of a new software version replace
//! others, and clients take resumable streams up at other daemons.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::rollout_plan::RolloutRow;
use bridgevane_soak::{RolloutOutcome, SoakOptions, run_rollouts};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Long enough for one rollout and the take-ups after it.
const DURATION: Duration = Duration::from_secs(22);

async fn play(row: RolloutRow, seed: u64) -> RolloutOutcome {
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rollouts-{row}-{seed}")),
        seed,
        size: RunSize {
            daemons: 3,
            workers: 8,
            duration: DURATION,
        },
        callers: 24,
        serves_stale: false,
    };
    let played = run_rollouts(&options, Some(row)).await;
    played.expect("the soak runs")
}

fn assert_no_violations(outcome: &RolloutOutcome) {
    let summary = outcome.summary();
    let violations = &outcome.violations;
    assert!(violations.is_empty(), "{summary}: {violations:?}");
    assert!(outcome.counts.streams >= 40, "{summary}");
}

/// Guards against a rollout without faults that breaks streams or joins them from two versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rollout_breaks_no_stream() {
    let outcome = play(RolloutRow::Calm, 1).await;
    assert_no_violations(&outcome);
    let counts = outcome.counts;
    assert_eq!((counts.broken, counts.whole), (0, counts.streams));
}

/// Guards against a fleet that starts anew and takes the only version that it sees for the one that began
/// the streams which clients take up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_not_joined_after_all_daemons_were_killed_around_a_rollout() {
    let (left, replaced) = tokio::join!(
        play(RolloutRow::KilledAfterLeaving, 1),
        play(RolloutRow::KilledWhileReplaced, 1)
    );
    for outcome in [left, replaced] {
        assert_no_violations(&outcome);
        assert!(outcome.counts.broken >= 5, "{}", outcome.summary());
    }
}

/// Guards against a daemon that hasn't seen a rollout and takes streams of the new version up at the old
/// one, because a new version that is alone begins streams at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_not_joined_at_a_daemon_that_is_out_of_step() {
    let (cut, frozen) = tokio::join!(
        play(RolloutRow::OutOfStepCut, 2),
        play(RolloutRow::OutOfStepFrozen, 2)
    );
    for outcome in [cut, frozen] {
        assert_no_violations(&outcome);
        assert!(outcome.counts.broken >= 5, "{}", outcome.summary());
    }
}

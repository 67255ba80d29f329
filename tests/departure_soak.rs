//! A short soak of real processes with fixed seeds in which workers leave while the store refuses daemons.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::{DepartureOutcome, SoakOptions, run_departures};
use std::path::{Path, PathBuf};
use std::time::Duration;

async fn play(seed: u64) -> DepartureOutcome {
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("departures-{seed}")),
        seed,
        size: RunSize {
            daemons: 8,
            workers: 12,
            duration: Duration::from_secs(25),
        },
        callers: 0,
        serves_stale: false,
    };
    run_departures(&options).await.expect("the soak runs")
}

/// Guards against requests that reach workers 3 s after these have left: the store refuses the seeds, their
/// silence is noticed late, and a record that is gone counts as one that lapsed in an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_reaches_a_worker_that_left_while_the_store_refuses_the_seeds() {
    for outcome in [play(1).await, play(2).await] {
        let summary = outcome.summary();
        assert!(outcome.late.is_empty(), "{summary}: {:?}", outcome.late);
        assert!(outcome.plan.departures.len() > 8, "{summary}");
        assert!(outcome.served > 1_000, "{summary}");
    }
}

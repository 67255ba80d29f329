//! A short soak of real processes with fixed seeds beside crowds of clients that send too much or stop short.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::{CrowdsOutcome, SoakOptions, run_crowds};
use std::path::{Path, PathBuf};
use std::time::Duration;

async fn play(seed: u64) -> CrowdsOutcome {
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowds-{seed}")),
        seed,
        size: RunSize {
            daemons: 3,
            workers: 4,
            duration: Duration::from_secs(15),
        },
        callers: 6,
        serves_stale: false,
    };
    run_crowds(&options).await.expect("the soak runs")
}

/// Guards against processes that end by themselves, hang at a stop, go over their memory or don't serve any
/// more, because of crowds of clients that overlap with signals and changes of the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_live_beside_crowds_and_interruptions() {
    for outcome in [play(1).await, play(2).await] {
        assert!(outcome.is_sound(), "{}", outcome.summary());
    }
}

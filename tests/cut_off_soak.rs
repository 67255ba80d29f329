//! A short soak of real processes with fixed seeds in which daemons are cut off from all workers.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::{SoakOptions, run_cut_off};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Fixed seeds; a seed that fails is added, and its cause recorded in `crates/soak/REGRESSIONS.md`.
const SEEDS: [u64; 2] = [1, 2];

/// Guards against callers of daemons that are cut off from all workers, of a whole data centre or of
/// most of the fleet, being served less often than callers of the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_daemons_that_are_cut_off_are_served_like_others() {
    for seed in SEEDS {
        let options = SoakOptions {
            program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
            folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cut-off-{seed}")),
            seed,
            size: RunSize {
                daemons: 8,
                workers: 6,
                duration: Duration::from_secs(18),
            },
            callers: 16,
            serves_stale: false,
        };
        let outcome = run_cut_off(&options).await.expect("the soak runs");
        assert!(
            outcome.violations.is_empty(),
            "{}: {:?}",
            outcome.summary(),
            outcome.violations
        );
        assert!(outcome.history.calls.len() > 100, "{}", outcome.summary());
    }
}

//! A short fault soak with fixed seeds: real processes, faults injected from outside, no guarantee
//! violated.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::{SoakOptions, run};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Fixed seeds; a seed that fails is added, and its cause recorded in `crates/soak/REGRESSIONS.md`.
const SEEDS: [u64; 2] = [1, 1_005];

/// Guards against violations under faults, with strict key removal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_guarantee_is_violated_in_a_short_soak() {
    run_seeds(false).await;
}

/// Guards against violations under the same faults, with daemons that continue to serve during an
/// outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_guarantee_is_violated_by_daemons_that_serve_stale() {
    run_seeds(true).await;
}

async fn run_seeds(serves_stale: bool) {
    for seed in SEEDS {
        let options = SoakOptions {
            program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
            folder: Path::new(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("soak-{seed}-{serves_stale}")),
            seed,
            size: RunSize {
                daemons: 3,
                workers: 4,
                duration: Duration::from_secs(18),
            },
            callers: 8,
            serves_stale,
        };
        let outcome = run(&options).await.expect("the soak runs");
        let events: Vec<String> = outcome
            .plan
            .events
            .iter()
            .map(ToString::to_string)
            .collect();
        assert!(
            outcome.violations.is_empty(),
            "{:?}\n{events:#?}",
            outcome.violations
        );
        assert!(outcome.history.calls.len() > 100, "{}", outcome.summary());
        assert!(options.folder.join("served.svg").exists());
    }
}

//! Real processes beside odd records that another writer leaves among those of the workers.

use bridgevane_soak::plan::RunSize;
use bridgevane_soak::{SoakOptions, run_odd_records};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Three daemons read the store, the fourth one follows them.
const DAEMONS: usize = 4;

/// Guards against processes that end by themselves, never become ready again, or stop following the store,
/// because of one record that another writer left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_run_and_restart_beside_odd_records() {
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bridgevane")),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join("odd-records"),
        seed: 1,
        size: RunSize {
            daemons: DAEMONS,
            workers: 4,
            duration: Duration::ZERO,
        },
        callers: 0,
        serves_stale: false,
    };
    let outcome = run_odd_records(&options)
        .await
        .expect("the processes start");
    assert!(outcome.is_sound(), "{outcome:?}");
}

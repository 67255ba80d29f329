//! The options of a run.

use crate::plan::RunSize;
use std::path::PathBuf;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program under test.
    pub program: PathBuf,
    /// The folder for logs and the plot.
    pub folder: PathBuf,
    /// The seed from which the faults are drawn.
    pub seed: u64,
    /// The number of daemons and workers, and the duration of the run.
    pub size: RunSize,
    /// The number of callers.
    pub callers: usize,
    /// Whether daemons continue to serve during an outage of the store
    /// (`--strict-key-removal false`).
    pub serves_stale: bool,
}

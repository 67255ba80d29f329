//! A randomized fault soak: real gateway processes on loopback with the emulated platform, and
//! faults drawn from a seed that are injected from outside the processes. Afterwards, the calls and
//! runs recorded by callers and workers are checked against the gateway's guarantees ([`checks`]).
//!
//! A run of another kind cuts single daemons off from all workers, and checks that their callers are
//! served like others ([`cut_plan`], [`cut_path`], [`cut_checks`]).

mod callers;
pub mod checks;
pub mod cut_checks;
pub mod cut_path;
pub mod cut_plan;
mod cut_run;
mod environment;
pub mod history;
mod options;
pub mod plan;
mod plot;
mod processes;
pub mod proxy;
mod run;

pub use cut_run::{CutOutcome, run_cut_off};
pub use options::SoakOptions;
pub use plot::PlotError;
pub use run::{SoakError, SoakOutcome, run};

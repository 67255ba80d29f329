//! A randomized fault soak: real gateway processes on loopback with the emulated platform, and
//! faults drawn from a seed that are injected from outside the processes. Afterwards, the calls and
//! runs recorded by callers and workers are checked against the gateway's guarantees ([`checks`]).

mod callers;
pub mod checks;
mod environment;
pub mod history;
mod options;
pub mod plan;
mod plot;
mod processes;
pub mod proxy;
mod run;

pub use options::SoakOptions;
pub use plot::PlotError;
pub use run::{SoakError, SoakOutcome, run};

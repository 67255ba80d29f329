//! A randomized fault soak: real gateway processes on loopback with the emulated platform, and
//! faults drawn from a seed that are injected from outside the processes. Afterwards, the calls and
//! runs recorded by callers and workers are checked against the gateway's guarantees ([`checks`]).
//!
//! A run of another kind cuts single daemons off from all workers, and checks that their callers are
//! served like others ([`cut_plan`], [`cut_path`], [`cut_checks`]). One of a third kind lets the store
//! come back from copies, and checks the duties of the fleet ([`copy_plan`], [`copy_checks`]). One of a
//! fourth kind replaces daemons around such returns, stops, freezes and cuts them off, and checks which
//! routes and keys daemons serve and deny ([`replacement_plan`], [`interruption_plan`],
//! [`confirmed_versions`]). One of a fifth kind replaces workers by such of other software versions, and
//! checks the streams that clients take up ([`rollout_plan`], [`stream_checks`]). One of a sixth kind
//! leaves odd records among those of the workers ([`run_odd_records`]). One of a seventh kind lets workers
//! leave while the store refuses daemons ([`departure_plan`], [`run_departures`]). One of an eighth kind lets
//! crowds of clients that stay outside of the limits meet daemons ([`crowd`], [`crowd_plan`], [`run_crowds`]).

mod callers;
pub mod checks;
pub mod confirmed_versions;
mod connections;
pub mod copy_checks;
mod copy_environment;
pub mod copy_plan;
mod copy_run;
pub mod crowd;
pub mod crowd_plan;
mod crowd_run;
pub mod cut_checks;
pub mod cut_path;
pub mod cut_plan;
mod cut_run;
pub mod daemon_group;
pub mod departure_plan;
mod departure_run;
mod environment;
pub mod history;
pub mod interruption_plan;
mod odd_records_run;
mod operator;
mod options;
pub mod plan;
mod plot;
mod processes;
pub mod proxy;
pub mod replacement_plan;
mod replacement_run;
mod rollout_environment;
pub mod rollout_plan;
mod rollout_run;
mod run;
pub mod stream_checks;
mod stream_clients;

pub use copy_run::{CopyOutcome, run_store_copies};
pub use crowd_run::{CrowdsOutcome, run_crowds};
pub use cut_run::{CutOutcome, run_cut_off};
pub use departure_run::{DRAIN_BOUND, DepartureOutcome, LateRequest, run_departures};
pub use odd_records_run::{OddRecordsOutcome, run_odd_records};
pub use options::SoakOptions;
pub use plot::PlotError;
pub use replacement_run::{ProbeCounts, ReplacementOutcome, WrongAnswer, run_replacements};
pub use rollout_run::{RolloutOutcome, run_rollouts};
pub use run::{SoakError, SoakOutcome, run};

//! A randomized soak: real gateway processes on loopback before the emulated platform, with
//! faults from outside them, drawn from a seed. What callers and endpoints saw is checked
//! against the promises afterwards ([`checks`]).

pub mod checks;
mod clients;
pub mod history;
pub mod plan;
mod plot;
mod processes;
pub mod proxy;
mod run;
mod stage;

pub use plot::PlotError;
pub use run::{Options, Outcome, SoakError, run};

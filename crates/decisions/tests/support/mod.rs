//! A simulation of engines and callers in virtual time, shared by tests and benchmarks.
//!
//! It doesn't simulate a whole cluster: engines are the pure model of the stand-ins, callers are a
//! list of arrivals, and messages take no time unless a test sets a delay.
#![allow(dead_code, unused_imports)]

pub mod baselines;
pub mod driver;
pub mod workload;

pub use baselines::{Baseline, Chooser};
pub use driver::{ClassResult, Driver, Fault, RunResult, Setup};
pub use workload::{Arrival, Workload, ravaton, solcata};

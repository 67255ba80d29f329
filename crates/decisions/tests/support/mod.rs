//! A small fake of engines and callers in virtual time, shared by tests and benchmarks.
//!
//! It is no simulator of a cluster: engines are the pure model of the stand-ins, callers are
//! a list of arrivals, messages take no time but where a test says so.
#![allow(dead_code, unused_imports)]

pub mod baselines;
pub mod driver;
pub mod workload;

pub use baselines::{Baseline, Chooser};
pub use driver::{ClassResult, Driver, Fault, RunResult, Setup};
pub use workload::{Arrival, Workload, ravaton, solcata};

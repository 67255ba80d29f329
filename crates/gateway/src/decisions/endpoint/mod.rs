//! Rules that choose among endpoints, and rules that judge the state of each.
//!
//! The state is in `endpoints`; what is learned about an endpoint is lost when the process ends.

pub mod cache_fetch;
pub mod ejection;
pub mod engine_pace;
pub mod engine_rates;
mod hash_mix;
pub mod idle_connections;
pub mod load_report;
pub mod placement;
pub mod prompt_affinity;
pub mod queue_delay;
pub mod quiet_engines;
pub mod reachability;
pub mod recent_highest;
pub mod silence;

pub mod tie_break;

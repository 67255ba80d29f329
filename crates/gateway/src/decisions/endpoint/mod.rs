//! Rules about endpoints: which one gets a request, and what is known of each.
//!
//! Their state is in `endpoints`; what they learn of an endpoint is lost with the process.

pub mod cache_fetch;
pub mod ejection;
mod hash_mix;
pub mod idle_connections;
pub mod load_report;
pub mod placement;
pub mod prompt_affinity;
pub mod queue_delay;
pub mod silence;
pub mod stream_reservation;
pub mod tie_break;

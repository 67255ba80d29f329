//! The rules that choose, admit, shed, retry and give up.

pub mod admission;
pub mod endpoint;
pub mod placement;
pub mod queue_delay;
pub mod replication;
pub mod retry_budget;
pub mod urgency;

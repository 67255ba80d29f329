//! The rules that choose, admit, shed, retry and give up.

pub mod placement;
pub mod queue_delay;
pub mod retry_budget;
pub mod urgency;

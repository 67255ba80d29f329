//! The parts of a pool's decisions, one per module.

pub(crate) mod concurrency;
pub(crate) mod customer_limits;
pub mod engine_health;
pub(crate) mod engine_load;
pub(crate) mod estimates;
pub(crate) mod ewma;
pub(crate) mod fair_queue;
pub(crate) mod guaranteed_share;
pub(crate) mod prefix_cache;
pub(crate) mod request_lifecycle;
pub(crate) mod retry_budget;
pub(crate) mod victims;

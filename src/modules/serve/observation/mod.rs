//! Observability of the daemon: metrics, service levels and the burn rate of error budgets.

pub(crate) mod metrics;
pub(crate) mod service_levels;

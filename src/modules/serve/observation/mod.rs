//! Observability of the daemon: metrics, service levels and the burn rate of error budgets.

pub(crate) mod burn;
pub(crate) mod metrics;

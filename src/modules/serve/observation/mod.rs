//! What one sees of the daemon: metrics and service-level burn.

pub(crate) mod burn;
pub(crate) mod metrics;

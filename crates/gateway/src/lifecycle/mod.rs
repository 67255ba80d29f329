//! From the first readiness check to the end of a planned stop.

pub(crate) mod readiness;
pub(crate) mod shutdown;
pub(crate) mod stop;

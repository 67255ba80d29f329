//! From the first readiness check to the end of a planned stop.
//!
//! [`shutdown`] owns the steps of a stop, [`stop`] takes them; [`readiness`] answers the balancer.

pub(crate) mod readiness;
pub(crate) mod shutdown;
pub(crate) mod stop;
pub(crate) mod suspension;

//! The life cycle of the daemon, from the first readiness check to the end of a planned stop.
//!
//! [`shutdown`] owns the state of a stop, and [`stop`] executes it; [`readiness`] answers the load
//! balancer; [`suspension`] detects that the VM was suspended; [`try_log`] logs how clients' requests
//! ended.

pub(crate) mod readiness;
pub(crate) mod shutdown;
pub(crate) mod stop;
pub(crate) mod suspension;
pub(crate) mod try_log;

//! The modules of the daemon.
//!
//! [`process`] is used by both programs: logs, HTTP servers, signals, the metrics page. [`serve`]
//! is `bridgevane serve`. The other program, `bridgevane gateway`, is in the package
//! `bridgevane-gateway`.

pub mod process;
pub mod serve;

//! What the daemon does, by concern.
//!
//! [`process`] serves both programs: logs, listening, signals, the metrics page. [`serve`] is
//! `bridgevane serve`. The other program, `bridgevane gateway`, is the package
//! `bridgevane-gateway`.

pub mod process;
pub mod serve;

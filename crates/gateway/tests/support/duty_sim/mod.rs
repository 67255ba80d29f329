//! A simulated platform on a virtual clock, before which real daemons stand for the duties and hold
//! them: one store with leases and conditional writes, one interface for usage, and their faults.
//!
//! Each daemon runs the product's own tasks. It is cut off, loses answers or is killed by itself; the
//! store is silent for all, and may end leases early meanwhile.

mod daemon;
mod store;

pub use daemon::Daemon;
pub use store::{Link, Taken, World};

use std::time::Duration;

/// The users' lease.
pub const LEASE: Duration = Duration::from_millis(3_000);
/// The users' windows.
pub const WINDOW: Duration = Duration::from_millis(5_000);

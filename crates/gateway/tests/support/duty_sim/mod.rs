//! A simulated platform on a virtual clock, on which real daemons become holders of the duties: one
//! store with leases and conditional writes, one interface for usage, and their faults.
//!
//! Each daemon runs the product's own tasks. A daemon is cut off, loses responses or is killed
//! individually; a silent store affects all, and may end leases early meanwhile. The store may come
//! back from a copy. Each daemon reports its usage to the holder that its replica names.
//! Daemons follow the store, or form a tree of which some follow the store and the others each other.

mod daemon;
mod fleet;
mod follower;
mod peers;
mod rules;
mod store;

#[allow(unused_imports)]
pub use daemon::{Daemon, DaemonStart, TreePlace};
#[allow(unused_imports)]
pub use fleet::{MissedWindows, TreeFleet};
#[allow(unused_imports)]
pub use peers::PeerNetwork;
#[allow(unused_imports)]
pub use rules::{
    check_one_holder_at_a_time, check_rules, differing_windows, run_on_virtual_clock, start_daemon,
};
#[allow(unused_imports)]
pub use store::{AcceptedCall, LinkFaults, SimulatedPlatform, StoreCopy};

use std::time::Duration;

/// The lease of the holder's key.
pub const LEASE: Duration = Duration::from_millis(3_000);
/// The width of a usage window.
pub const WINDOW: Duration = Duration::from_millis(5_000);

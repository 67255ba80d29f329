//! The operators' configuration: read from the platform, replicated between daemons, put in force,
//! and changed.

pub(crate) mod accept;
pub(crate) mod change;
pub mod in_force;
pub(crate) mod relay;
pub(crate) mod replica;
pub(crate) mod watch;

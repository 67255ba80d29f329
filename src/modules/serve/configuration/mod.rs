//! The operators' document: followed at the platform, passed on between daemons, in force, changed.

pub(crate) mod accept;
pub(crate) mod change;
pub(crate) mod follow;
pub mod in_force;
pub(crate) mod relay;
pub(crate) mod replica;

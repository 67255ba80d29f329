//! The other daemons: who lives, connections and frames between them.

pub(crate) mod frames;
pub(crate) mod links;
pub(crate) mod members;

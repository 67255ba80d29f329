//! The other daemons: who lives, connections and frames between them.

pub(crate) mod connections;
pub(crate) mod frames;
pub(crate) mod links;
pub(crate) mod member_wire;
pub(crate) mod members;
pub(crate) mod membership;
pub(crate) mod request_on_wire;

//! The other daemons: the membership of the data centre, connections and frames between daemons.

pub(crate) mod connections;
pub(crate) mod frames;
pub(crate) mod links;
pub(crate) mod member_wire;
pub(crate) mod members;
pub(crate) mod membership;
pub(crate) mod request_id_wire;

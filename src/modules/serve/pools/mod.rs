//! The pools of each service's endpoints in this data centre, and the daemon that decides for each.

pub(crate) mod actor;
pub(crate) mod configure;
pub(crate) mod directory;
pub(crate) mod endpoint_link;
pub(crate) mod endpoint_poll;
pub(crate) mod handle;
pub(crate) mod homes;
pub(crate) mod messages;
pub(crate) mod orders;
pub(crate) mod remote_requests;
pub(crate) mod wire;

//! The endpoints that serve requests, and what this daemon knows of each of them.

pub(crate) mod connection;
pub(crate) mod directory;
pub(crate) mod endpoint;
pub(crate) mod health;
pub(crate) mod idle_connections;
pub(crate) mod load;

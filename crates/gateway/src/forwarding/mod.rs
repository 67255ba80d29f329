//! Forwarding: sends requests through other daemons while this one reaches no endpoint of their
//! service, and serves such requests of others.
//!
//! [`daemons`] owns what is known of the other daemons; [`reach_probe`] finds out whether a service
//! is in reach; [`connection`] opens connections to other daemons and accepts theirs; [`attempt`]
//! sends one request through a daemon; [`headers`] are those that daemons add for each other. The
//! rules are [`crate::decisions::forwarding`] and [`crate::decisions::endpoint::reachability`].

pub(crate) mod attempt;
pub(crate) mod connection;
pub(crate) mod daemons;
pub(crate) mod headers;
pub(crate) mod reach_probe;

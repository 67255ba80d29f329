//! The endpoints that serve requests, and the state of each on this daemon.
//!
//! Owns load, health, idle connections and prefix-cache hints, each behind atomics or a lock of its
//! own; the rules that use them are in [`crate::decisions::endpoint`]. All of it is lost when the
//! process ends, and learned again from answers.

pub(crate) mod brittle_state;
pub(crate) mod cold_state;
pub(crate) mod connection;
pub(crate) mod directory;
pub(crate) mod endpoint;
pub(crate) mod engine_profiles;
pub(crate) mod health;
pub(crate) mod idle_connections;
pub(crate) mod load;
pub(crate) mod lost_requests;
pub(crate) mod pace_state;
pub(crate) mod prompt_locations;
pub(crate) mod rate_limit;
pub(crate) mod reachability;
pub(crate) mod selection;

//! Replication: daemons forward the state of the control source, and how recent it is, to each
//! other. The source then serves a few callers instead of every daemon, and a daemon that the
//! source refuses continues with the state of its neighbours.
//!
//! A daemon follows one upstream at a time: the source itself, or another daemon
//! ([`crate::decisions::replication::upstream`]). The received state is its replica
//! ([`crate::control::replica`]), from which it answers daemons that follow it ([`server`],
//! [`client`]). Messages also carry the number of daemons and the work that they have under way
//! ([`fleet`]), which requests crash endpoints ([`crash_observations`]), and the limits that
//! endpoints announce ([`endpoint_notices`]), and at which software versions streams began
//! ([`stream_reports`]), and how complete a daemon's state is ([`state_reports`]). There is no consensus and nothing is stored: a replica
//! is a cache of the source, ordered only by the source's revision.

pub(crate) mod client;
pub(crate) mod crash_observations;
pub(crate) mod endpoint_notices;
pub(crate) mod fleet;
pub(crate) mod follow;
pub(crate) mod message;
pub(crate) mod packed_state;
pub(crate) mod peer_connection;
pub(crate) mod peer_error;
pub(crate) mod proof_on_demand;
pub(crate) mod quarantine_writer;
pub(crate) mod seed_exchange;
pub(crate) mod seed_reports;
pub(crate) mod server;
pub(crate) mod state_reports;
pub(crate) mod stream_reports;
pub(crate) mod version_registrar;
pub(crate) mod work_reports;

//! Daemons pass on to each other what the control source says, and how recent it is, so that the
//! source bears a few callers and not one for each daemon, and so that a daemon that the source
//! turns away goes on with what its neighbours know.
//!
//! A daemon follows one upstream at a time: the source itself, or another daemon
//! ([`crate::decisions::replication::upstream`]). What it has taken in is its replica
//! ([`crate::control::replica`]), from which it answers daemons that follow it ([`server`],
//! [`client`]). Messages also carry how many daemons there are and the work that they have under way
//! ([`fleet`]), which requests end the endpoints that run them ([`crash_news`]), and what endpoints ask for ([`endpoint_notices`]). Nothing is agreed on and nothing is kept: a replica is a cache of the source, and
//! the source's revision is its only clock.

pub(crate) mod client;
pub(crate) mod crash_news;
pub(crate) mod endpoint_notices;
pub(crate) mod fleet;
pub(crate) mod follow;
pub(crate) mod message;
pub(crate) mod packed_state;
pub(crate) mod peer_error;
pub(crate) mod quarantine_writer;
pub(crate) mod seed_exchange;
pub(crate) mod server;
pub(crate) mod work_reports;

//! Daemons pass on to each other what the control source tells, and how fresh it is, so that
//! the source bears a few callers and not one for each daemon, and so that a daemon that the
//! source turns away goes on with what its neighbours know.
//!
//! A daemon follows one upstream at a time: the source itself, or another daemon
//! ([`upstream`]). What it has taken in stands in its [`crate::control::replica`], from which it answers
//! daemons that follow it ([`server`]).

mod client;
mod downstreams;
pub(crate) mod fleet;
pub(crate) mod follow;
pub(crate) mod message;
pub(crate) mod server;
pub(crate) mod upstream;
pub(crate) mod work;
mod work_exchange;

pub(crate) use client::{PeerAnswer, PeerClient, PeerError};
pub use downstreams::{Admission, Downstreams, Follower};
pub(crate) use work_exchange::run as exchange_work;

//! Duties: calls to the platform that one daemon, the holder, makes for the whole fleet.
//!
//! | task | on | module |
//! |---|---|---|
//! | counts requests as they begin | every daemon | [`usage_tracker`] |
//! | reports its counts to the holder | every daemon but the holder | [`reporter`] |
//! | tries to become the holder, and keeps the lease | daemons that follow the control source | [`holder`], [`holder_session`] |
//! | submits each window's usage to the platform | the holder | [`usage`] |
//! | orders engines | the holder | [`engines`] |
//!
//! The rules are in [`crate::decisions::duties`]. Nothing here outlives the process; the state for
//! a successor is in the platform's store ([`crate::decisions::duties::duty_state`]).

pub(crate) mod api;
pub(crate) mod codec;
mod engines;
pub(crate) mod holder;
mod holder_session;
pub(crate) mod reporter;
mod usage;
pub(crate) mod usage_tracker;

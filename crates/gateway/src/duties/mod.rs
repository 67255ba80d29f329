//! Duties: calls to the platform that one daemon makes for the whole fleet, carried out.
//!
//! | task | on | module |
//! |---|---|---|
//! | counts requests as they begin | every daemon | [`book`] |
//! | tells the holder what it counted | every daemon but the holder | [`reporter`] |
//! | stands for the duties, holds and renews them | daemons that follow the store | [`holder`], [`hold`] |
//! | tells the platform each window's usage | the holder | [`usage`] |
//! | orders engines | the holder | [`engines`] |
//!
//! What is decided stands in [`crate::decisions::duties`]. Nothing here outlives the process; what a
//! successor needs is in the platform's store ([`crate::decisions::duties::duty_state`]).

pub(crate) mod api;
pub(crate) mod book;
pub(crate) mod codec;
mod engines;
mod hold;
pub(crate) mod holder;
pub(crate) mod reporter;
mod usage;

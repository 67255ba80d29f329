//! The daemon and the command line of bridgevane.
//!
//! [`commands`] are what the command line offers; [`configs`] are typed settings with defaults;
//! [`modules`] are what the daemon does, by concern.

pub mod commands;
pub mod configs;
pub mod modules;

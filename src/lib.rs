//! The daemon and the command line of bridgevane.
//!
//! [`commands`] contains the commands of the command line, [`configs`] the typed settings with
//! their defaults, and [`modules`] the parts of the daemon.

pub mod commands;
pub mod configs;
pub mod modules;

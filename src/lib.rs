//! The daemon and the command line of bridgevane.
//!
//! `commands` are what the command line offers; `configs` are typed settings with defaults;
//! `modules` are the daemon's behaviour, one module a file, each with the shared
//! [`context::Context`] handed down.

pub mod commands;
pub mod configs;
pub mod context;
pub mod modules;

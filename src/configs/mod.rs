//! Typed settings with defaults.

pub mod clients;
pub mod gateway;
pub mod log;
pub mod operators;
pub mod peers;
pub mod serve;
pub mod serving;
pub mod settings_reader;

//! Rules before a request is sent.

pub mod freshness;

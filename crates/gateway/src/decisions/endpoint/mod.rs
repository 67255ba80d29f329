//! Rules about endpoints.

pub mod load_report;

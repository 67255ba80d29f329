//! The operators' language and its HTTP interface.

pub(crate) mod fan_out;
pub(crate) mod interface;
pub mod query_language;
pub(crate) mod rows;

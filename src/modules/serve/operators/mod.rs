//! The operators' query language and its HTTP interface.

pub(crate) mod fan_out;
pub(crate) mod interface;
pub(crate) mod queries;
pub mod query_language;
pub(crate) mod row;
pub(crate) mod rows;

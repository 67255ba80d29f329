//! Rules applied before a request is sent: whether it is admitted, with which priority, or refused.
//!
//! Each returns a [`refusal::RefusalReason`] or a value that is used to forward the request.

pub mod freshness;
pub mod load_shedding;
pub mod priority;
pub mod refusal;
pub mod stopping;
pub mod traffic_split;

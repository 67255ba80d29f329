//! Rules before a request is sent: may it pass, with which priority, or is it refused?
//!
//! Each gives a [`refusal::RefusalReason`] or a value for the request's further way.

pub mod body_limits;
pub mod freshness;
pub mod load_shedding;
pub mod priority;
pub mod refusal;
pub mod traffic_split;

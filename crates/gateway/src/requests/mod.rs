//! The way of a request: accepted, admitted, sent to an endpoint, answered.

pub(crate) mod admission;
pub(crate) mod answer_body;
pub(crate) mod attempt;
pub(crate) mod exchange;
pub(crate) mod front;
pub(crate) mod inbound;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod server_events;

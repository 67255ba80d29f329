//! The way of a request, in the order of the modules:
//!
//! 1. [`front`] accepts a connection, [`handler`] takes each request on it;
//! 2. [`admission`] reads and checks it, into an [`inbound`] request ([`request_headers`] decodes);
//! 3. [`exchange`] selects endpoints until one answers, [`attempt`] sends it to one of them,
//!    [`response_head`] checks whose answer came, [`endpoint_signals`] takes in what it says of its endpoint,
//!    [`in_flight`] counts it meanwhile;
//! 4. [`relay`] passes a stream on and resumes it elsewhere ([`server_events`] cuts it into
//!    events); [`answer_body`] is what the client reads.
//!
//! When an endpoint's connection breaks, [`crash_check`] looks whether the endpoint has ended, and
//! [`quarantine`] remembers which requests ran there.
//!
//! What may be refused, retried or given up is decided in [`crate::decisions`]; these modules
//! gather the inputs, act and log.

pub(crate) mod admission;
pub(crate) mod answer_body;
pub(crate) mod attempt;
pub(crate) mod crash_check;
pub(crate) mod endpoint_signals;
pub(crate) mod exchange;
pub(crate) mod front;
pub(crate) mod handler;
pub(crate) mod in_flight;
pub(crate) mod inbound;
pub(crate) mod quarantine;
pub(crate) mod relay;
pub(crate) mod request_headers;
pub(crate) mod response_head;
pub(crate) mod retry_budgets;
pub(crate) mod server_events;

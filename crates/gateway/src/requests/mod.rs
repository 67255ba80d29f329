//! Request handling, in the order in which a request passes through the modules:
//!
//! 1. [`client_listener`] accepts a connection, and [`handler`] handles each request on it;
//! 2. [`admission`] reads and checks the request, and builds an [`inbound`] request from it
//!    ([`request_headers`] decodes the headers, [`bridgevane_client_limits`] reads the body);
//! 3. [`exchange`] selects endpoints until one answers, [`attempt`] sends the request to one of
//!    them, [`answer_validity`] checks that what arrives is an answer ([`answer_framing`] that it has a
//!    certain end) and [`response_head`] that it belongs to the request, [`endpoint_signals`] applies what the answer's headers say about the endpoint, and [`in_flight`] counts the
//!    request while it is in flight;
//! 4. [`relay`] forwards a stream and resumes it at another endpoint ([`server_events`] splits it
//!    into events); [`answer_body`] is the body that the client reads.
//!
//! When a connection to an endpoint breaks, [`crash_check`] finds out whether the endpoint has
//! crashed, and [`quarantine`] remembers which requests ran there.
//!
//! [`try_counts`] counts how clients' requests end.
//!
//! The rules for refusing, shedding, hedging and resending requests are in [`crate::decisions`];
//! these modules gather the inputs, act on the results and log.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod answer_body;
pub(crate) mod answer_framing;
pub(crate) mod answer_validity;
pub(crate) mod attempt;
pub(crate) mod begun_streams;
pub(crate) mod client_listener;
pub(crate) mod crash_check;
pub(crate) mod endpoint_signals;
pub(crate) mod exchange;
pub(crate) mod handler;
pub(crate) mod in_flight;
pub(crate) mod inbound;
pub(crate) mod quarantine;
pub(crate) mod relay;
pub(crate) mod request_headers;
pub(crate) mod response_head;
pub(crate) mod retry_budgets;
pub(crate) mod server_events;
pub(crate) mod try_counts;

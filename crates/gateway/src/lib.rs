//! The forwarding front door: requests are passed to endpoints as they came.
//!
//! An outside [`source::ControlSource`] tells routes, keys and endpoints; an adapter fills in
//! the names of headers ([`names::HeaderNames`]). This package decides: which endpoint gets a
//! request, what may be sent again, what is refused, and whether what is believed is fresh
//! enough to act on.

mod admission;
mod answer_body;
mod attempt;
pub mod connection;
pub mod directory;
mod exchange;
pub mod follow;
pub mod front;
pub mod gateway;
pub mod health;
mod held;
pub mod load;
pub mod metrics;
pub mod names;
pub mod placement;
pub mod pool;
pub mod queue_delay;
pub mod ready;
mod refusal;
mod relay;
pub mod replication;
pub mod request;
pub mod retry_budget;
pub mod routing;
mod server_events;
pub mod settings;
pub mod source;
pub mod stop;
pub mod urgency;
pub mod view;

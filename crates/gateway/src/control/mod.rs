//! What the control source says: routes, customers and endpoints, and how recent that is.
//!
//! [`source`] is the trait that an adapter implements; [`state`] is what came of it, which requests
//! read without locks. Its only writer is [`crate::replication::follow`].

pub(crate) mod duty_holder;
pub(crate) mod endpoint_registry;
pub(crate) mod holder_record;
pub(crate) mod patch;
pub(crate) mod quarantine_store;
pub(crate) mod record_order;
pub(crate) mod replica;
pub(crate) mod routing_table;
pub(crate) mod source;
pub(crate) mod state;

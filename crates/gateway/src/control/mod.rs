//! State read from the control source: routes, customers and endpoints, and how recent it is.
//!
//! [`source`] is the trait that an adapter implements; [`state`] holds the result, which requests
//! read without locks. [`crate::replication::follow`] writes it.

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
pub(crate) mod version_registry;

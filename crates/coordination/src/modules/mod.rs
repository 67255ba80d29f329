//! The coordination primitives.

pub(crate) mod call_budget;
pub(crate) mod config_replica;
pub(crate) mod gossip;
pub(crate) mod held_lease;
pub(crate) mod key_registry;
pub(crate) mod member;
pub(crate) mod membership;
pub(crate) mod rendezvous;
pub(crate) mod rollout;
pub(crate) mod timers;

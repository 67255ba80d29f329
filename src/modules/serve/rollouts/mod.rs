//! Rollouts of model versions, under a lease.

pub(crate) mod held_rollouts;
pub(crate) mod runner;

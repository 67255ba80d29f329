//! Rollouts of model versions, under a lease.

pub(crate) mod carry_out;
pub(crate) mod held;

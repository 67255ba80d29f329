//! `bridgevane serve`: the daemon with the OpenAI-style HTTP interface.
//!
//! | folder | concern |
//! |---|---|
//! | `requests` | the callers' HTTP interface, and the path of a request to its answer |
//! | `pools` | the pools of the services' endpoints, and the daemon that decides for each pool |
//! | `peers` | the membership of the data centre, connections and frames between daemons |
//! | `configuration` | the operators' configuration: read, replicated, put in force, changed |
//! | `keys` | idempotency keys and their homes |
//! | `rollouts` | rollouts of model versions, under a lease |
//! | `operators` | the operators' query language and its HTTP interface |
//! | `observation` | metrics, service levels and the burn rate of error budgets |

pub mod configuration;
pub(crate) mod context;
pub(crate) mod keys;
pub(crate) mod leaving;
pub(crate) mod observation;
pub mod operators;
pub(crate) mod peers;
pub(crate) mod pools;
pub mod requests;
pub(crate) mod rollouts;

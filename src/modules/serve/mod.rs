//! `bridgevane serve`: the OpenAI-style interface, pools with a home, the operators' language.
//!
//! | folder | concern |
//! |---|---|
//! | `requests` | what callers send and read, one request's way |
//! | `pools` | the pools of a service's endpoints, and which daemon decides on each |
//! | `peers` | who lives in the data centre, connections and frames between daemons |
//! | `configuration` | the operators' document: followed, passed on, in force, changed |
//! | `keys` | idempotency keys and their homes |
//! | `rollouts` | rollouts of model versions, under a lease |
//! | `operators` | the operators' language and its HTTP interface |
//! | `observation` | metrics and service-level burn |

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

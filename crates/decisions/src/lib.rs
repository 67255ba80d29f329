//! Pure decision logic: which engine serves a request, when it runs, and whether it is refused.
//!
//! The caller passes in the time, the random seed and all observations, and carries out the
//! returned effects, so that the daemon, the tests and the benchmarks run the same code. [`Pool`]
//! decides for one service in one data centre. Its parts are in `modules`, their settings in
//! `configs`.

pub mod configs;
mod context;
pub mod crash_count;
mod decision_log;
mod effect;
mod event;
mod index;
mod modules;
mod policy;
mod pool;

pub use context::PoolContext;
pub use decision_log::{Decision, DecisionLog, DecisionRecord, NoLog, Recorder};
pub use effect::{CancelCause, Effect};
pub use event::{AttemptEnd, Offer, Scheduler};
pub use index::{ClassIx, CustomerIx, EndpointIx, KindIx};
pub use modules::engine_health::HealthState;
pub use modules::prefix_cache::{Holders, PrefixCache};
pub use policy::{ClassPolicy, CustomerPolicy, EnginePolicy, PoolPolicy};
pub use pool::{ClassView, EngineView, Pool, RequestView};

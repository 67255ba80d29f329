//! Stand-ins of the platform, model engines and plain services.
//!
//! They implement the same contracts as the real systems, on loopback, with faults that tests and
//! the demo switch on. [`EngineModel`] is the engine without I/O: the HTTP stand-in drives it by
//! the clock, benchmarks drive it in virtual time. [`check_promises`] checks a pool's log of
//! decisions.

mod answer_text;
mod engine_model;
mod engine_server;
mod fault;
mod plain_server;
mod platform_server;
mod promises;
mod serving;

pub use answer_text::{answer_length, prompt_blocks, prompt_tokens, token_text};
pub use engine_model::{EngineModel, EngineSpec, Job, ModelEvent};
pub use engine_server::{EngineStandin, EngineStandinSettings};
pub use fault::StandinFault;
pub use plain_server::PlainStandin;
pub use platform_server::{PlatformSettings, PlatformStandin};
pub use promises::{BrokenPromise, check_promises};
pub use serving::{StandinError, StandinServer, serve};

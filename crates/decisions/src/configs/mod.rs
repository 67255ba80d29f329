//! Settings of the decision modules: plain values with defaults, one file a module.

mod admission;
mod concurrency;
mod engine_health;
mod estimates;
mod retry;
mod routing;

pub use admission::AdmissionConfig;
pub use concurrency::ConcurrencyConfig;
pub use engine_health::EngineHealthConfig;
pub use estimates::EstimatesConfig;
pub use retry::RetryConfig;
pub use routing::RoutingConfig;

/// Settings of all decision modules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Admission, order, preemption.
    pub admission: AdmissionConfig,
    /// Concurrency limits of engines.
    pub concurrency: ConcurrencyConfig,
    /// Ejection and return of engines.
    pub engine_health: EngineHealthConfig,
    /// Expected lengths and speeds.
    pub estimates: EstimatesConfig,
    /// Retries.
    pub retry: RetryConfig,
    /// Choice of an engine.
    pub routing: RoutingConfig,
}

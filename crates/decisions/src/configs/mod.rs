//! Settings of the decision modules: plain values with defaults, one file per module.

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

/// The settings of all decision modules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Admission, queue order and preemption.
    pub admission: AdmissionConfig,
    /// Concurrency limits of engines.
    pub concurrency: ConcurrencyConfig,
    /// Ejection and return of engines.
    pub engine_health: EngineHealthConfig,
    /// Estimates of answer lengths and engine speeds.
    pub estimates: EstimatesConfig,
    /// Retry budgets.
    pub retry: RetryConfig,
    /// Choice of an engine.
    pub routing: RoutingConfig,
}

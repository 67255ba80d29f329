//! Settings of the concurrency limits of engines.

/// Settings of the concurrency limit of an engine, which follows its latency.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyConfig {
    /// The interval at which a limit is adjusted (ms).
    pub adjust_every_ms: u64,
    /// The factor of a decrease.
    pub decrease_factor: f64,
    /// The number of slots added by an increase.
    pub increase_slots: f64,
    /// The minimum of the limit, in slots.
    pub min_limit: f64,
}

impl Default for ConcurrencyConfig {
    fn default() -> Self {
        Self {
            adjust_every_ms: 500,
            decrease_factor: 0.9,
            increase_slots: 1.0,
            min_limit: 1.0,
        }
    }
}

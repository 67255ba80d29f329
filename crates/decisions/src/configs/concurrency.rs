//! Settings of the concurrency limits of engines.

/// How the limit of an engine follows its observed latency.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyConfig {
    /// How often a limit moves.
    pub adjust_every_ms: u64,
    /// Factor of a decrease.
    pub decrease_factor: f64,
    /// Slots of an increase.
    pub increase_slots: f64,
    /// The limit never falls below.
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

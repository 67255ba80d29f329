//! Settings of the choice of an engine.

/// Settings of the choice among engines with free slots.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// The cost of a fully loaded engine compared with an idle one (ms).
    pub load_cost_ms: f64,
    /// Whether cached prefixes lower the cost of an engine.
    pub is_cache_aware: bool,
    /// The maximum number of blocks whose holders are remembered.
    pub max_blocks: usize,
    /// The time for which a remembered block counts without an event that confirms it (ms).
    pub block_memory_ms: u64,
    /// The number of random engines to compare per decision; `None` compares all. Two gives the
    /// power of two choices, for daemons that share engines without a home daemon.
    pub choices: Option<u32>,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            load_cost_ms: 300.0,
            is_cache_aware: true,
            max_blocks: 100_000,
            block_memory_ms: 600_000,
            choices: None,
        }
    }
}

//! Settings of the choice of an engine.

/// How an engine is chosen among those with room.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Cost of a fully loaded engine over an idle one, in milliseconds.
    pub load_cost_ms: f64,
    /// Whether cached prefixes count.
    pub is_cache_aware: bool,
    /// Blocks whose holders are remembered at most.
    pub max_blocks: usize,
    /// How long a remembered block counts when no event confirms it.
    pub block_memory_ms: u64,
    /// Engines looked at for one decision; none: all. Two is the power of two choices, for
    /// daemons that share engines without a home.
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

//! Settings of the key registry.

use bridgevane_types::DurationMs;

/// How long and how many keys are remembered.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRegistryConfig {
    /// A key is remembered for this long after its call ended.
    pub remember_ms: DurationMs,
    /// Keys that are remembered at most; beyond them new keyed calls are refused.
    pub max_keys: usize,
    /// Largest answer that is kept to be given again.
    pub max_answer_bytes: usize,
}

/// Not measured, chosen because callers repeat a call within minutes; each key costs up to 1.3 KB
/// (docs/CAPACITY.md).
const REMEMBER: DurationMs = DurationMs(600_000);

impl Default for KeyRegistryConfig {
    fn default() -> Self {
        Self {
            remember_ms: REMEMBER,
            max_keys: 20_000,
            max_answer_bytes: 1_024,
        }
    }
}

//! Settings of the key registry.

use bridgevane_types::DurationMs;

/// Limits on the keys that a registry remembers.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRegistryConfig {
    /// How long a key is remembered after its call ended.
    pub remember_ms: DurationMs,
    /// The maximum number of keys; at the limit, calls with a new key are refused.
    pub max_keys: usize,
    /// The size of the largest answer body that is kept for repeated calls.
    pub max_answer_bytes: usize,
}

/// Callers repeat a call within minutes. Each key costs up to 1.3 KB. See docs/CAPACITY.md.
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

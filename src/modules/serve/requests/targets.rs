//! The latency targets of a class, and whether an answer met them.

use bridgevane_config::ClassConfig;
use bridgevane_types::DurationMs;

/// The latency targets of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyTargets {
    /// The maximum time to the first token.
    pub first_token_ms: DurationMs,
    /// The maximum mean gap between tokens; absent: no target.
    pub between_tokens_ms: Option<DurationMs>,
}

impl LatencyTargets {
    /// Returns the targets of a class.
    pub fn of_class(class: &ClassConfig) -> Self {
        Self {
            first_token_ms: class.first_token_target_ms,
            between_tokens_ms: class.between_tokens_target_ms,
        }
    }

    /// Whether a complete answer met the targets.
    pub(crate) fn are_met(&self, first_token_ms: u64, whole_ms: u64, tokens: u64) -> bool {
        let gaps = tokens.saturating_sub(1).max(1);
        let mean_gap_ms = whole_ms.saturating_sub(first_token_ms) / gaps;
        let gap_met = self
            .between_tokens_ms
            .is_none_or(|target| mean_gap_ms <= target.0);
        first_token_ms <= self.first_token_ms.0 && gap_met
    }
}

//! Decides when an attempt reports its progress to its pool.

use crate::configs::serving::ServingConfig;
use crate::modules::serve::pools::messages::PoolReport;
use bridgevane_types::{AttemptNumber, TimeMs, Tokens};

/// The progress that an attempt has reported to its pool so far.
pub(crate) struct ProgressReporter {
    tokens_at_start: u64,
    reported_tokens: u64,
    reported_at: TimeMs,
    last_token_at: TimeMs,
}

impl ProgressReporter {
    /// Creates the reporter of an attempt that starts with `delivered` tokens.
    pub(crate) fn new(delivered: u64, now: TimeMs) -> Self {
        Self {
            tokens_at_start: delivered,
            reported_tokens: delivered,
            reported_at: now,
            last_token_at: now,
        }
    }

    /// Returns the report that is due after a token, if any.
    pub(crate) fn next_report(
        &mut self,
        serving: &ServingConfig,
        attempt: AttemptNumber,
        delivered: u64,
        now: TimeMs,
    ) -> Option<PoolReport> {
        let gap_ms = now.since(self.last_token_at);
        self.last_token_at = now;
        if delivered == self.tokens_at_start + 1 {
            self.reported_at = now;
            return Some(PoolReport::FirstToken(attempt));
        }
        let is_due = delivered >= self.reported_tokens + serving.progress_tokens
            || now.since(self.reported_at) >= serving.progress_ms
            || gap_ms >= serving.slow_gap_ms;
        if !is_due {
            return None;
        }
        self.reported_tokens = delivered;
        self.reported_at = now;
        Some(PoolReport::Progress(attempt, Tokens(delivered), gap_ms))
    }
}

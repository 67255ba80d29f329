//! When an attempt reports its progress to its pool.

use crate::configs::serving::ServingConfig;
use crate::modules::serve::pools::messages::PoolReport;
use bridgevane_types::{AttemptNumber, TimeMs, Tokens};

/// What an attempt has reported to its pool.
pub(crate) struct Reported {
    started_at: u64,
    tokens: u64,
    at: TimeMs,
    token_at: TimeMs,
}

impl Reported {
    /// An attempt that starts with so many tokens delivered.
    pub(crate) fn new(delivered: u64, now: TimeMs) -> Self {
        Self {
            started_at: delivered,
            tokens: delivered,
            at: now,
            token_at: now,
        }
    }

    /// The report that is due after a token, if any.
    pub(crate) fn next(
        &mut self,
        serving: &ServingConfig,
        attempt: AttemptNumber,
        delivered: u64,
        now: TimeMs,
    ) -> Option<PoolReport> {
        let gap_ms = now.since(self.token_at);
        self.token_at = now;
        if delivered == self.started_at + 1 {
            self.at = now;
            return Some(PoolReport::FirstToken(attempt));
        }
        let is_due = delivered >= self.tokens + serving.progress_tokens
            || now.since(self.at) >= serving.progress_ms
            || gap_ms >= serving.slow_gap_ms;
        if !is_due {
            return None;
        }
        self.tokens = delivered;
        self.at = now;
        Some(PoolReport::Progress(attempt, Tokens(delivered), gap_ms))
    }
}

//! The retry budget of one class, which limits retries to a share of new requests to avoid retry
//! storms.

use crate::configs::RetryConfig;

/// A budget that new requests add to and retries spend from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available_retries: f64,
}

impl RetryBudget {
    pub(crate) fn new(config: &RetryConfig) -> Self {
        Self {
            available_retries: config.max_budget,
        }
    }

    /// Adds the share of a new request.
    pub(crate) fn deposit(&mut self, config: &RetryConfig) {
        self.available_retries =
            (self.available_retries + config.per_request).min(config.max_budget);
    }

    /// Spends one retry; returns false if none is left.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.available_retries < 1.0 {
            return false;
        }
        self.available_retries -= 1.0;
        true
    }
}

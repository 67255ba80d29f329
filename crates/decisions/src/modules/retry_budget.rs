//! The retry budget of one class: retries are a share of new requests, never a storm.

use crate::configs::RetryConfig;

/// A budget that new requests fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    pub(crate) fn new(config: &RetryConfig) -> Self {
        Self {
            retries: config.max_budget,
        }
    }

    /// Notes a new request.
    pub(crate) fn earn(&mut self, config: &RetryConfig) {
        self.retries = (self.retries + config.per_request).min(config.max_budget);
    }

    /// Takes one retry; false when none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

//! Settings of retries.

/// Budgets of retries, by class.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that each new request adds to its class's budget.
    pub per_request: f64,
    /// The largest budget: what one crash of a large engine may need.
    pub max_budget: f64,
    /// Attempts of one request at most.
    pub max_attempts: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            per_request: 0.1,
            max_budget: 64.0,
            max_attempts: 8,
        }
    }
}

//! Settings of retries.

/// Settings of the retry budget of each class.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// The number of retries that a new request adds to its class's budget.
    pub per_request: f64,
    /// The maximum budget: the crash of one large engine may need this many retries.
    pub max_budget: f64,
    /// The maximum number of attempts per request.
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

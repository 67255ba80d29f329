//! Settings of the estimates of answer lengths and engine speeds.

/// Initial estimates, and the weight of observations.
#[derive(Clone, Debug, PartialEq)]
pub struct EstimatesConfig {
    /// The initial time between tokens (ms).
    pub initial_between_tokens_ms: f64,
    /// The initial number of prompt tokens processed per millisecond.
    pub initial_prefill_tokens_per_ms: f64,
    /// The weight of a new observation.
    pub weight: f64,
    /// The number of answers after which a length sketch starts a new generation; the previous
    /// generation is kept.
    pub answers_per_generation: u64,
    /// The number of answers of a customer from which on its own sketch is used.
    pub min_customer_answers: u64,
    /// The maximum number of sketches in a pool that cover one kind of one customer.
    pub max_customer_sketches: usize,
}

impl Default for EstimatesConfig {
    fn default() -> Self {
        Self {
            initial_between_tokens_ms: 30.0,
            initial_prefill_tokens_per_ms: 8.0,
            weight: 0.1,
            answers_per_generation: 500,
            min_customer_answers: 20,
            max_customer_sketches: 4_096,
        }
    }
}

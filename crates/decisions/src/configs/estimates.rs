//! Settings of expected lengths and speeds.

/// What is expected before anything was observed, and how fast observations count.
#[derive(Clone, Debug, PartialEq)]
pub struct EstimatesConfig {
    /// Time between tokens.
    pub initial_between_tokens_ms: f64,
    /// Prompt tokens processed in a millisecond.
    pub initial_prefill_tokens_per_ms: f64,
    /// Weight of a new observation.
    pub weight: f64,
    /// Answers after which a length sketch starts anew, keeping the last one beside it.
    pub answers_per_generation: u64,
    /// Answers of a customer before its own sketch is used.
    pub min_customer_answers: u64,
    /// Sketches by customer that are kept at most.
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

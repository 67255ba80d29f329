//! Estimates of answer lengths and engine speeds.
//!
//! Lengths come from histogram sketches (`hdrhistogram`) per kind, and per kind and customer
//! once the customer has enough answers. The expected remainder of an answer is conditional on the
//! tokens streamed so far: with heavy-tailed lengths it grows.

use crate::configs::EstimatesConfig;
use crate::index::{CustomerIx, KindIx};
use crate::modules::ewma::Ewma;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// The maximum length (tokens) that a sketch records. No model gives longer answers.
const MAX_LENGTH: u64 = 1 << 20;
/// The significant digits of a sketch. With one digit a sketch takes 1.9 KB, and an estimate needs
/// no more. See docs/CAPACITY.md.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The answer lengths of two generations: the current one and the previous one.
#[derive(Clone, Debug)]
struct LengthSketch {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
    mean: f64,
    count: u64,
}

fn new_histogram() -> Histogram<u32> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_LENGTH, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

impl LengthSketch {
    fn new(initial_mean: f64) -> Self {
        Self {
            current: new_histogram(),
            previous: None,
            mean: initial_mean,
            count: 0,
        }
    }

    fn add(&mut self, tokens: u64, config: &EstimatesConfig) {
        self.current.saturating_record(tokens.max(1));
        self.count += 1;
        let weight = config.weight.max(1.0 / (self.count as f64 + 1.0));
        self.mean += weight * (tokens as f64 - self.mean);
        if self.current.len() >= config.answers_per_generation {
            let full = std::mem::replace(&mut self.current, new_histogram());
            self.previous = Some(full);
        }
    }

    /// Returns the mean of the lengths above `delivered`, less `delivered`; `None` if there are
    /// none.
    fn expected_remaining_tokens(&self, delivered: u64) -> Option<f64> {
        let mut count = 0;
        let mut sum = 0.0;
        for sketch in [Some(&self.current), self.previous.as_ref()]
            .into_iter()
            .flatten()
        {
            for bucket in sketch.iter_recorded() {
                if bucket.value_iterated_to() <= delivered {
                    continue;
                }
                let bucket_count = bucket.count_at_value();
                count += u64::from(bucket_count);
                sum += f64::from(bucket_count) * (bucket.value_iterated_to() - delivered) as f64;
            }
        }
        (count > 0).then(|| sum / count as f64)
    }
}

/// The length and speed estimates of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Estimates {
    by_kind: Vec<LengthSketch>,
    by_customer: HashMap<(KindIx, CustomerIx), LengthSketch>,
    between_tokens_ms: Ewma,
    prefill_ms_per_token: Ewma,
}

impl Estimates {
    pub(crate) fn new(config: &EstimatesConfig) -> Self {
        Self {
            by_kind: Vec::new(),
            by_customer: HashMap::new(),
            between_tokens_ms: Ewma::new(config.initial_between_tokens_ms, config.weight),
            prefill_ms_per_token: Ewma::new(
                1.0 / config.initial_prefill_tokens_per_ms,
                config.weight,
            ),
        }
    }

    /// Adds kinds that are new in the configuration.
    pub(crate) fn set_kinds(&mut self, expected_tokens: impl Iterator<Item = f64>) {
        for (index, expected) in expected_tokens.enumerate() {
            if index >= self.by_kind.len() {
                self.by_kind.push(LengthSketch::new(expected));
            }
        }
    }

    /// Returns the expected number of answer tokens of a new request.
    pub(crate) fn expected_tokens(
        &self,
        kind: KindIx,
        customer: CustomerIx,
        max_tokens: u64,
        config: &EstimatesConfig,
    ) -> f64 {
        let sketch = self.sketch(kind, customer, config);
        sketch
            .map_or(1.0, |sketch| sketch.mean)
            .clamp(1.0, max_tokens.max(1) as f64)
    }

    /// Returns the expected number of answer tokens after the first `delivered`.
    pub(crate) fn expected_remaining_tokens(
        &self,
        kind: KindIx,
        customer: CustomerIx,
        delivered: u64,
        max_tokens: u64,
        config: &EstimatesConfig,
    ) -> f64 {
        let sketch = self.sketch(kind, customer, config);
        let remaining = sketch.and_then(|sketch| sketch.expected_remaining_tokens(delivered));
        // The answer is longer than any recorded one: assume as many tokens again.
        let remaining = remaining.unwrap_or(delivered.max(1) as f64);
        remaining.min(max_tokens.saturating_sub(delivered).max(1) as f64)
    }

    fn sketch(
        &self,
        kind: KindIx,
        customer: CustomerIx,
        config: &EstimatesConfig,
    ) -> Option<&LengthSketch> {
        let customer_sketch = self.by_customer.get(&(kind, customer));
        customer_sketch
            .filter(|sketch| sketch.count >= config.min_customer_answers)
            .or_else(|| self.by_kind.get(kind.index()))
    }

    /// Records the length of a complete answer.
    pub(crate) fn learn_length(
        &mut self,
        kind: KindIx,
        customer: CustomerIx,
        tokens: u64,
        config: &EstimatesConfig,
    ) {
        let Some(kind_sketch) = self.by_kind.get_mut(kind.index()) else {
            return;
        };
        kind_sketch.add(tokens, config);
        let mean = kind_sketch.mean;
        let key = (kind, customer);
        let has_room = self.by_customer.len() < config.max_customer_sketches;
        if has_room || self.by_customer.contains_key(&key) {
            let customer_sketch = self.by_customer.entry(key);
            customer_sketch
                .or_insert_with(|| LengthSketch::new(mean))
                .add(tokens, config);
        }
    }

    /// Records the gap between tokens of an active engine.
    pub(crate) fn learn_token_gap(&mut self, gap_ms: f64) {
        self.between_tokens_ms.add(gap_ms);
    }

    /// Records the time that `uncached_tokens` prompt tokens took until the first token.
    pub(crate) fn learn_prefill(&mut self, uncached_tokens: u64, took_ms: f64) {
        /// Observations of shorter prompts are mostly noise.
        const MIN_TOKENS: u64 = 256;
        if uncached_tokens >= MIN_TOKENS {
            self.prefill_ms_per_token
                .add(took_ms / uncached_tokens as f64);
        }
    }

    pub(crate) fn between_tokens_ms(&self) -> f64 {
        self.between_tokens_ms.value()
    }

    /// Returns the expected time to process `uncached_tokens` prompt tokens (ms).
    pub(crate) fn prefill_ms(&self, uncached_tokens: u64) -> f64 {
        self.prefill_ms_per_token.value() * uncached_tokens as f64
    }
}

//! Expected answer lengths and engine speeds.
//!
//! Lengths come from quantile sketches (`hdrhistogram`) by kind, and by kind and customer
//! once the customer has been seen often enough. What is left of an answer is conditioned
//! on what has streamed: of a heavy-tailed length, the expected rest grows.

use crate::configs::EstimatesConfig;
use crate::index::{CustomerIx, KindIx};
use crate::modules::ewma::Ewma;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// The longest length that a sketch tells apart. Chosen because no model gives longer answers.
const MAX_LENGTH: u64 = 1 << 20;
/// Significant digits of a sketch: one keeps it at some 2 KB. Chosen because a sketch then has 1.9
/// KB (docs/CAPACITY.md), and an estimate needs no more.
const DIGITS: u8 = 1;

/// Lengths of two generations: the running one and the one before.
#[derive(Clone, Debug)]
struct LengthSketch {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
    mean: f64,
    count: u64,
}

fn new_histogram() -> Histogram<u32> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_LENGTH, DIGITS).expect("constant bounds are valid")
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

    /// Mean of the lengths above `delivered`, less `delivered`; none: none was that long.
    fn expected_rest(&self, delivered: u64) -> Option<f64> {
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

/// Lengths and speeds of a pool.
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

    /// Follows the kinds of the configuration.
    pub(crate) fn set_kinds(&mut self, expected_tokens: impl Iterator<Item = f64>) {
        for (at, expected) in expected_tokens.enumerate() {
            if at >= self.by_kind.len() {
                self.by_kind.push(LengthSketch::new(expected));
            }
        }
    }

    /// Answer tokens to expect of a new request.
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

    /// Answer tokens to expect after `delivered` of them.
    pub(crate) fn expected_rest(
        &self,
        kind: KindIx,
        customer: CustomerIx,
        delivered: u64,
        max_tokens: u64,
        config: &EstimatesConfig,
    ) -> f64 {
        let sketch = self.sketch(kind, customer, config);
        let rest = sketch.and_then(|sketch| sketch.expected_rest(delivered));
        // Longer than anything seen: as long again as it already is.
        let rest = rest.unwrap_or(delivered.max(1) as f64);
        rest.min(max_tokens.saturating_sub(delivered).max(1) as f64)
    }

    fn sketch(
        &self,
        kind: KindIx,
        customer: CustomerIx,
        config: &EstimatesConfig,
    ) -> Option<&LengthSketch> {
        let own = self.by_customer.get(&(kind, customer));
        own.filter(|sketch| sketch.count >= config.min_customer_answers)
            .or_else(|| self.by_kind.get(kind.at()))
    }

    /// Learns from a whole answer.
    pub(crate) fn learn_length(
        &mut self,
        kind: KindIx,
        customer: CustomerIx,
        tokens: u64,
        config: &EstimatesConfig,
    ) {
        let Some(shared) = self.by_kind.get_mut(kind.at()) else {
            return;
        };
        shared.add(tokens, config);
        let mean = shared.mean;
        let key = (kind, customer);
        let has_room = self.by_customer.len() < config.max_customer_sketches;
        if has_room || self.by_customer.contains_key(&key) {
            let own = self.by_customer.entry(key);
            own.or_insert_with(|| LengthSketch::new(mean))
                .add(tokens, config);
        }
    }

    /// Learns from the gap between tokens of a well engine.
    pub(crate) fn learn_between_tokens(&mut self, gap_ms: f64) {
        self.between_tokens_ms.add(gap_ms);
    }

    /// Learns from a first token: the time that `uncached` prompt tokens took.
    pub(crate) fn learn_prefill(&mut self, uncached: u64, took_ms: f64) {
        /// Not measured, chosen because shorter observations are mostly noise.
        const MIN_TOKENS: u64 = 256;
        if uncached >= MIN_TOKENS {
            self.prefill_ms_per_token.add(took_ms / uncached as f64);
        }
    }

    pub(crate) fn between_tokens_ms(&self) -> f64 {
        self.between_tokens_ms.value()
    }

    /// Time to process `uncached` prompt tokens.
    pub(crate) fn prefill_ms(&self, uncached: u64) -> f64 {
        self.prefill_ms_per_token.value() * uncached as f64
    }
}

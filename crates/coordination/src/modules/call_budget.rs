//! Limits how often one node calls the external service.
//!
//! Each kind of call has a token bucket. Pauses after failures are jittered: nodes that lost the
//! service at the same time must not all call it again at the same time.

use crate::configs::CallBudgetConfig;
use bridgevane_types::{DurationMs, TimeMs};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The kinds of call with separate rate limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read, or a watch.
    Read,
    /// A write: compare-and-swap, or a lease granted or renewed.
    Write,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    available_calls: f64,
    rate_per_s: f64,
    last_refill_at: TimeMs,
}

impl Bucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            available_calls: burst,
            rate_per_s,
            last_refill_at: TimeMs(0),
        }
    }

    /// Takes one token, or returns how long to wait for it.
    fn try_acquire(&mut self, now: TimeMs, burst: f64) -> Result<(), DurationMs> {
        let elapsed_s = now.since(self.last_refill_at).0 as f64 / 1000.0;
        self.last_refill_at = self.last_refill_at.max(now);
        self.available_calls = (self.available_calls + elapsed_s * self.rate_per_s).min(burst);
        if self.available_calls >= 1.0 {
            self.available_calls -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.available_calls) / self.rate_per_s.max(1e-6);
        Err(DurationMs((wait_s * 1000.0).ceil() as u64))
    }
}

/// The call budget of one node.
#[derive(Clone, Debug)]
pub struct CallBudget {
    config: CallBudgetConfig,
    reads: Bucket,
    writes: Bucket,
    /// The number of failures since the last success.
    failures: u32,
    paused_until: TimeMs,
    rng: Pcg64Mcg,
}

impl CallBudget {
    /// Creates a budget with full buckets; `seed` should differ from node to node.
    pub fn new(config: CallBudgetConfig, seed: u64) -> Self {
        Self {
            reads: Bucket::new(config.reads.0, config.burst),
            writes: Bucket::new(config.writes.0, config.burst),
            failures: 0,
            paused_until: TimeMs(0),
            rng: Pcg64Mcg::new((u128::from(seed) << 64) | 0x5eed),
            config,
        }
    }

    /// Takes one call of `kind` from the budget.
    ///
    /// # Errors
    /// How long to wait before trying again.
    pub fn try_acquire(&mut self, now: TimeMs, kind: CallKind) -> Result<(), DurationMs> {
        if now < self.paused_until {
            return Err(self.paused_until.since(now));
        }
        let burst = self.config.burst;
        match kind {
            CallKind::Read => self.reads.try_acquire(now, burst),
            CallKind::Write => self.writes.try_acquire(now, burst),
        }
    }

    /// Records that a call was answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed, or was refused with `retry_after_ms`. The pause that follows is
    /// drawn uniformly from 0 to a doubling limit, so that the retries of many nodes spread evenly.
    pub fn record_failure(&mut self, now: TimeMs, retry_after_ms: DurationMs) {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let span_ms = self.config.first_pause_ms.0.saturating_mul(1 << doublings);
        let span_ms = span_ms.min(self.config.max_pause_ms.0).max(1);
        let pause_ms = retry_after_ms.0 + self.rng.random_range(0..=span_ms);
        self.paused_until = now + DurationMs(pause_ms);
    }

    /// Returns whether the latest call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

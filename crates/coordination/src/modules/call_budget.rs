//! How often one node may call the outside service.
//!
//! A token bucket for each kind of call, and jittered pauses after failures: nodes that lost
//! the service together must not come back together.

use crate::configs::CallBudgetConfig;
use bridgevane_types::{DurationMs, TimeMs};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The kinds of call that the service counts apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read, or a watch.
    Read,
    /// A write: compare-and-swap, or a lease granted or renewed.
    Write,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    calls: f64,
    rate_per_s: f64,
    filled_at: TimeMs,
}

impl Bucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            calls: burst,
            rate_per_s,
            filled_at: TimeMs(0),
        }
    }

    /// Takes a call, or tells how long to wait for it.
    fn take(&mut self, now: TimeMs, burst: f64) -> Result<(), DurationMs> {
        let elapsed_s = now.since(self.filled_at).0 as f64 / 1000.0;
        self.filled_at = self.filled_at.max(now);
        self.calls = (self.calls + elapsed_s * self.rate_per_s).min(burst);
        if self.calls >= 1.0 {
            self.calls -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.calls) / self.rate_per_s.max(1e-6);
        Err(DurationMs((wait_s * 1000.0).ceil() as u64))
    }
}

/// The budget of one node.
#[derive(Clone, Debug)]
pub struct CallBudget {
    config: CallBudgetConfig,
    reads: Bucket,
    writes: Bucket,
    failures: u32,
    paused_until: TimeMs,
    rng: Pcg64Mcg,
}

impl CallBudget {
    /// A full budget; `seed` should differ from node to node.
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

    /// Takes a call.
    ///
    /// # Errors
    /// How long to wait before asking again.
    pub fn take(&mut self, now: TimeMs, kind: CallKind) -> Result<(), DurationMs> {
        if now < self.paused_until {
            return Err(self.paused_until.since(now));
        }
        let burst = self.config.burst;
        match kind {
            CallKind::Read => self.reads.take(now, burst),
            CallKind::Write => self.writes.take(now, burst),
        }
    }

    /// Notes that a call was answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes that a call failed, or was refused with a time to come back. The pause is drawn
    /// from the whole of a growing span, so that many nodes spread evenly over it.
    pub fn failed(&mut self, now: TimeMs, retry_after_ms: DurationMs) {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let span_ms = self.config.first_pause_ms.0.saturating_mul(1 << doublings);
        let span_ms = span_ms.min(self.config.max_pause_ms.0).max(1);
        let pause_ms = retry_after_ms.0 + self.rng.random_range(0..=span_ms);
        self.paused_until = now + DurationMs(pause_ms);
    }

    /// Whether the latest call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

//! The concurrency limit of one engine, which adapts to its time between tokens.
//!
//! The limit increases additively while the engine is full and fast enough, and decreases
//! multiplicatively while it is slower than the target. It never falls below one slot, so that a
//! recovery of the engine shows in its requests.

use crate::configs::ConcurrencyConfig;
use bridgevane_types::TimeMs;

/// A concurrency limit that adapts to latency.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    adjusted_at: TimeMs,
    was_full: bool,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            max: f64::from(slots),
            adjusted_at: TimeMs(0),
            was_full: false,
        }
    }

    /// Returns the number of slots that may be used now.
    pub(crate) fn slots(&self) -> u32 {
        self.limit as u32
    }

    /// Applies a changed number of slots.
    pub(crate) fn set_max(&mut self, slots: u32) {
        let was_at_max = self.limit >= self.max;
        self.max = f64::from(slots);
        self.limit = if was_at_max {
            self.max
        } else {
            self.limit.min(self.max)
        };
    }

    /// Records whether every slot is in use: only then does the limit grow.
    pub(crate) fn note_use(&mut self, in_flight: u32) {
        self.was_full |= in_flight >= self.slots();
    }

    /// Adjusts the limit to the engine's mean time between tokens.
    pub(crate) fn adjust(
        &mut self,
        now: TimeMs,
        config: &ConcurrencyConfig,
        between_tokens_ms: f64,
        target_ms: Option<f64>,
    ) {
        if now.since(self.adjusted_at).0 < config.adjust_every_ms {
            return;
        }
        self.adjusted_at = now;
        let is_slow = target_ms.is_some_and(|target| between_tokens_ms > target);
        if is_slow {
            self.limit *= config.decrease_factor;
        } else if self.was_full {
            self.limit += config.increase_slots;
        }
        self.limit = self
            .limit
            .clamp(config.min_limit, self.max.max(config.min_limit));
        self.was_full = false;
    }
}

//! How long requests wait at an endpoint, as this daemon's own requests show it.

use bridgevane_types::TimeMs;

/// The weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.5;
/// After so long without a sample the mean has lost half of its worth.
const HALF_LIFE_MS: f64 = 1_000.0;

/// A request whose first token has not come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pending {
    /// When it was sent.
    pub sent: TimeMs,
    /// How long reading its prompt takes an endpoint that has nothing else to do.
    pub reading_ms: f64,
}

/// The delay at one endpoint.
#[derive(Debug, Default)]
pub struct QueueDelay {
    mean_ms: f64,
    sampled_at: TimeMs,
    pending: Vec<Pending>,
}

impl QueueDelay {
    /// A request was sent.
    pub fn sent(&mut self, pending: Pending) {
        self.pending.push(pending);
    }

    /// Its first token came.
    pub fn answered(&mut self, now: TimeMs, pending: Pending) {
        self.forget(pending);
        let sample = waited_ms(now, pending);
        let mean = self.mean(now);
        self.mean_ms = mean + SAMPLE_WEIGHT * (sample - mean);
        self.sampled_at = now;
    }

    /// It ended without a token.
    pub fn forget(&mut self, pending: Pending) {
        if let Some(at) = self.pending.iter().position(|other| *other == pending) {
            self.pending.swap_remove(at);
        }
    }

    /// How long a request that is sent now would wait: what the last ones waited, and at least
    /// as long as one that still waits.
    pub fn expected_ms(&self, now: TimeMs) -> f64 {
        let waiting = self.pending.iter().map(|pending| waited_ms(now, *pending));
        waiting.fold(self.mean(now), f64::max)
    }

    /// The request that has waited the longest beyond the reading of its prompt.
    pub fn longest_waiting(&self, now: TimeMs) -> Option<Pending> {
        let waiting = self.pending.iter().copied();
        waiting.max_by(|a, b| waited_ms(now, *a).total_cmp(&waited_ms(now, *b)))
    }

    fn mean(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.sampled_at).0 as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}

/// How long a request has waited beyond the reading of its prompt.
pub fn waited_ms(now: TimeMs, pending: Pending) -> f64 {
    let held_ms = now.since(pending.sent).0 as f64;
    (held_ms - pending.reading_ms).max(0.0)
}

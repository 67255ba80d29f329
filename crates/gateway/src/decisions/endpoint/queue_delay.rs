//! Queue delay: how long a request would wait at an endpoint before its prompt is read.
//!
//! Inputs: this daemon's own requests there, each with the time it was sent, the number of tokens
//! that the endpoint had to read for it, and the time of its first token.
//!
//! Rule: a moving average of the observed waits, which decays without new ones, and at least the
//! wait so far of any request that is still pending. The time to read a request's own prompt
//! doesn't count.
//!
//! Reason: engines report no queue, and the requests of other daemons show in the waits of this
//! daemon's own.
//!
//! Tests: `decisions.rs::queue_delay_counts_answered_and_pending_requests`.

use bridgevane_types::TimeMs;

/// The weight of a new wait in the average: half of it would follow a burst more slowly.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// The half-life of the average without new waits, in milliseconds: about a target for the first
/// token, since a queue seen longer ago says little about the present one.
const MEAN_HALF_LIFE_MS: f64 = 1_000.0;

/// A request that was sent and has not produced a token yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// When it was sent.
    pub sent_at: TimeMs,
    /// The time that this endpoint takes to read its prompt when it is idle, in milliseconds.
    pub prefill_ms: f64,
}

impl PendingRequest {
    /// Returns how long it has waited beyond the time to read its prompt, in milliseconds.
    pub(crate) fn waited_ms(&self, now: TimeMs) -> f64 {
        let elapsed_ms = now.since(self.sent_at).0 as f64;
        (elapsed_ms - self.prefill_ms).max(0.0)
    }
}

/// The queue delay at one endpoint.
#[derive(Debug, Default)]
pub struct QueueDelay {
    mean_ms: f64,
    sampled_at: TimeMs,
    pending: Vec<PendingRequest>,
}

impl QueueDelay {
    /// Records that a request was sent.
    pub fn on_sent(&mut self, request: PendingRequest) {
        self.pending.push(request);
    }

    /// Records that a request produced its first token.
    pub fn on_first_token(&mut self, now: TimeMs, request: PendingRequest) {
        self.on_ended(request);
        let mean_ms = self.mean_ms(now);
        self.mean_ms = mean_ms + NEW_SAMPLE_WEIGHT * (request.waited_ms(now) - mean_ms);
        self.sampled_at = now;
    }

    /// Records that a request ended without a token.
    pub fn on_ended(&mut self, request: PendingRequest) {
        if let Some(at) = self.pending.iter().position(|other| *other == request) {
            self.pending.swap_remove(at);
        }
    }

    /// Returns how long a request that is sent now would wait, in milliseconds.
    pub fn expected_ms(&self, now: TimeMs) -> f64 {
        let waits = self.pending.iter().map(|pending| pending.waited_ms(now));
        waits.fold(self.mean_ms(now), f64::max)
    }

    /// Returns the request that has waited the longest beyond the time to read its prompt.
    pub(crate) fn longest_waiting(&self, now: TimeMs) -> Option<PendingRequest> {
        let pending = self.pending.iter().copied();
        pending.max_by(|a, b| a.waited_ms(now).total_cmp(&b.waited_ms(now)))
    }

    fn mean_ms(&self, now: TimeMs) -> f64 {
        // Most endpoints showed no queue, and every request calls this for every endpoint.
        if self.mean_ms == 0.0 {
            return 0.0;
        }
        let age_ms = now.since(self.sampled_at).0 as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / MEAN_HALF_LIFE_MS)
    }
}

//! Queue delay: how long a request would wait at an endpoint before its prompt is read.
//!
//! Inputs: this daemon's own requests there, each with the moment it was sent, the tokens that the
//! endpoint had to read for it, and the moment of its first token.
//!
//! Rule: a mean of the waits seen lately, which fades without new ones; at least as long as a
//! request that still waits has waited. The reading of a request's own prompt doesn't count.
//!
//! Reason: engines report no queue, and other daemons' requests show in the waits of one's own.
//!
//! Measured: commit a131a28, together with prompt affinity and shedding (ravaton 0.683 to 0.778).
//!
//! Tests: `decisions.rs::waiting_is_seen_by_those_that_were_answered_and_those_that_still_wait`.

use bridgevane_types::TimeMs;

/// Prompt tokens that an engine reads in a millisecond. The users' engines read 42.6 to 56.9 (their
/// site pages); one figure for all, not learned (docs/design/13, "Not there").
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// The weight of a new wait in the mean. Not measured; half would follow a burst more slowly.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// The time in which the mean halves without new waits, in milliseconds. Not measured; chosen
/// because it is about a target for the first token: a queue seen longer ago says little of the one
/// now.
const MEAN_HALF_LIFE_MS: f64 = 1_000.0;

/// How long an engine reads so many prompt tokens, in milliseconds.
pub(crate) fn prefill_ms(tokens: f64) -> f64 {
    tokens / PREFILL_TOKENS_PER_MS
}

/// A request that was sent and has given no token yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// When it was sent.
    pub sent_at: TimeMs,
    /// How long an idle endpoint takes to read its prompt, in milliseconds.
    pub prefill_ms: f64,
}

impl PendingRequest {
    /// How long it has waited beyond the reading of its prompt, in milliseconds.
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
    /// A request was sent.
    pub fn on_sent(&mut self, request: PendingRequest) {
        self.pending.push(request);
    }

    /// A request gave its first token.
    pub fn on_first_token(&mut self, now: TimeMs, request: PendingRequest) {
        self.on_ended(request);
        let mean_ms = self.mean_ms(now);
        self.mean_ms = mean_ms + NEW_SAMPLE_WEIGHT * (request.waited_ms(now) - mean_ms);
        self.sampled_at = now;
    }

    /// A request ended without a token.
    pub fn on_ended(&mut self, request: PendingRequest) {
        if let Some(at) = self.pending.iter().position(|other| *other == request) {
            self.pending.swap_remove(at);
        }
    }

    /// How long a request that is sent now would wait, in milliseconds.
    pub fn expected_ms(&self, now: TimeMs) -> f64 {
        let waits = self.pending.iter().map(|pending| pending.waited_ms(now));
        waits.fold(self.mean_ms(now), f64::max)
    }

    /// The request that has waited the longest beyond the reading of its prompt.
    pub(crate) fn longest_waiting(&self, now: TimeMs) -> Option<PendingRequest> {
        let pending = self.pending.iter().copied();
        pending.max_by(|a, b| a.waited_ms(now).total_cmp(&b.waited_ms(now)))
    }

    fn mean_ms(&self, now: TimeMs) -> f64 {
        // Most endpoints showed no queue, and each request asks it of each.
        if self.mean_ms == 0.0 {
            return 0.0;
        }
        let age_ms = now.since(self.sampled_at).0 as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / MEAN_HALF_LIFE_MS)
    }
}

//! The state of a request in a pool.

use crate::event::Offer;
use crate::index::EndpointIx;
use crate::modules::request_lifecycle::{LifecycleEvent, RequestLifecycle};
use bridgevane_types::TimeMs;

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) engine: EndpointIx,
    /// The time of the dispatch.
    pub(super) started_at: TimeMs,
    /// The number of prompt and delivered tokens that the engine had to process first.
    pub(super) uncached_tokens: u64,
    /// The number of tokens that the engine had to process at the dispatch, this attempt included.
    pub(super) engine_tokens: u64,
    /// Whether it runs because its class's longest wait was reached.
    pub(super) is_aged: bool,
    /// The cost under which it is listed for preemption; `None` if it isn't listed.
    pub(super) victim_cost: Option<u64>,
    /// The time of the last reported token, or of the dispatch.
    pub(super) last_progress_at: TimeMs,
    /// The slot-milliseconds charged for it at the dispatch.
    pub(super) charged_ms: f64,
}

/// A request in a pool.
pub(super) struct RequestEntry {
    pub(super) offer: Offer,
    pub(super) lifecycle: RequestLifecycle,
    pub(super) arrived_at: TimeMs,
    /// The start of its wait. Once tokens are delivered, the time for which it ran doesn't count.
    pub(super) waiting_since: TimeMs,
    /// The time for which it had waited at its last dispatch (ms).
    pub(super) waited_ms: u64,
    /// The time at which the first token is due.
    pub(super) deadline: TimeMs,
    /// The number of tokens that the caller has.
    pub(super) delivered: u64,
    /// The expected length of the answer, as estimated when the request arrived.
    pub(super) expected_tokens: f64,
    pub(super) running: Option<RunningAttempt>,
    /// The engine on which it failed last: another one is preferred.
    pub(super) avoided_engine: Option<EndpointIx>,
    /// Whether any attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) preemptions: u32,
}

impl RequestEntry {
    pub(super) fn new(offer: Offer, now: TimeMs, deadline: TimeMs, expected_tokens: f64) -> Self {
        Self {
            offer,
            lifecycle: RequestLifecycle::new(),
            arrived_at: now,
            waiting_since: now,
            waited_ms: 0,
            deadline,
            delivered: 0,
            expected_tokens,
            running: None,
            avoided_engine: None,
            may_have_run: false,
            preemptions: 0,
        }
    }

    /// Marks the request as waiting again.
    pub(super) fn return_to_queue(&mut self, now: TimeMs) {
        self.lifecycle.handle(LifecycleEvent::Requeue);
        // All its waiting time counts, and so does the time of attempts without a token.
        // Otherwise a request that is preempted again and again never reaches the longest wait.
        self.waiting_since = match self.delivered {
            0 => self.arrived_at,
            _ => TimeMs(now.0.saturating_sub(self.waited_ms)),
        };
        self.running = None;
    }

    /// Returns the cost of resuming the request, in tokens: its prompt, the delivered tokens, and a
    /// surcharge per preemption.
    pub(super) fn resume_cost(&self) -> u64 {
        // Each preemption raises the cost of the next one, so that no request is preempted forever.
        const COST_PER_PREEMPTION: u64 = 4_096;
        /// Delivered tokens count in steps of this size: estimates of the remaining tokens are no
        /// finer.
        const DELIVERED_STEP: u64 = 64;
        let tokens = self.offer.prompt_tokens.0 + self.delivered / DELIVERED_STEP * DELIVERED_STEP;
        tokens + u64::from(self.preemptions) * COST_PER_PREEMPTION
    }
}

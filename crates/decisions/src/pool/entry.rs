//! A request inside a pool.

use crate::event::Offer;
use crate::index::EndpointIx;
use crate::modules::request_life::{LifecycleEvent, RequestLifecycle};
use bridgevane_types::TimeMs;

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) engine: EndpointIx,
    pub(super) since: TimeMs,
    /// Prompt and delivered tokens that the engine had to process first.
    pub(super) uncached_tokens: u64,
    /// What its engine had to process when it came, this attempt included.
    pub(super) engine_tokens: u64,
    /// Runs because its class's longest wait was reached.
    pub(super) is_aged: bool,
    /// The cost under which it stands among the preemptible; none: it isn't there.
    pub(super) victim_cost: Option<u64>,
    pub(super) heard_at: TimeMs,
    /// Slot-milliseconds that were charged for it.
    pub(super) charged_ms: f64,
}

/// A request.
pub(super) struct Entry {
    pub(super) offer: Offer,
    pub(super) life: RequestLifecycle,
    pub(super) arrived_at: TimeMs,
    /// When it began to wait, with the time that it ran taken out.
    pub(super) waits_since: TimeMs,
    /// Time that it had waited when it was last sent.
    pub(super) waited_ms: u64,
    pub(super) deadline: TimeMs,
    pub(super) delivered: u64,
    pub(super) expected_tokens: f64,
    pub(super) running: Option<Running>,
    /// The engine that failed it last: another one is preferred.
    pub(super) avoid: Option<EndpointIx>,
    /// Some attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) preemptions: u32,
}

impl Entry {
    pub(super) fn new(offer: Offer, now: TimeMs, deadline: TimeMs, expected_tokens: f64) -> Self {
        Self {
            offer,
            life: RequestLifecycle::new(),
            arrived_at: now,
            waits_since: now,
            waited_ms: 0,
            deadline,
            delivered: 0,
            expected_tokens,
            running: None,
            avoid: None,
            may_have_run: false,
            preemptions: 0,
        }
    }

    /// Puts the request back to waiting.
    pub(super) fn return_to_queue(&mut self, now: TimeMs) {
        self.life.handle(LifecycleEvent::Return);
        // All its waiting counts, and what gave no token was waiting too: else a request that
        // is preempted again and again never ages.
        self.waits_since = match self.delivered {
            0 => self.arrived_at,
            _ => TimeMs(now.0.saturating_sub(self.waited_ms)),
        };
        self.running = None;
    }

    /// Tokens that a resumption would have to process: prompt and what was delivered.
    pub(super) fn resume_cost(&self) -> u64 {
        // Each preemption makes the next one dearer, so that no request is cut for ever.
        const COST_PER_PREEMPTION: u64 = 4_096;
        /// Not measured, chosen because estimates of remaining tokens are no finer.
        const DELIVERED_STEP: u64 = 64;
        let tokens = self.offer.prompt_tokens.0 + self.delivered / DELIVERED_STEP * DELIVERED_STEP;
        tokens + u64::from(self.preemptions) * COST_PER_PREEMPTION
    }
}

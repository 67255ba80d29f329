//! Counts a request at its endpoint from sending until it ends.
//!
//! Relies on being dropped when the request ends, successfully or not.

use crate::clock::Clock;
use crate::decisions::endpoint::queue_delay::{PendingRequest, prefill_ms};
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::selection::Selected;
use std::sync::Arc;

/// A guard that counts a request at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    clock: Clock,
    endpoint: Arc<Endpoint>,
    /// The prompt tokens whose prefill the endpoint hasn't finished.
    prefill_tokens: u64,
    /// Set until the first token arrives.
    pending: Option<PendingRequest>,
}

impl InFlight {
    /// Starts to count a request that is sent now.
    pub(crate) fn begin(clock: Clock, selected: &Selected) -> Self {
        let endpoint = &selected.endpoint;
        let prefill_tokens = selected.estimate.prefill_tokens;
        endpoint.load.on_sent(prefill_tokens);
        let pending = PendingRequest {
            sent_at: clock.now(),
            prefill_ms: prefill_ms(prefill_tokens as f64),
        };
        endpoint.load.queue_delay().on_sent(pending);
        Self {
            clock,
            endpoint: endpoint.clone(),
            prefill_tokens,
            pending: Some(pending),
        }
    }

    /// Records that the first token has arrived, so that the prompt's prefill is done.
    pub(crate) fn on_first_token(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.endpoint.load.on_prefill_done(tokens);
        if let Some(pending) = self.pending.take() {
            let now = self.clock.now();
            let mut queue_delay = self.endpoint.load.queue_delay();
            queue_delay.on_first_token(now, pending);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.load.on_prefill_done(self.prefill_tokens);
        if let Some(pending) = self.pending {
            self.endpoint.load.queue_delay().on_ended(pending);
        }
        self.endpoint.load.on_ended();
    }
}

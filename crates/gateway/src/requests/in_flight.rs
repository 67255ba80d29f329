//! Counts a request at its endpoint from sending until it ends.
//!
//! Relies on being dropped when the request ends, successfully or not.

use crate::clock::Clock;
use crate::decisions::endpoint::queue_delay::PendingRequest;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::selection::Selected;
use bridgevane_types::DurationMs;
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
    needs_quiet: bool,
}

impl InFlight {
    /// Starts to count a request that is sent now.
    pub(crate) fn begin(clock: Clock, selected: &Selected) -> Self {
        let endpoint = &selected.endpoint;
        let prefill_tokens = selected.estimate.prefill_tokens;
        endpoint.load.on_sent(prefill_tokens);
        let pending = PendingRequest {
            sent_at: clock.now(),
            prefill_ms: selected.estimate.prefill_ms,
        };
        endpoint.load.queue_delay().on_sent(pending);
        if selected.needs_quiet {
            endpoint.load.on_quiet_stream_sent();
        }
        Self {
            clock,
            endpoint: endpoint.clone(),
            prefill_tokens,
            pending: Some(pending),
            needs_quiet: selected.needs_quiet,
        }
    }

    /// Records that the first token has arrived, so that the prompt's prefill is done. Returns the time
    /// since the request was sent; `None` if there was a token before.
    pub(crate) fn on_first_token(&mut self) -> Option<DurationMs> {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.endpoint.load.on_prefill_done(tokens);
        let pending = self.pending.take()?;
        let now = self.clock.now();
        let mut queue_delay = self.endpoint.load.queue_delay();
        queue_delay.on_first_token(now, pending);
        Some(now.since(pending.sent_at))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.load.on_prefill_done(self.prefill_tokens);
        if let Some(pending) = self.pending {
            self.endpoint.load.queue_delay().on_ended(pending);
        }
        if self.needs_quiet {
            self.endpoint.load.on_quiet_stream_ended();
        }
        self.endpoint.load.on_ended();
    }
}

//! Ends the wait for an endpoint that is silent because this daemon is cut off from its service. The
//! rule is [`crate::decisions::endpoint::reachability`].

use super::Exchange;
use crate::decisions::endpoint::reachability::{Reach, silence_limit};
use crate::decisions::resend::Failure;
use crate::endpoints::selection::Selected;
use crate::forwarding::reach_probe;
use bridgevane_types::{DurationMs, TimeMs};
use std::future::pending;
use tokio::time::{sleep, timeout};

impl Exchange {
    /// Returns when the service has been found out of reach while the request waits for its endpoint,
    /// and the request may be sent again, which takes a retry from the budget; otherwise never. Checks
    /// the reach after a silence of the service.
    pub(super) async fn cut_off_while_waiting(&self, selected: &Selected, sent_at: TimeMs) {
        let limit = silence_limit(selected.estimate.queue_ms + selected.estimate.prefill_ms);
        loop {
            self.wait_for_silence(limit).await;
            let waited = self.gateway.clock.now().since(sent_at);
            let is_silent = waited >= limit && !selected.endpoint.load.was_active_after(sent_at);
            if is_silent && self.reach() == Reach::OutOfReach {
                break;
            }
            self.check_silence(selected, limit);
        }
        if self.may_resend(Failure::StillWaiting).is_err() {
            pending::<()>().await;
        }
    }

    /// Waits for the limit, or until a service is found out of reach.
    async fn wait_for_silence(&self, limit: DurationMs) {
        let found = self.gateway.reachability.found_out_of_reach();
        if self.reach() != Reach::OutOfReach {
            // A time-out means that no service was found out of reach.
            let _ = timeout(limit.as_std(), found).await;
        } else {
            sleep(limit.as_std()).await;
        }
    }

    /// Starts to check the reach of the service if nothing was heard of it for the limit.
    fn check_silence(&self, selected: &Selected, limit: DurationMs) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let service = &self.inbound.service;
        if gateway.reachability.is_check_due(now, service, limit) {
            reach_probe::check(gateway, service, &selected.endpoint);
        }
    }

    fn reach(&self) -> Reach {
        self.gateway.reachability.reach(&self.inbound.service)
    }
}

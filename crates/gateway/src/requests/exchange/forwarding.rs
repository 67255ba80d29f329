//! Sends a request through another daemon while this one reaches no endpoint of its service. The rule
//! is [`crate::decisions::forwarding`].

use super::{Exchange, FORWARDED_ATTEMPTS};
use crate::decisions::admission::refusal::{Refusal, RefusalReason};
use crate::decisions::forwarding::{self, MAX_DAEMONS, Way};
use crate::decisions::resend::{AttemptError, Failure};
use crate::forwarding::attempt::{ForwardedAnswer, ForwardingAttempt, ForwardingError};
use crate::forwarding::daemons::ChosenDaemon;
use bridgevane_events::{Event, event};
use http::HeaderValue;

impl Exchange {
    /// Forwards the request if that is due; returns `None` if it isn't, or if no daemon accepts it.
    ///
    /// # Errors
    /// The refusal if the request came from a daemon, which has to ask another one, or if the daemon
    /// that it was forwarded to refused it.
    pub(super) async fn forward_if_due(
        &mut self,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Option<ForwardedAnswer>, Refusal> {
        let reach = self.gateway.reachability.reach(&self.inbound.service);
        match forwarding::next_way(self.inbound.origin, reach, self.tried.len()) {
            Way::Direct => Ok(None),
            Way::Forwarded => self.forward(last_event_id).await,
            Way::Declined => {
                // Runs at the other daemon don't matter: it decides on its own what they mean.
                let own_runs = self.runs - self.inbound.origin.earlier_runs();
                let reason = RefusalReason::EndpointsUnreachable;
                Err(reason.or_unknown_if_run(own_runs).into())
            }
        }
    }

    async fn forward(
        &mut self,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Option<ForwardedAnswer>, Refusal> {
        while self.daemons_asked.len() < MAX_DAEMONS {
            self.check_may_send()?;
            let Some(daemon) = self.choose_daemon() else {
                return Ok(None);
            };
            self.daemons_asked.push(daemon.address);
            let attempt = ForwardingAttempt {
                gateway: &self.gateway,
                inbound: &self.inbound,
                daemon: &daemon,
                runs: self.runs,
                attempts: self.attempts,
                version: self.begun_at(),
                last_event_id,
            };
            let result = attempt.run().await;
            self.attempts += FORWARDED_ATTEMPTS;
            self.log_forwarded(&daemon, &result);
            match result {
                Ok(answer) => {
                    self.on_forwarded(&daemon);
                    return Ok(Some(answer));
                }
                Err(ForwardingError::Declined) => self.on_declined(&daemon),
                Err(ForwardingError::Refused(refusal)) => return Err(refusal),
                Err(ForwardingError::Failed(error)) => self.after_failed_forwarding(error)?,
            }
        }
        Ok(None)
    }

    fn choose_daemon(&self) -> Option<ChosenDaemon> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let service = &self.inbound.service;
        gateway.daemons.choose(now, service, &self.daemons_asked)
    }

    fn on_forwarded(&mut self, daemon: &ChosenDaemon) {
        self.runs += 1;
        self.was_forwarded = true;
        // The daemon that sent it to the endpoint has counted it.
        self.is_usage_counted = true;
        let now = self.gateway.clock.now();
        let daemons = &self.gateway.daemons;
        daemons.on_served(now, daemon.address, &self.inbound.service);
    }

    fn on_declined(&self, daemon: &ChosenDaemon) {
        let now = self.gateway.clock.now();
        let daemons = &self.gateway.daemons;
        daemons.on_declined(now, daemon.address, &self.inbound.service);
    }

    /// Returns `Ok` if the request is sent again after another daemon failed to answer it.
    fn after_failed_forwarding(&mut self, error: AttemptError) -> Result<(), Refusal> {
        self.runs += 1;
        let resend = self.may_resend(Failure::Attempt(error));
        resend.map_err(|_| Refusal::after_failure(error, self.runs, None))
    }

    fn log_forwarded(
        &self,
        daemon: &ChosenDaemon,
        result: &Result<ForwardedAnswer, ForwardingError>,
    ) {
        let text = match result {
            Ok(_) => "answered",
            Err(ForwardingError::Declined) => "declined",
            Err(ForwardingError::Refused(_)) => "refused",
            Err(ForwardingError::Failed(_)) => "failed",
        };
        let gateway = &self.gateway;
        gateway.metrics.forwarded(&self.inbound.service, text);
        event!(
            Event::RequestForwarded,
            request = self.inbound.id_text(),
            daemon = daemon.address,
            service = self.inbound.service,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            result = text,
            runs = self.runs,
            left_ms = self.inbound.remaining().as_millis()
        );
    }
}

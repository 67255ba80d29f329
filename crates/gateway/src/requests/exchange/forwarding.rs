//! Sends a request through another daemon while this one reaches no endpoint of its service. The rule
//! is [`crate::decisions::forwarding`].

use super::{Exchange, FORWARDED_ATTEMPTS};
use crate::decisions::admission::refusal::{Refusal, RefusalReason};
use crate::decisions::endpoint::idle_connections::may_reuse;
use crate::decisions::forwarding::{self, ASK_INTERVAL, MAX_ASKED, MAX_SENT, Way};
use crate::decisions::resend::{AttemptError, Failure};
use crate::endpoints::connection::Connection;
use crate::forwarding::attempt::{ForwardedAnswer, ForwardingAttempt, ForwardingError};
use crate::forwarding::connection::{self, OpenedConnection};
use crate::forwarding::daemons::ChosenDaemon;
use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::{DataCentreId, ServiceName};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::HeaderValue;
use std::sync::Arc;
use tokio::time::timeout;

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
        for _ in 0..MAX_SENT {
            self.check_may_send()?;
            let Some((daemon, connection)) = self.connect_to_daemon().await else {
                return Ok(None);
            };
            let attempt = ForwardingAttempt {
                gateway: &self.gateway,
                inbound: &self.inbound,
                daemon: &daemon,
                runs: self.runs,
                attempts: self.attempts,
                version: self.begun_at(),
                last_event_id,
            };
            let result = attempt.run(connection).await;
            self.attempts += FORWARDED_ATTEMPTS;
            self.log_forwarded(&daemon, result_text(&result));
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

    /// Returns a daemon that accepts the request and a connection to it; `None` if none does. One
    /// after the other is asked, without waiting long for any.
    async fn connect_to_daemon(&mut self) -> Option<(ChosenDaemon, Connection)> {
        let mut handshakes = FuturesUnordered::new();
        loop {
            let next = self.next_to_ask();
            let is_last = next.is_none();
            if let Some(daemon) = next {
                if let Some(connection) = self.idle_connection(&daemon) {
                    self.finish_handshakes(handshakes);
                    return Some((daemon, connection));
                }
                let service = self.inbound.service.clone();
                handshakes.push(shake_hands(self.gateway.clone(), daemon, service));
            }
            let remaining = self.inbound.remaining();
            let wait = if is_last {
                remaining
            } else {
                remaining.min(ASK_INTERVAL)
            };
            match timeout(wait, handshakes.next()).await {
                Ok(Some((daemon, Some(opened)))) if self.may_send(Some(&opened.data_centre)) => {
                    self.finish_handshakes(handshakes);
                    return Some((daemon, opened.connection));
                }
                Ok(Some((daemon, Some(opened)))) => {
                    self.log_forwarded(&daemon, "region_not_allowed");
                    self.keep_for_others(daemon, opened.connection);
                }
                Ok(Some((daemon, None))) => {
                    self.log_forwarded(&daemon, "declined");
                    self.on_declined(&daemon);
                }
                Ok(None) if is_last => return None,
                Err(_) if self.inbound.remaining().is_zero() => {
                    self.finish_handshakes(handshakes);
                    return None;
                }
                Ok(None) | Err(_) => {}
            }
        }
    }

    /// Returns the next daemon to ask; `None` if enough were asked, or no other is known.
    fn next_to_ask(&mut self) -> Option<ChosenDaemon> {
        if self.daemons_asked.len() >= MAX_ASKED {
            return None;
        }
        let daemon = self.choose_daemon()?;
        self.daemons_asked.push(daemon.address);
        Some(daemon)
    }

    /// Returns whether the request's region limits allow that it is sent to a daemon in a data centre.
    fn may_send(&self, data_centre: Option<&DataCentreId>) -> bool {
        forwarding::may_send(&self.region_limits(), data_centre)
    }

    /// Keeps the connection to a daemon that the request must not be sent to, for other requests.
    fn keep_for_others(&self, daemon: ChosenDaemon, connection: Connection) {
        let now = self.gateway.clock.now();
        let daemons = &self.gateway.daemons;
        daemons.on_handshake(now, daemon, &self.inbound.service, Some(connection));
    }

    /// Returns an idle connection to a daemon, if one may be reused for the request.
    fn idle_connection(&self, daemon: &ChosenDaemon) -> Option<Connection> {
        if !self.may_send(daemon.data_centre.as_ref()) {
            return None;
        }
        let now = self.gateway.clock.now();
        let connections = &daemon.connections;
        // A daemon may be frozen: the handshake on a new connection shows it before a byte is sent.
        may_reuse(false, now, connections.last_activity_at())
            .then(|| connections.take_idle(now))
            .flatten()
    }

    /// Ends the handshakes that the request doesn't wait for.
    fn finish_handshakes<F>(&self, mut handshakes: FuturesUnordered<F>)
    where
        F: Future<Output = Handshake> + Send + 'static,
    {
        if handshakes.is_empty() {
            return;
        }
        let gateway = self.gateway.clone();
        let service = self.inbound.service.clone();
        tokio::spawn(async move {
            while let Some((daemon, opened)) = handshakes.next().await {
                let now = gateway.clock.now();
                let daemons = &gateway.daemons;
                let connection = opened.map(|opened| opened.connection);
                daemons.on_handshake(now, daemon, &service, connection);
            }
        });
    }

    fn choose_daemon(&self) -> Option<ChosenDaemon> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let service = &self.inbound.service;
        let limits = self.region_limits();
        gateway
            .daemons
            .choose(now, service, &self.daemons_asked, &limits)
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

    fn log_forwarded(&self, daemon: &ChosenDaemon, text: &'static str) {
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

/// A daemon that was asked, and the connection that it accepted.
type Handshake = (ChosenDaemon, Option<OpenedConnection>);

async fn shake_hands(
    gateway: Arc<Gateway>,
    daemon: ChosenDaemon,
    service: ServiceName,
) -> Handshake {
    let opened = connection::open(&gateway, daemon.address, &service).await;
    (daemon, opened)
}

/// Returns the result of an attempt for logs and metrics.
fn result_text(result: &Result<ForwardedAnswer, ForwardingError>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(ForwardingError::Declined) => "declined",
        Err(ForwardingError::Refused(_)) => "refused",
        Err(ForwardingError::Failed(_)) => "failed",
    }
}

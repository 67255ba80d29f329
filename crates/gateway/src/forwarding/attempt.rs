//! One attempt through another daemon: sends the client's request to it, and reads the head of its
//! answer.
//!
//! The other daemon handles the request as a client's, except that it doesn't forward it again.

use crate::counter::CountGuard;
use crate::decisions::admission::refusal::{Refusal, RefusalReason};
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::forwarding::may_send;
use crate::decisions::resend::AttemptError;
use crate::endpoints::connection::{Connection, SendError};
use crate::forwarding::daemons::{ChosenDaemon, DaemonConnections};
use crate::forwarding::{connection, headers};
use crate::gateway::Gateway;
use crate::requests::answer_validity;
use crate::requests::inbound::InboundRequest;
use crate::requests::response_head::retry_after;
use bridgevane_answer_limits::AnswerBody;
use bridgevane_client_limits::RequestBody;
use http::{HeaderValue, Request, Response, response};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::timeout_at;

/// How often a connection is opened again for one request.
const MAX_REOPENED: usize = 1;

/// Why another daemon gave no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingError {
    /// It could not be reached, or can't serve the request either. The request has not run.
    Declined,
    /// It refused the request, and another daemon would do the same.
    Refused(Refusal),
    /// Its answer broke off, is late, or belongs to another request. The request may have run.
    Failed(AttemptError),
}

/// An endpoint's answer that arrives through another daemon.
#[derive(Debug)]
pub(crate) struct ForwardedAnswer {
    /// The daemon.
    pub(crate) daemon: SocketAddr,
    /// Status and headers of the endpoint's answer.
    pub(crate) head: response::Parts,
    /// The body.
    pub(crate) body: AnswerBody,
    connection: Connection,
    connections: Arc<DaemonConnections>,
    _in_progress: CountGuard,
}

impl ForwardedAnswer {
    /// Keeps the connection for the next request, and returns the head. Called after the body was
    /// read to its end.
    pub(crate) fn keep_connection(self, gateway: &Gateway) -> response::Parts {
        let now = gateway.clock.now();
        self.connections.on_activity(now);
        // A daemon that stops has asked to close the connection, which then isn't open any more.
        self.connections.put_idle(now, self.connection);
        self.head
    }
}

/// The inputs of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardingAttempt<'a> {
    pub(crate) gateway: &'a Gateway,
    pub(crate) inbound: &'a InboundRequest,
    pub(crate) daemon: &'a ChosenDaemon,
    /// The attempts that ran or may have run.
    pub(crate) runs: u32,
    /// All attempts before this one.
    pub(crate) attempts: u32,
    /// The software version that began the stream, if it has begun.
    pub(crate) version: Option<VersionHash>,
    /// The event after which a stream is resumed.
    pub(crate) last_event_id: Option<&'a HeaderValue>,
}

impl ForwardingAttempt<'_> {
    /// Sends the request on a connection that the daemon has accepted, and reads the head of the answer.
    ///
    /// # Errors
    /// [`ForwardingError`] if there is no answer of an endpoint.
    pub(crate) async fn run(
        self,
        connection: Connection,
    ) -> Result<ForwardedAnswer, ForwardingError> {
        let connections = &self.daemon.connections;
        let in_progress = connections.begin_request();
        let (connection, response) = self.send(connection).await?;
        connections.on_activity(self.gateway.clock.now());
        let (mut head, body) = response.into_parts();
        answer_validity::check_status_and_framing(&head).map_err(ForwardingError::Failed)?;
        if let Some(reason) = headers::refusal_reason(&head.headers) {
            let retry_after = retry_after(&self.gateway.endpoint_headers(&head.headers));
            connections.put_idle(self.gateway.clock.now(), connection);
            return Err(refused(Refusal {
                reason,
                retry_after,
            }));
        }
        headers::remove(&mut head.headers);
        let names = &self.gateway.header_names;
        if head.headers.get(&names.request_id) != Some(&self.inbound.id) {
            return Err(ForwardingError::Failed(AttemptError::Crossed));
        }
        answer_validity::check_signature(names, &head).map_err(ForwardingError::Failed)?;
        Ok(ForwardedAnswer {
            daemon: self.daemon.address,
            head,
            body,
            connection,
            connections: connections.clone(),
            _in_progress: in_progress,
        })
    }

    /// Sends the request, and waits for the answer's head. If the connection turns out to be closed
    /// before a byte was sent on it, a new one is opened.
    async fn send(
        &self,
        mut connection: Connection,
    ) -> Result<(Connection, Response<AnswerBody>), ForwardingError> {
        let mut request = self.request();
        for _ in 0..=MAX_REOPENED {
            let sending = connection.send(request);
            let sent = timeout_at(self.inbound.deadline, sending).await;
            let error = match sent.map_err(|_| ForwardingError::Failed(AttemptError::TimedOut))? {
                Ok(response) => return Ok((connection, response)),
                Err(error) => error,
            };
            request = match error {
                SendError::Unsent(unsent) => *unsent,
                SendError::Broken => return Err(ForwardingError::Failed(AttemptError::Broken)),
                SendError::WithoutEnd => {
                    return Err(ForwardingError::Failed(AttemptError::WithoutEnd));
                }
            };
            connection = self.reopen().await.ok_or(ForwardingError::Declined)?;
        }
        Err(ForwardingError::Declined)
    }

    /// Opens a connection in place of one that is closed. Another daemon may have the address by now, in a
    /// region that the request must not be sent to.
    async fn reopen(&self) -> Option<Connection> {
        let inbound = self.inbound;
        let opened = connection::open(self.gateway, self.daemon.address, &inbound.service).await?;
        let limits = inbound.region_limits(&self.gateway.settings.regions);
        may_send(&limits, Some(&opened.data_centre)).then_some(opened.connection)
    }

    /// Builds the request for the other daemon: the client's, with the time that is left.
    fn request(&self) -> Request<RequestBody> {
        let names = &self.gateway.header_names;
        let mut request = self.inbound.forwarded(names, self.last_event_id);
        headers::set_runs(request.headers_mut(), self.runs);
        headers::set_attempts(request.headers_mut(), self.attempts);
        if let Some(version) = self.version {
            headers::set_version(request.headers_mut(), version);
        }
        request
    }
}

/// Classifies another daemon's refusal: whether another one may serve the request.
fn refused(refusal: Refusal) -> ForwardingError {
    match refusal.reason {
        // The endpoints are the same for all daemons, and the outcome of a run is final.
        RefusalReason::Overloaded
        | RefusalReason::Expired
        | RefusalReason::TimedOut
        | RefusalReason::EndsEndpoints
        | RefusalReason::StreamVersionGone
        | RefusalReason::OutcomeUnknown => ForwardingError::Refused(refusal),
        // This daemon has admitted the request by a configuration that it knows to be current.
        RefusalReason::Malformed
        | RefusalReason::NoRoute
        | RefusalReason::UnknownKey
        | RefusalReason::BodyTooLarge
        | RefusalReason::BodyTimeout
        | RefusalReason::BodyBroken
        | RefusalReason::NotReady
        | RefusalReason::Stopping
        | RefusalReason::NoEndpoint
        | RefusalReason::EndpointsUnreachable
        | RefusalReason::MemoryFull
        | RefusalReason::StreamVersionUnknown => ForwardingError::Declined,
    }
}

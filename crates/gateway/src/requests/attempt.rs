//! One attempt: sends a request to one endpoint and reads the head of the answer.
//!
//! Owns the connection until the answer's body was read. The caller decides whether the request is
//! sent again, by the returned [`AttemptError`], which says whether the request may have run.

use crate::clock::Clock;
use crate::decisions::endpoint::idle_connections::{MAX_IDLE_TRIES, may_reuse};
use crate::decisions::endpoint::load_report::LoadSnapshot;
use crate::decisions::resend::{AttemptError, OpenError};
use crate::endpoints::connection::{Connection, SendError};
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::reachability::Reachability;
use crate::endpoints::selection::Selected;
use crate::header_names::HeaderNames;
use crate::metrics::GatewayMetrics;
use crate::requests::answer_validity;
use crate::requests::endpoint_signals::{AnswerOrigin, EndpointSignals};
use crate::requests::in_flight::InFlight;
use crate::requests::inbound::InboundRequest;
use crate::requests::response_head;
use crate::unreadable_headers::{Sender, UnreadableHeaders};
use bridgevane_answer_limits::AnswerBody;
use bridgevane_client_limits::RequestBody;
use bridgevane_types::TimeMs;
use http::{HeaderValue, Request, Response, response};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The connect timeout of endpoint connections. A lost SYN packet is sent again only after a second;
/// another endpoint can answer before that.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// An endpoint's answer whose body hasn't been read yet.
#[derive(Debug)]
pub(crate) struct EndpointAnswer {
    /// The endpoint that answered, and why it was selected.
    pub(crate) selected: Selected,
    /// The endpoint's load when the request was sent, for logs.
    pub(crate) load: LoadSnapshot,
    /// Status and headers.
    pub(crate) head: response::Parts,
    /// The body.
    pub(crate) body: AnswerBody,
    /// Counts the request at the endpoint.
    pub(crate) in_flight: InFlight,
    connection: Connection,
}

impl EndpointAnswer {
    pub(crate) fn endpoint(&self) -> &Arc<Endpoint> {
        &self.selected.endpoint
    }

    /// Keeps the connection for reuse until `expires_at`, or closes it if that is `None`, and returns
    /// the head. Called after the body was read to its end.
    pub(crate) fn keep_connection(
        self,
        expires_at: Option<TimeMs>,
        max_idle: usize,
    ) -> response::Parts {
        if let Some(expires_at) = expires_at {
            let idle_connections = &self.selected.endpoint.idle_connections;
            idle_connections.put(self.connection, expires_at, max_idle);
        }
        self.head
    }
}

/// The conditions for sending the request to a second endpoint while this one is silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hedge<F> {
    /// The earliest moment of the second request.
    pub(crate) at: Instant,
    /// Returns whether the request may be sent a second time; takes a retry from the budget.
    pub(crate) is_allowed: F,
}

impl<F: Fn() -> bool> Hedge<F> {
    /// Waits for an answer until the hedge is due and allowed, else until the deadline.
    async fn wait<T>(
        &self,
        answer: impl Future<Output = T>,
        deadline: Instant,
    ) -> Result<T, AttemptError> {
        let mut answer = pin!(answer);
        if self.at < deadline {
            match timeout_at(self.at, answer.as_mut()).await {
                Ok(answer) => return Ok(answer),
                Err(_) if (self.is_allowed)() => return Err(AttemptError::Silent),
                Err(_) => {}
            }
        }
        let answered = timeout_at(deadline, answer).await;
        answered.map_err(|_| AttemptError::TimedOut)
    }
}

/// The inputs of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) clock: Clock,
    pub(crate) names: &'a HeaderNames,
    pub(crate) unreadable: &'a UnreadableHeaders,
    pub(crate) metrics: &'a GatewayMetrics,
    pub(crate) reachability: &'a Reachability,
    pub(crate) inbound: &'a InboundRequest,
    pub(crate) selected: &'a Selected,
    /// The event after which a stream is resumed.
    pub(crate) last_event_id: Option<&'a HeaderValue>,
}

impl Attempt<'_> {
    /// Sends the request and checks the head of the answer.
    ///
    /// # Errors
    /// [`AttemptError`] if there is no usable answer.
    pub(crate) async fn run<F: Fn() -> bool>(
        self,
        hedge: Hedge<F>,
    ) -> Result<EndpointAnswer, AttemptError> {
        let endpoint = &self.selected.endpoint;
        let request = self.request()?;
        let sent_at = self.clock.now();
        let load = endpoint.load.snapshot(sent_at);
        let in_flight = InFlight::begin(self.clock, self.selected);
        let (connection, response) = self.send(request, hedge).await?;
        let (head, body) = response.into_parts();
        answer_validity::check_status_and_framing(&head)?;
        let checked = response_head::check(self.names, &self.inbound.id, &head);
        // Nothing that another answer says is about the state of this endpoint now.
        if matches!(checked, Ok(()) | Err(AttemptError::NotExecuted)) {
            self.apply_signals(&head, sent_at);
        }
        checked?;
        Ok(EndpointAnswer {
            selected: self.selected.clone(),
            load,
            head,
            body,
            in_flight,
            connection,
        })
    }

    /// Applies what an answer to this request says about its endpoint.
    fn apply_signals(&self, head: &response::Parts, sent_at: TimeMs) {
        let endpoint = &self.selected.endpoint;
        let now = self.clock.now();
        let headers = self.unreadable.reader(Sender::Endpoint, &head.headers);
        endpoint.load.on_activity(now);
        if !response_head::closes_connection(&headers) {
            endpoint.on_stays(sent_at);
        }
        if let Some(reported) = response_head::reported_load(self.names, &headers) {
            endpoint.load.on_report(now, reported);
            if let Some(work_time) = reported.work_time {
                endpoint.pace.on_reported(now, work_time);
            }
        }
        let signals = EndpointSignals::read(self.names, head.status, &headers);
        signals.apply(&self.answer_origin(sent_at));
    }

    /// Returns the origin of the answer that has just arrived.
    fn answer_origin(&self, sent_at: TimeMs) -> AnswerOrigin<'_> {
        AnswerOrigin {
            endpoint: &self.selected.endpoint,
            metrics: self.metrics,
            sent_at,
            now: self.clock.now(),
        }
    }

    /// Builds the request for this endpoint.
    fn request(&self) -> Result<Request<RequestBody>, AttemptError> {
        let record = self.selected.endpoint.record.load();
        let id = HeaderValue::from_str(record.id.as_str());
        // Without its id in the request the endpoint can't check that the request is meant for it.
        let id = id.map_err(|_| AttemptError::Misdirected)?;
        let source = self.selected.cache_source;
        Ok(self
            .inbound
            .outbound(self.names, &id, source, self.last_event_id))
    }

    /// Sends the request on an idle or a new connection, and waits for the answer's head. If an idle
    /// connection turns out to be closed before a byte was sent on it, another one is used.
    async fn send<F: Fn() -> bool>(
        &self,
        mut request: Request<RequestBody>,
        hedge: Hedge<F>,
    ) -> Result<(Connection, Response<AnswerBody>), AttemptError> {
        for tries in 0..=MAX_IDLE_TRIES {
            let mut connection = self.connection(tries).await?;
            let sending = connection.send(request);
            match hedge.wait(sending, self.inbound.deadline).await? {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(SendError::Broken) => return Err(AttemptError::Broken),
                Err(SendError::WithoutEnd) => return Err(AttemptError::WithoutEnd),
            }
        }
        Err(AttemptError::NotSent(OpenError::Refused))
    }

    /// Returns an idle connection if the request may reuse one, else a new one.
    async fn connection(&self, idle_tries: usize) -> Result<Connection, AttemptError> {
        let endpoint = &self.selected.endpoint;
        let last_activity_at = endpoint.load.last_activity_at();
        let may_run_again = self.inbound.route.may_run_again();
        let may_reuse = may_reuse(may_run_again, self.clock.now(), last_activity_at);
        if may_reuse
            && idle_tries < MAX_IDLE_TRIES
            && let Some(connection) = endpoint.idle_connections.take(self.clock.now())
        {
            return Ok(connection);
        }
        let timeout = CONNECT_TIMEOUT.min(self.inbound.remaining());
        let address = endpoint.record.load().address;
        let opened = Connection::open(address, timeout).await;
        let connection = opened.map_err(AttemptError::NotSent)?;
        let now = self.clock.now();
        self.reachability.on_opened(now, &self.inbound.service);
        Ok(connection)
    }
}

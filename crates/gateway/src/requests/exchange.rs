//! The life of a request: read, admitted, placed, sent, answered.

use crate::counter::CountGuard;
use crate::decisions::placement::{Choice, Placed};
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::requests::admission::admit;
use crate::requests::answer_body::AnswerBody;
use crate::requests::attempt::{Answer, AttemptError, Patience, attempt};
use crate::requests::inbound::{Inbound, strip_hop_by_hop};
use crate::requests::refusal::Refusal;
use crate::requests::relay::{BrokenOff, Relay};
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::Incoming;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The longest answer that is read whole before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 256 * 1024;
/// Endpoints that a request is offered to at most, whether or not it runs there.
const MAX_OFFERS: usize = 4;
/// The least time that an endpoint is given.
const MIN_LEFT: Duration = Duration::from_millis(5);
/// The part of a route's target that a request may wait before its prompt is read.
const QUEUE_SHARE: f64 = 0.3;
/// The soonest that a client shall come back after waiting lines were too long.
const MIN_RETURN_MS: u64 = 200;
/// The part of a route's target after which a silent endpoint's request is repeated.
const PLAIN_SILENCE: f64 = 0.6;
/// The same for streams, whose prompt is read again elsewhere.
const STREAM_SILENCE: f64 = 1.0;
/// One plain success in so many is logged.
const SAMPLE: u32 = 16;

/// A refusal, and when to come back where that differs from the usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    refusal: Refusal,
    retry_after_ms: Option<DurationMs>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after_ms: None,
        }
    }
}

/// Serves one request.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<impl Body<Data = Bytes, Error = BrokenOff> + use<>> {
    let arrived = Instant::now();
    let id = request
        .headers()
        .get(&gateway.header_names.request_id)
        .cloned();
    let in_progress = gateway.requests_in_progress.hold(1);
    let mut response = match answer(&gateway, arrived, request, in_progress).await {
        Ok(response) => response,
        Err(refused) => {
            log_refused(&gateway, id.as_ref(), refused, arrived);
            let response = refused.refusal.response(refused.retry_after_ms);
            response.map(AnswerBody::Whole)
        }
    };
    if gateway.shutdown.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn log_refused(gateway: &Gateway, id: Option<&HeaderValue>, refused: Refused, arrived: Instant) {
    gateway.metrics.refused(refused.refusal);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    let age = gateway.control.proof_age();
    event!(
        Event::RequestTurnedAway,
        request = id,
        reason = refused.refusal,
        status = refused.refusal.status().as_u16(),
        held_ms = arrived.elapsed().as_millis(),
        proof_age_ms = age.map_or(-1, |age| age.0 as i64),
        version = gateway
            .control
            .routing_table()
            .map_or(0, |table| table.version().0)
    );
}

async fn answer(
    gateway: &Arc<Gateway>,
    arrived: Instant,
    request: Request<Incoming>,
    in_progress: CountGuard,
) -> Result<Response<AnswerBody<impl Body<Data = Bytes, Error = BrokenOff> + use<>>>, Refused> {
    let inbound = admit(gateway, arrived, request).await?;
    let buffered = gateway.buffered_bytes.hold(inbound.body.len() as u64);
    gateway
        .retry_budgets
        .note_request(gateway.clock.now(), &inbound.service);
    let mut exchange = Exchange::new(gateway.clone(), inbound);
    if exchange.inbound.route.stream.is_none() {
        return exchange.whole_answer().await;
    }
    let answer = exchange.dispatch(None).await?;
    let head = client_head(&answer.head);
    let relay = Relay::new(exchange, answer);
    let state = (relay, in_progress, buffered);
    let frames = futures_util::stream::unfold(state, |(mut relay, guard, held)| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), (relay, guard, held)))
    });
    let body = AnswerBody::Stream(Box::pin(StreamBody::new(frames)));
    Ok(Response::from_parts(head, body))
}

/// The head as the client gets it.
fn client_head(head: &http::response::Parts) -> http::response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers.clone();
    strip_hop_by_hop(response.headers_mut());
    response.into_parts().0
}

/// A request on its way through attempts.
pub(crate) struct Exchange {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) inbound: Inbound,
    tried: Vec<Arc<Endpoint>>,
    /// Attempts that ran, or may have run.
    runs: u32,
}

impl Exchange {
    fn new(gateway: Arc<Gateway>, inbound: Inbound) -> Self {
        Self {
            gateway,
            inbound,
            tried: Vec::new(),
            runs: 0,
        }
    }

    /// Whether the request may be sent again after it may have run; takes from the budget.
    fn take_repeat(&self) -> bool {
        self.may_repeat_after(self.runs) && self.take_budget()
    }

    fn may_repeat_after(&self, runs: u32) -> bool {
        self.inbound.route.may_repeat() && runs < self.inbound.route.max_attempts
    }

    /// How long an endpoint may be silent before another is asked.
    fn longest_silence(&self) -> Duration {
        let route = &self.inbound.route;
        let share = if route.stream.is_some() {
            STREAM_SILENCE
        } else {
            PLAIN_SILENCE
        };
        route.target_ms.as_std().mul_f64(share)
    }

    fn take_budget(&self) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.retry_budgets.take(now, &self.inbound.service)
    }

    /// Sends the request until an endpoint answers it.
    pub(crate) async fn dispatch(
        &mut self,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Answer, Refused> {
        loop {
            let placed = self.place()?;
            self.check_queue(&placed)?;
            let error = match self.attempt(&placed, last_event_id).await {
                Ok(answer) if self.is_worth_repeating(&answer) && self.take_repeat() => continue,
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            self.after_failure(error)?;
        }
    }

    /// Picks an endpoint, and checks that what is believed still holds.
    fn place(&self) -> Result<Placed, Refused> {
        if self.inbound.left() < MIN_LEFT {
            return Err(self.out_of_time());
        }
        if !self.gateway.control.is_fresh() {
            return Err(self.unless_run(Refusal::NotReady));
        }
        let directory = self.gateway.control.directory();
        let service = directory.service(&self.inbound.service);
        let service = service.ok_or_else(|| self.unless_run(Refusal::NoEndpoint))?;
        let choice = Choice {
            now: self.gateway.clock.now(),
            data_centre: &self.gateway.settings.data_centre,
            prompt: &self.inbound.prompt,
            tried: &self.tried,
        };
        let placed = self.gateway.placement.choose(choice, service);
        let refusal = if self.tried.is_empty() {
            Refusal::NoEndpoint
        } else {
            Refusal::Overloaded
        };
        placed.ok_or_else(|| self.unless_run(refusal))
    }

    /// Refuses at once what would wait too long: it would be late, and hold up others. Only the
    /// least urgent are refused: the others go ahead of them. A prompt's own size doesn't
    /// count, so that large ones are served as often as small ones.
    fn check_queue(&self, placed: &Placed) -> Result<(), Refused> {
        let is_prompt = !self.inbound.prompt.parts.is_empty();
        let target_ms = self.inbound.route.target_ms.0 as f64;
        let allowed_ms = QUEUE_SHARE * target_ms;
        let excess_ms = placed.queue_ms - allowed_ms;
        let may_refuse = is_prompt && self.inbound.is_least_urgent && self.runs == 0;
        if !may_refuse || excess_ms <= 0.0 {
            return Ok(());
        }
        let load = placed.endpoint.load.now(self.gateway.clock.now());
        event!(
            Event::LineTooLong,
            request = self.inbound.id_text(),
            endpoint = placed.endpoint.record.load().id,
            line_ms = placed.queue_ms as u64,
            allowed_ms = allowed_ms as u64,
            own_tokens = load.own_prefill_tokens,
            others_tokens = load.others_prefill_tokens
        );
        let mut refused = self.unless_run(Refusal::Overloaded);
        let wait_ms = (excess_ms as u64).max(MIN_RETURN_MS);
        refused.retry_after_ms = Some(DurationMs(wait_ms));
        Err(refused)
    }

    async fn attempt(
        &mut self,
        placed: &Placed,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Answer, AttemptError> {
        let endpoint = &placed.endpoint;
        self.tried.push(endpoint.clone());
        let begun = self.gateway.clock.now();
        let patience = Patience {
            until: Instant::now() + self.longest_silence(),
            take_repeat: || {
                // An engine that gives others their tokens is busy, not gone.
                let is_busy =
                    self.inbound.route.stream.is_some() && endpoint.load.was_heard_since(begun);
                !is_busy && self.may_repeat_after(self.runs + 1) && self.take_budget()
            },
        };
        let result = attempt(
            &self.gateway,
            &self.inbound,
            placed,
            last_event_id,
            patience,
        )
        .await;
        let now = self.gateway.clock.now();
        match &result {
            Ok(answer) if answer.head.status.is_server_error() => {
                self.runs += 1;
                endpoint.health.failed(self.gateway.clock.now());
            }
            Ok(_) => self.runs += 1,
            Err(AttemptError::NotSent(_)) => self.eject(endpoint),
            Err(AttemptError::NotExecuted { .. }) => {}
            Err(AttemptError::Misdirected) => self.eject(endpoint),
            Err(error) => {
                self.runs += 1;
                endpoint.health.failed(self.gateway.clock.now());
                let is_heard = endpoint.load.was_heard_since(begun);
                if *error == AttemptError::TimedOut && !is_heard {
                    self.eject(endpoint);
                }
            }
        }
        if let Err(error) = &result {
            self.gateway.metrics.attempt_failed(*error);
            let load = endpoint.load.now(now);
            event!(
                Event::AttemptFailed,
                request = self.inbound.id_text(),
                endpoint = endpoint.record.load().id,
                cause = error,
                running = load.running(),
                runs = self.runs,
                left_ms = self.inbound.left().as_millis()
            );
        }
        result
    }

    fn eject(&self, endpoint: &Endpoint) {
        let now = self.gateway.clock.now();
        if endpoint.health.lost(now) {
            let id = &endpoint.record.load().id;
            event!(Event::EndpointEjected, endpoint = id);
        }
    }

    /// A failure that another endpoint may not give.
    fn is_worth_repeating(&self, answer: &Answer) -> bool {
        answer.head.status.is_server_error() && self.inbound.route.may_repeat()
    }

    /// Whether to go on after a failed attempt.
    fn after_failure(&self, error: AttemptError) -> Result<(), Refused> {
        if error.may_have_run() {
            if error == AttemptError::Silent || self.take_repeat() {
                return Ok(());
            }
            return Err(match error {
                AttemptError::TimedOut => Refusal::TimedOut.into(),
                _ => Refusal::OutcomeUnknown.into(),
            });
        }
        let may_offer = self.tried.len() < MAX_OFFERS;
        let is_free = matches!(error, AttemptError::NotSent(_));
        if may_offer && (is_free || self.take_budget()) {
            return Ok(());
        }
        let told = match error {
            AttemptError::NotExecuted { retry_after_ms } => retry_after_ms,
            _ => None,
        };
        let mut refused = self.unless_run(Refusal::Overloaded);
        refused.retry_after_ms = told;
        Err(refused)
    }

    fn out_of_time(&self) -> Refused {
        if self.runs > 0 {
            return Refusal::TimedOut.into();
        }
        Refusal::Expired.into()
    }

    /// A refusal that says "not run" can't be given once the request may have run.
    fn unless_run(&self, refusal: Refusal) -> Refused {
        if self.runs > 0 {
            return Refusal::OutcomeUnknown.into();
        }
        refusal.into()
    }

    /// An answer that is read whole before the client gets it, so that one that breaks off
    /// can be asked for again.
    async fn whole_answer<B>(mut self) -> Result<Response<AnswerBody<B>>, Refused> {
        loop {
            let mut answer = self.dispatch(None).await?;
            let status = answer.head.status;
            let limited = Limited::new(&mut answer.body, MAX_WHOLE_ANSWER_BYTES);
            let collected = timeout(self.inbound.left(), limited.collect()).await;
            let error = match collected {
                Ok(Ok(body)) => {
                    self.note_served(&answer, self.inbound.arrived.elapsed(), Duration::ZERO);
                    if !status.is_server_error() {
                        answer.endpoint.health.served(self.gateway.clock.now());
                    }
                    let response = Response::from_parts(client_head(&answer.head), body.to_bytes());
                    answer.finish(&self.gateway);
                    return Ok(response.map(|body| AnswerBody::Whole(Full::new(body))));
                }
                Ok(Err(_)) => AttemptError::Broken,
                Err(_) => AttemptError::TimedOut,
            };
            answer.endpoint.health.failed(self.gateway.clock.now());
            self.gateway.metrics.attempt_failed(error);
            event!(
                Event::AttemptFailed,
                request = self.inbound.id_text(),
                endpoint = answer.endpoint.record.load().id,
                cause = error,
                status = status.as_u16(),
                runs = self.runs
            );
            drop(answer);
            self.after_failure(error)?;
        }
    }

    /// Counts an answer, and logs a sample of the plain successes.
    pub(crate) fn note_served(&self, answer: &Answer, first: Duration, longest_gap: Duration) {
        let status = answer.head.status.as_u16();
        let metrics = &self.gateway.metrics;
        metrics.served(&self.inbound.service, status, first);
        let is_plain = answer.head.status == StatusCode::OK && self.runs == 1;
        if is_plain && !rand::rng().random_ratio(1, SAMPLE) {
            return;
        }
        event!(
            Event::RequestServed,
            request = self.inbound.id_text(),
            endpoint = answer.endpoint.record.load().id,
            status = answer.head.status.as_u16(),
            runs = self.runs,
            route = self.inbound.route.name,
            urgency = self.inbound.urgency,
            prompt_tokens = self.inbound.prompt.tokens,
            max_answer_tokens = self.inbound.prompt.max_answer_tokens,
            prefill_tokens = answer.estimate.prefill_tokens,
            cost_ms = answer.estimate.cost_ms as u64,
            own_running = answer.estimate.load.own_running,
            others_running = answer.estimate.load.others_running,
            first_ms = first.as_millis(),
            longest_gap_ms = longest_gap.as_millis(),
            took_ms = self.inbound.arrived.elapsed().as_millis()
        );
    }

    /// Whether a broken stream may go on at another endpoint; takes from the budget.
    pub(crate) fn may_resume(&self) -> bool {
        let stream = self.inbound.route.stream;
        let is_resumable = stream.is_some_and(|stream| stream.is_resumable);
        is_resumable && self.inbound.left() > MIN_LEFT && self.take_repeat()
    }
}

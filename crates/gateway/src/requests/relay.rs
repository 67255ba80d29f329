//! Forwards a stream, or a large plain answer, to the client, and resumes a stream at another
//! endpoint when it breaks off.
//!
//! Owns the exchange while the stream lasts. The relay is dropped when the client disconnects, which
//! closes the endpoint's connection at once.

use crate::decisions::resend::{Failure, NoResend};
use crate::requests::answer::Answer;
use crate::requests::answer_body::StreamError;
use crate::requests::answer_framing::SentBody;
use crate::requests::exchange::{AnswerTiming, Exchange, resend_text};
use crate::requests::response_head;
use crate::requests::server_events::{EventBoundary, EventSplitter};
use bridgevane_answer_limits::is_without_end;
use bridgevane_events::{Event, event};
use bytes::Bytes;
use http::HeaderValue;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout_at;

/// Measures the timing of a stream.
#[derive(Clone, Copy, Debug, Default)]
struct TimingMeter {
    /// The times from the request's arrival to the first and to the newest chunk.
    first_and_newest: Option<(Duration, Duration)>,
    longest_gap: Duration,
}

impl TimingMeter {
    fn on_chunk(&mut self, elapsed: Duration) {
        let first = match self.first_and_newest {
            Some((first, newest)) => {
                self.longest_gap = self.longest_gap.max(elapsed - newest);
                first
            }
            None => elapsed,
        };
        self.first_and_newest = Some((first, elapsed));
    }

    fn timing(&self) -> AnswerTiming {
        // A stream without any chunk counts as answered at once.
        let (first_byte, _) = self.first_and_newest.unwrap_or_default();
        AnswerTiming {
            first_byte,
            longest_gap: self.longest_gap,
        }
    }
}

/// A stream that is being forwarded to the client.
pub(crate) struct Relay {
    exchange: Exchange,
    /// The answer that is being read; `None` after its end.
    answer: Option<Answer>,
    /// Set for streams that can be resumed: of these only whole events are forwarded.
    splitter: Option<EventSplitter>,
    has_first_chunk: bool,
    /// Where a stream that isn't split is in its events.
    boundary: EventBoundary,
    timing: TimingMeter,
    /// The part of the body that was read before; empty once it is forwarded.
    read: Bytes,
}

impl Relay {
    /// Forwards an answer; `read` is the part of its body that was read before.
    pub(crate) fn new(exchange: Exchange, answer: Answer, read: Bytes) -> Self {
        let is_resumable = exchange.inbound.route.is_resumable();
        let is_success = answer.head().status.is_success();
        let taken_up = exchange.inbound.taken_up.as_ref();
        let client_has = taken_up.and_then(|stream| event_number(&stream.last_event_id));
        Self {
            splitter: (is_resumable && is_success).then(|| EventSplitter::after(client_has)),
            exchange,
            answer: Some(answer),
            has_first_chunk: false,
            boundary: EventBoundary::default(),
            timing: TimingMeter::default(),
            read,
        }
    }

    /// Returns the exchange of the request.
    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Returns what the client is sent.
    pub(crate) fn sent_body(&self) -> SentBody {
        match self.splitter {
            Some(_) => SentBody::Events,
            None => SentBody::Unchanged,
        }
    }

    /// Returns the next bytes for the client; `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        if !self.read.is_empty() {
            let read = std::mem::take(&mut self.read);
            return Some(Ok(self.accept_chunk(read)));
        }
        loop {
            let answer = self.answer.as_mut()?;
            let frame = answer.body_mut().frame();
            let cause = match timeout_at(self.exchange.inbound.deadline, frame).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers aren't forwarded.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let forwarded = self.accept_chunk(data);
                    if !forwarded.is_empty() {
                        return Some(Ok(forwarded));
                    }
                    if !self.is_stream_without_end() {
                        continue;
                    }
                    StreamError::WithoutEnd
                }
                Ok(None) if self.ends_inside_event() => StreamError::EndpointBrokeOff,
                Ok(None) => {
                    self.finish();
                    return self.take_rest().map(Ok);
                }
                Ok(Some(Err(error))) if is_without_end(&error) => StreamError::WithoutEnd,
                Ok(Some(Err(_))) => StreamError::EndpointBrokeOff,
                Err(_) => StreamError::OutOfTime,
            };
            if let Err(error) = self.resume(cause).await {
                return Some(Err(error));
            }
        }
    }

    /// Records a chunk and returns the bytes that can be forwarded now.
    fn accept_chunk(&mut self, data: Bytes) -> Bytes {
        self.on_chunk();
        match &mut self.splitter {
            Some(splitter) => splitter.push(&data),
            None => {
                self.boundary.push(&data);
                data
            }
        }
    }

    fn on_chunk(&mut self) {
        let gateway = &self.exchange.gateway;
        let inbound = &self.exchange.inbound;
        self.timing.on_chunk(inbound.arrived.elapsed());
        let is_first = !std::mem::replace(&mut self.has_first_chunk, true);
        let Some(Answer::Endpoint(answer)) = &mut self.answer else {
            // The other daemon records what it learns about the endpoint.
            return;
        };
        answer.endpoint().load.on_activity(gateway.clock.now());
        gateway
            .reachability
            .on_heard(gateway.clock.now(), &inbound.service);
        if !is_first {
            return;
        }
        let since_sent = answer.in_flight.on_first_token();
        let endpoint = answer.endpoint().index;
        let pace = answer.endpoint().pace.pace();
        let now = gateway.clock.now();
        if let Some(since_sent) = since_sent.filter(|_| answer.head.status.is_success()) {
            let service = &inbound.service;
            let own_tokens = inbound.prompt.own_tokens();
            let profiles = &gateway.engine_profiles;
            profiles.on_first_token(now, service, own_tokens, since_sent, pace);
        }
        gateway
            .prompt_locations
            .on_read(now, &inbound.prompt, endpoint);
        // A failed answer was counted when its head arrived.
        if !inbound.prompt.is_empty() && answer.head.status.is_success() {
            self.exchange.count_usage(now);
        }
    }

    fn is_stream_without_end(&self) -> bool {
        let splitter = self.splitter.as_ref();
        splitter.is_some_and(EventSplitter::is_without_end)
    }

    /// Returns whether the body ended inside an event, and only by the end of the connection.
    fn ends_inside_event(&self) -> bool {
        let Some(answer) = &self.answer else {
            return false;
        };
        let is_inside_event = match &self.splitter {
            Some(splitter) => splitter.is_inside_event(),
            // A plain answer has no events.
            None => self.exchange.inbound.route.stream.is_some() && self.boundary.is_inside_event(),
        };
        is_inside_event
            && answer.head().status.is_success()
            && response_head::ends_with_connection(&answer.head().headers)
    }

    /// Returns the last bytes of a stream that ended properly; `None` if all were forwarded.
    fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.splitter.as_mut()?.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    fn finish(&mut self) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        let now = self.exchange.gateway.clock.now();
        if answer.head().status.is_success()
            && let Some(endpoint) = answer.endpoint()
        {
            endpoint.health.on_served(now);
        }
        self.exchange.on_served(&answer, self.timing.timing());
        self.exchange.keep_connection(answer);
    }

    /// Resumes the stream at another endpoint, if that is allowed.
    async fn resume(&mut self, cause: StreamError) -> Result<(), StreamError> {
        if cause != StreamError::OutOfTime
            && let Some(Answer::Endpoint(answer)) = &self.answer
        {
            let now = self.exchange.gateway.clock.now();
            answer.endpoint().health.on_failed(now);
            // An endpoint that sends without end runs.
            if cause == StreamError::EndpointBrokeOff {
                self.exchange.on_connection_broken(answer.endpoint()).await;
            }
        }
        let resend = match &self.splitter {
            Some(splitter) if splitter.is_resumable() => {
                self.exchange.may_resend(Failure::StreamBroken)
            }
            // Only streams that are split into events can be resumed.
            _ => Err(NoResend::NotResumable),
        };
        self.log_broken_off(cause, resend);
        let from = self.answer.as_ref().map(Answer::version_text);
        let began_at = self.answer.as_ref().and_then(Answer::endpoint);
        let began_at = began_at.map(|endpoint| endpoint.version);
        // Closes the connection and counts the request at that endpoint as ended.
        self.answer = None;
        resend.map_err(|_| cause)?;
        let last_event_id = self.splitter.as_mut().and_then(|splitter| {
            splitter.drop_partial_event();
            splitter.last_event_id()
        });
        if last_event_id.is_some() || self.exchange.inbound.taken_up.is_some() {
            let restricted = self.exchange.restrict_resumed(began_at).await;
            restricted.map_err(|_| cause)?;
        }
        let header = last_event_id.map(HeaderValue::from);
        let resumed = self.exchange.dispatch(header.as_ref()).await;
        // The refusal itself can't be sent: the client already has a head.
        let answer = resumed.map_err(|_| cause)?;
        if !answer.head().status.is_success() {
            return Err(cause);
        }
        event!(
            Event::StreamResumed,
            request = self.exchange.inbound.id_text(),
            endpoint = answer.source_text(),
            from = from.unwrap_or_default(),
            to = answer.version_text(),
            // -1 means that the client has no event with a number.
            after = last_event_id.map_or(-1, |id| id as i64)
        );
        self.answer = Some(answer);
        self.has_first_chunk = false;
        Ok(())
    }

    fn log_broken_off(&self, cause: StreamError, resend: Result<(), NoResend>) {
        let Some(answer) = &self.answer else {
            return;
        };
        self.exchange.gateway.metrics.broken_off();
        event!(
            Event::RequestBrokenOff,
            request = self.exchange.inbound.id_text(),
            endpoint = answer.source_text(),
            route = self.exchange.inbound.route.name,
            customer = self.exchange.inbound.customer_text(),
            fingerprint = self.exchange.inbound.fingerprint(),
            parts = self.exchange.inbound.shared_parts_text(),
            cause = cause,
            begun = self.has_first_chunk,
            held_ms = self.exchange.inbound.arrived.elapsed().as_millis(),
            resend = resend_text(resend)
        );
    }
}

/// Returns the number of the last event that a client has; `None` if its identifier is no number.
fn event_number(last_event_id: &HeaderValue) -> Option<u64> {
    last_event_id.to_str().ok()?.trim().parse().ok()
}

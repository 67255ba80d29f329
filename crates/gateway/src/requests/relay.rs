//! The body of a stream on its way to the client.

use crate::requests::attempt::Answer;
use crate::requests::exchange::Exchange;
use crate::requests::server_events::EventCutter;
use bridgevane_events::{Event, event};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::HeaderValue;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout_at;

/// An answer that can't be brought to its end: the connection to the client is cut.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BrokenOff {
    /// The endpoint broke off.
    #[display("the endpoint broke off")]
    ByEndpoint,
    /// The route's or the client's time is over.
    #[display("out of time")]
    OutOfTime,
}

/// Passes a stream on; a resumable one goes on elsewhere when its endpoint breaks off.
pub(crate) struct Relay {
    exchange: Exchange,
    answer: Option<Answer>,
    /// Set for streams that can be taken up.
    cutter: Option<EventCutter>,
    is_begun: bool,
    /// The last bytes ended an event.
    is_between_events: bool,
    pace: Pace,
}

/// When the first piece came, and the longest pause since.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Duration>,
    newest: Duration,
    longest_gap: Duration,
}

impl Pace {
    fn note(&mut self, held: Duration) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(held - self.newest);
        }
        self.first.get_or_insert(held);
        self.newest = held;
    }
}

impl Relay {
    pub(crate) fn new(exchange: Exchange, answer: Answer) -> Self {
        let stream = exchange.inbound.route.stream;
        let is_resumable = stream.is_some_and(|stream| stream.is_resumable);
        let is_stream = answer.head.status.is_success();
        Self {
            cutter: (is_resumable && is_stream).then(EventCutter::default),
            exchange,
            answer: Some(answer),
            is_begun: false,
            is_between_events: true,
            pace: Pace::default(),
        }
    }

    /// The next bytes; none at the end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            let answer = self.answer.as_mut()?;
            let frame = answer.body.frame();
            let cause = match timeout_at(self.exchange.inbound.deadline, frame).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    answer
                        .endpoint
                        .load
                        .heard(self.exchange.gateway.clock.now());
                    self.note_begin();
                    self.pace.note(self.exchange.inbound.arrived.elapsed());
                    let passed = self.pass(data);
                    if passed.is_empty() {
                        continue;
                    }
                    return Some(Ok(passed));
                }
                Ok(None) if self.ends_too_soon() => BrokenOff::ByEndpoint,
                Ok(None) => return self.end(),
                Ok(Some(Err(_))) => BrokenOff::ByEndpoint,
                Err(_) => BrokenOff::OutOfTime,
            };
            if let Err(broken) = self.recover(cause).await {
                return Some(Err(broken));
            }
        }
    }

    fn note_begin(&mut self) {
        let Some(answer) = &mut self.answer else {
            return;
        };
        if std::mem::replace(&mut self.is_begun, true) {
            return;
        }
        answer.in_flight.prefill_done();
        let gateway = &self.exchange.gateway;
        let prompt = &self.exchange.inbound.prompt;
        gateway
            .placement
            .read(gateway.clock.now(), prompt, &answer.endpoint);
    }

    /// Whether the body ends inside an event, and nothing but the end of the connection says
    /// that it is the end.
    fn ends_too_soon(&self) -> bool {
        let Some(answer) = &self.answer else {
            return false;
        };
        let is_inside = match &self.cutter {
            Some(cutter) => cutter.is_inside_event(),
            None => !self.is_between_events,
        };
        is_inside && answer.head.status.is_success() && answer.ends_with_connection()
    }

    fn pass(&mut self, data: Bytes) -> Bytes {
        self.is_between_events = data.ends_with(b"\n\n") || data.ends_with(b"\r\n\r\n");
        match &mut self.cutter {
            Some(cutter) => cutter.push(&data),
            None => data,
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        let answer = self.answer.take()?;
        if answer.head.status.is_success() {
            answer
                .endpoint
                .health
                .served(self.exchange.gateway.clock.now());
        }
        let first = self.pace.first.unwrap_or_default();
        self.exchange
            .note_served(&answer, first, self.pace.longest_gap);
        answer.finish(&self.exchange.gateway);
        None
    }

    /// Goes on at another endpoint, if that is allowed.
    async fn recover(&mut self, cause: BrokenOff) -> Result<(), BrokenOff> {
        if let Some(answer) = self.answer.take() {
            if cause == BrokenOff::ByEndpoint {
                answer
                    .endpoint
                    .health
                    .failed(self.exchange.gateway.clock.now());
            }
            self.exchange.gateway.metrics.broken_off();
            event!(
                Event::RequestBrokenOff,
                request = self.exchange.inbound.id_text(),
                endpoint = answer.endpoint.record.load().id,
                cause = cause,
                begun = self.is_begun,
                held_ms = self.exchange.inbound.arrived.elapsed().as_millis()
            );
        }
        let Some(cutter) = &mut self.cutter else {
            return Err(cause);
        };
        cutter.drop_rest();
        let last_event_id = cutter.last_id().map(HeaderValue::from);
        if !self.exchange.may_resume() {
            return Err(cause);
        }
        let resumed = self.exchange.dispatch(last_event_id.as_ref()).await;
        let answer = resumed.map_err(|_| cause)?;
        if !answer.head.status.is_success() {
            return Err(cause);
        }
        event!(
            Event::StreamResumed,
            request = self.exchange.inbound.id_text(),
            endpoint = answer.endpoint.record.load().id,
            after =
                last_event_id.map_or(-1, |id| id.to_str().map_or(-1, |t| t.parse().unwrap_or(-1)))
        );
        self.answer = Some(answer);
        self.is_begun = false;
        Ok(())
    }
}

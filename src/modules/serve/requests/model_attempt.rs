//! One attempt of a model request: its call of an engine, and the pieces that come back.
//!
//! A piece is delivered only if it belongs to this request and the running attempt and continues
//! exactly where the caller's text ends; late, repeated and crossed pieces are dropped, a gap ends
//! the attempt.

use crate::modules::serve::requests::attempt_reports::Reported;
use crate::modules::serve::requests::model_request::{
    AttemptResult, CallerEvent, EngineAttempt, Runner,
};
use bridgevane_adapters::{EngineCallError, GenerateCall, ModelEngine, Piece, PieceEvent};
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{AttemptNumber, Tokens};
use futures_util::StreamExt;
use tokio::time::timeout;

impl Runner {
    /// The attempt's number towards engines. It counts all attempts of the request; a pool that
    /// took the request over counts its own.
    pub(super) fn own_attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.saturating_sub(1))
    }

    fn call(&self, attempt: &EngineAttempt) -> GenerateCall {
        GenerateCall {
            request: self.id(),
            attempt: self.own_attempt(),
            priority: attempt.priority,
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.offer.max_tokens,
            resume_from: Tokens(self.delivered),
            delivered_text: self.delivered_text.clone(),
        }
    }

    pub(super) async fn stream_attempt(&mut self, attempt: &EngineAttempt) -> AttemptResult {
        let engine = attempt.engine.model.clone();
        let starting = engine.generate(self.call(attempt));
        tokio::pin!(starting);
        let mut pieces = loop {
            tokio::select! {
                started = &mut starting => match started {
                    Ok(pieces) => {
                        self.has_run = true;
                        break pieces;
                    }
                    Err(error) => return AttemptResult::Failed(self.failed_start(error)),
                },
                order = self.orders.recv() => if let Some(result) = self.obey(attempt, order) {
                    return result;
                },
                () = self.caller.closed() => return AttemptResult::CallerGone,
            }
        };
        let mut reported = Reported::new(self.delivered, self.context.now());
        loop {
            tokio::select! {
                piece = pieces.next() => {
                    let result = self.take(attempt, piece, &mut reported).await;
                    if let Some(result) = result {
                        return result;
                    }
                }
                order = self.orders.recv() => if let Some(result) = self.obey(attempt, order) {
                    return result;
                },
                () = self.caller.closed() => return AttemptResult::CallerGone,
            }
        }
    }

    fn failed_start(&self, error: EngineCallError) -> AttemptEnd {
        match error {
            EngineCallError::NotReached => AttemptEnd::NotReached,
            EngineCallError::Unavailable => AttemptEnd::Unavailable,
            EngineCallError::Rejected | EngineCallError::Unsupported => AttemptEnd::Rejected,
            EngineCallError::Cut | EngineCallError::Malformed => AttemptEnd::Lost {
                delivered: Tokens(self.delivered),
            },
        }
    }

    /// Takes what came from the engine; some result when the attempt is over.
    async fn take(
        &mut self,
        attempt: &EngineAttempt,
        piece: Option<Result<Piece, EngineCallError>>,
        reported: &mut Reported,
    ) -> Option<AttemptResult> {
        let lost = AttemptEnd::Lost {
            delivered: Tokens(self.delivered),
        };
        let Some(Ok(piece)) = piece else {
            return Some(AttemptResult::Failed(lost));
        };
        if piece.request != self.id() || piece.attempt != self.own_attempt() {
            event!(Event::PieceDropped, request = self.id(), cause = "crossed");
            return None;
        }
        match piece.event {
            PieceEvent::Token(_) if piece.offset.0 < self.delivered => {
                event!(Event::PieceDropped, request = self.id(), cause = "repeated");
                None
            }
            _ if piece.offset.0 > self.delivered => Some(AttemptResult::Failed(lost)),
            PieceEvent::Token(text) => self.deliver(attempt, text, reported).await,
            PieceEvent::End(reason) => Some(AttemptResult::Done(reason)),
        }
    }

    async fn deliver(
        &mut self,
        attempt: &EngineAttempt,
        text: String,
        reported: &mut Reported,
    ) -> Option<AttemptResult> {
        self.delivered += 1;
        self.delivered_text.push_str(&text);
        if !self.send(CallerEvent::Text(text)).await {
            return Some(AttemptResult::CallerGone);
        }
        let now = self.context.now();
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            let seconds = now.since(self.arrived_at).0 as f64 / 1000.0;
            self.context.metrics.first_token(self.class(), seconds);
        }
        let report = reported.next(
            &self.context.config.serving,
            attempt.number,
            self.delivered,
            now,
        );
        if let Some(report) = report {
            self.report(report).await;
        }
        None
    }

    /// Sends to the caller; false when it is gone or reads nothing.
    pub(super) async fn send(&self, event: CallerEvent) -> bool {
        let limit = self.context.config.serving.slow_reader_timeout_ms.as_std();
        match timeout(limit, self.caller.send(event)).await {
            Ok(sent) => sent.is_ok(),
            Err(_) => {
                event!(Event::CallerSlow, request = self.id());
                false
            }
        }
    }

    /// Cancels at the engine without waiting: a dead engine needs no cancelling.
    pub(super) fn cancel_at_engine(&self, attempt: &EngineAttempt) {
        let engine = attempt.engine.model.clone();
        let (request, number) = (self.id(), self.own_attempt());
        tokio::spawn(async move {
            // An engine that can't be reached runs nothing that could be cancelled.
            let _ = engine.cancel(request, number).await;
        });
    }
}

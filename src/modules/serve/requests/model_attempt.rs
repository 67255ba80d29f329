//! One attempt of a model request: the call of an engine, and the pieces of its answer.
//!
//! A piece is delivered only if it belongs to this request and the running attempt and continues
//! exactly where the delivered text ends. Late and repeated pieces and those of another request or
//! attempt are dropped; a gap ends the attempt.

use crate::modules::serve::requests::model_request::{
    AttemptResult, CallerEvent, EngineAttempt, RequestRunner,
};
use crate::modules::serve::requests::progress_reporter::ProgressReporter;
use bridgevane_adapters::{EngineCallError, GenerateCall, ModelEngine, Piece, PieceEvent};
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{AttemptNumber, Tokens};
use futures_util::StreamExt;
use tokio::time::timeout;

impl RequestRunner {
    /// Returns the attempt's number as engines see it. It counts all attempts of the request; a
    /// pool that took the request over counts only its own.
    pub(super) fn engine_attempt_number(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.saturating_sub(1))
    }

    fn generate_call(&self, attempt: &EngineAttempt) -> GenerateCall {
        GenerateCall {
            request: self.id(),
            attempt: self.engine_attempt_number(),
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
        let starting = engine.generate(self.generate_call(attempt));
        tokio::pin!(starting);
        let mut pieces = loop {
            tokio::select! {
                started = &mut starting => match started {
                    Ok(pieces) => {
                        self.has_run = true;
                        break pieces;
                    }
                    Err(error) => return AttemptResult::Failed(self.end_of_failed_start(error)),
                },
                order = self.orders.recv() => if let Some(result) = self.on_order(attempt, order) {
                    return result;
                },
                () = self.caller.closed() => return AttemptResult::CallerGone,
            }
        };
        let mut reporter = ProgressReporter::new(self.delivered, self.context.now());
        loop {
            tokio::select! {
                piece = pieces.next() => {
                    let result = self.on_piece(attempt, piece, &mut reporter).await;
                    if let Some(result) = result {
                        return result;
                    }
                }
                order = self.orders.recv() => if let Some(result) = self.on_order(attempt, order) {
                    return result;
                },
                () = self.caller.closed() => return AttemptResult::CallerGone,
            }
        }
    }

    fn end_of_failed_start(&self, error: EngineCallError) -> AttemptEnd {
        match error {
            EngineCallError::NotReached => AttemptEnd::NotReached,
            EngineCallError::Unavailable => AttemptEnd::Unavailable,
            EngineCallError::Rejected | EngineCallError::Unsupported => AttemptEnd::Rejected,
            EngineCallError::EndedEarly | EngineCallError::Malformed => AttemptEnd::Lost {
                delivered: Tokens(self.delivered),
            },
        }
    }

    /// Processes the next item of the engine's stream; `Some` when the attempt is over.
    async fn on_piece(
        &mut self,
        attempt: &EngineAttempt,
        piece: Option<Result<Piece, EngineCallError>>,
        reporter: &mut ProgressReporter,
    ) -> Option<AttemptResult> {
        let lost = AttemptEnd::Lost {
            delivered: Tokens(self.delivered),
        };
        let Some(Ok(piece)) = piece else {
            return Some(AttemptResult::Failed(lost));
        };
        if piece.request != self.id() || piece.attempt != self.engine_attempt_number() {
            event!(Event::PieceDropped, request = self.id(), cause = "crossed");
            return None;
        }
        match piece.event {
            PieceEvent::Token(_) if piece.offset.0 < self.delivered => {
                event!(Event::PieceDropped, request = self.id(), cause = "repeated");
                None
            }
            _ if piece.offset.0 > self.delivered => Some(AttemptResult::Failed(lost)),
            PieceEvent::Token(text) => self.deliver(attempt, text, reporter).await,
            PieceEvent::End(reason) => Some(AttemptResult::Done(reason)),
        }
    }

    async fn deliver(
        &mut self,
        attempt: &EngineAttempt,
        text: String,
        reporter: &mut ProgressReporter,
    ) -> Option<AttemptResult> {
        self.delivered += 1;
        self.delivered_text.push_str(&text);
        if !self.send_to_caller(CallerEvent::Text(text)).await {
            return Some(AttemptResult::CallerGone);
        }
        let now = self.context.now();
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            let seconds = now.since(self.arrived_at).0 as f64 / 1000.0;
            self.context
                .metrics
                .record_first_token(self.class(), seconds);
        }
        let report = reporter.next_report(
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

    /// Sends an event to the caller; false when the caller is gone or doesn't read in time.
    pub(super) async fn send_to_caller(&self, event: CallerEvent) -> bool {
        let limit = self.context.config.serving.slow_reader_timeout_ms.as_std();
        match timeout(limit, self.caller.send(event)).await {
            Ok(sent) => sent.is_ok(),
            Err(_) => {
                event!(Event::CallerSlow, request = self.id());
                false
            }
        }
    }

    /// Cancels the attempt at the engine, without waiting for the engine's answer.
    pub(super) fn cancel_at_engine(&self, attempt: &EngineAttempt) {
        let engine = attempt.engine.model.clone();
        let (request, number) = (self.id(), self.engine_attempt_number());
        tokio::spawn(async move {
            // A failed cancellation is ignored: an unreachable engine has nothing to cancel.
            let _ = engine.cancel(request, number).await;
        });
    }
}

//! One model request from offer to final answer: attempts, resumption, delivery.
//!
//! A piece is delivered only if it belongs to this request and the running attempt and
//! continues exactly where the caller's text ends; late, repeated and crossed pieces are
//! dropped, a gap ends the attempt.

use crate::modules::serve::context::Context;
use crate::modules::serve::observation::burn::Ended;
use crate::modules::serve::pools::engine_link::EngineLink;
use crate::modules::serve::pools::homes;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderReceiver;
use crate::modules::serve::requests::attempt_reports::Reported;
use crate::modules::serve::requests::refusal::Refusal;
use crate::modules::serve::requests::targets::Targets;
use bridgevane_adapters::{
    EndReason, EngineCallError, GenerateCall, ModelEngine, Piece, PieceEvent,
};
use bridgevane_decisions::{AttemptEnd, CancelCause};
use bridgevane_events::{Event, event};
use bridgevane_types::{
    AttemptNumber, ClassName, DurationMs, ModelName, Outcome, RefusalCode, RequestId, Tier, TimeMs,
    Tokens,
};
use futures_util::StreamExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What the caller gets.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEvent {
    /// A piece of the answer.
    Text(String),
    /// The answer is whole.
    End(EndReason, Tokens),
    /// The final answer without a whole result.
    Refused(Refusal),
}

/// What a request needs to run.
pub struct ModelRequest {
    /// The offer to the pool.
    pub offer: NamedOffer,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The class's targets.
    pub targets: Targets,
}

/// How an attempt left the loop that reads its pieces.
enum AttemptResult {
    Done(EndReason),
    Cancelled(CancelCause),
    Failed(AttemptEnd),
    CallerGone,
    Refused(Refusal),
}

/// An attempt as the pool ordered it.
struct Attempt {
    number: AttemptNumber,
    engine: Arc<EngineLink>,
    priority: Tier,
    cached_tokens: Tokens,
}

struct Runner {
    context: Arc<Context>,
    request: ModelRequest,
    caller: mpsc::Sender<CallerEvent>,
    orders: OrderReceiver,
    arrived_at: TimeMs,
    first_token_at: Option<TimeMs>,
    delivered_text: String,
    delivered: u64,
    attempts: u64,
    /// Some engine has begun to work on it.
    has_run: bool,
    /// What took it from its last engine.
    interrupted_by: &'static str,
}

/// Runs `request` in a task of its own; its answer comes out of the receiver.
pub fn spawn(context: Arc<Context>, request: ModelRequest) -> mpsc::Receiver<CallerEvent> {
    let (caller, answers) = mpsc::channel(context.config.serving.max_buffered_pieces);
    tokio::spawn(async move {
        let counted = context.clone();
        let _in_progress = counted.leaving.begin_request();
        let (sender, orders) = mpsc::unbounded_channel();
        let arrived_at = context.now();
        let offer = request.offer.clone();
        let is_taken = homes::offer(&context, offer, sender);
        let mut runner = Runner {
            context,
            request,
            caller,
            orders,
            arrived_at,
            first_token_at: None,
            delivered_text: String::new(),
            delivered: 0,
            attempts: 0,
            has_run: false,
            interrupted_by: "none",
        };
        if is_taken {
            runner.run().await;
        } else {
            runner.refuse_full().await;
        }
    });
    answers
}

impl Runner {
    fn id(&self) -> RequestId {
        self.request.offer.request
    }

    fn class(&self) -> &ClassName {
        &self.request.offer.class
    }

    async fn run(&mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.caller.closed() => {
                    self.leave().await;
                    return;
                }
            };
            match order {
                Some(PoolOrder::Dispatch {
                    attempt,
                    engine,
                    priority,
                    cached_tokens,
                }) => {
                    let attempt = Attempt {
                        number: attempt,
                        engine,
                        priority,
                        cached_tokens,
                    };
                    if self.run_attempt(attempt).await {
                        return;
                    }
                }
                Some(PoolOrder::Cancel { .. }) => {}
                Some(PoolOrder::Refuse {
                    code,
                    outcome,
                    retry_after_ms,
                }) => {
                    let refusal = Refusal::refused(self.id(), code, outcome, retry_after_ms);
                    self.refuse(refusal).await;
                    return;
                }
                None => {
                    self.refuse(self.pool_gone()).await;
                    return;
                }
            }
        }
    }

    fn pool_gone(&self) -> Refusal {
        let outcome = if self.attempts == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        Refusal::refused(self.id(), RefusalCode::NoEngine, outcome, None)
    }

    async fn refuse_full(&mut self) {
        let retry_after_ms = Some(RETRY_SOON);
        let code = RefusalCode::QueueFull;
        let refusal = Refusal::refused(self.id(), code, Outcome::NotRun, retry_after_ms);
        self.refuse(refusal).await;
    }

    /// Runs an attempt; true when the request is over.
    async fn run_attempt(&mut self, attempt: Attempt) -> bool {
        self.attempts += 1;
        if self.attempts > 1 && self.has_run {
            self.count_recomputed(&attempt);
        }
        let number = attempt.number;
        let result = self.stream_attempt(&attempt).await;
        match result {
            AttemptResult::Done(reason) => {
                // First the pool: a caller that reads slowly must not hold the engine's slot.
                let tokens = Tokens(self.delivered);
                self.finish_attempt(number, AttemptEnd::Done(tokens)).await;
                self.complete(reason).await;
                true
            }
            AttemptResult::Cancelled(cause) => {
                self.cancel_at_engine(&attempt);
                self.interrupted_by = cause_label(cause);
                false
            }
            AttemptResult::Failed(end) => {
                self.interrupted_by = "lost";
                self.finish_attempt(number, end).await;
                false
            }
            AttemptResult::CallerGone => {
                self.cancel_at_engine(&attempt);
                self.waste("caller_gone", self.delivered);
                self.leave().await;
                true
            }
            AttemptResult::Refused(refusal) => {
                self.cancel_at_engine(&attempt);
                self.refuse(refusal).await;
                true
            }
        }
    }

    /// The attempt's number towards engines. It counts all attempts of the request; a pool that
    /// took the request over counts its own.
    fn own_attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.saturating_sub(1))
    }

    fn call(&self, attempt: &Attempt) -> GenerateCall {
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

    async fn stream_attempt(&mut self, attempt: &Attempt) -> AttemptResult {
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

    /// What an order that comes while an attempt runs means for it.
    fn obey(&self, attempt: &Attempt, order: Option<PoolOrder>) -> Option<AttemptResult> {
        match order {
            Some(PoolOrder::Cancel {
                attempt: number,
                cause,
            }) if number == attempt.number => Some(AttemptResult::Cancelled(cause)),
            Some(PoolOrder::Refuse {
                code,
                outcome,
                retry_after_ms,
            }) => {
                let refusal = Refusal::refused(self.id(), code, outcome, retry_after_ms);
                Some(AttemptResult::Refused(refusal))
            }
            Some(_) => None,
            None => Some(AttemptResult::Refused(self.pool_gone())),
        }
    }

    /// Takes what came from the engine; some result when the attempt is over.
    async fn take(
        &mut self,
        attempt: &Attempt,
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
        attempt: &Attempt,
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
    async fn send(&self, event: CallerEvent) -> bool {
        let limit = self.context.config.serving.slow_reader_timeout_ms.as_std();
        match timeout(limit, self.caller.send(event)).await {
            Ok(sent) => sent.is_ok(),
            Err(_) => {
                event!(Event::CallerSlow, request = self.id());
                false
            }
        }
    }

    async fn finish_attempt(&self, number: AttemptNumber, end: AttemptEnd) {
        self.report(PoolReport::Finished(number, end)).await;
    }

    async fn report(&self, report: PoolReport) {
        let service = &self.request.offer.service;
        homes::report(&self.context, service, self.id(), report).await;
    }

    /// Tells the pool that the caller is gone.
    async fn leave(&self) {
        let number = AttemptNumber(self.attempts.saturating_sub(1));
        self.finish_attempt(number, AttemptEnd::CallerGone).await;
        self.context
            .metrics
            .request_ended(self.class(), "caller_gone");
    }

    async fn complete(&mut self, reason: EndReason) {
        let tokens = Tokens(self.delivered);
        let now = self.context.now();
        let first_token_ms = self.first_token_at.unwrap_or(now).since(self.arrived_at).0;
        let whole_ms = now.since(self.arrived_at).0;
        let is_in_target = self
            .request
            .targets
            .are_met(first_token_ms, whole_ms, tokens.0);
        let result = if is_in_target { "in_target" } else { "late" };
        self.context.metrics.request_ended(self.class(), result);
        self.context.metrics.delivered(self.class(), tokens);
        let ended = Ended::Whole {
            is_in_target,
            is_resumed: self.attempts > 1,
            tokens,
            first_token_ms: DurationMs(first_token_ms),
        };
        self.context.burn.ended(now, self.class(), ended);
        self.send(CallerEvent::End(reason, tokens)).await;
    }

    async fn refuse(&self, refusal: Refusal) {
        let now = self.context.now();
        let is_cut = self.delivered > 0 || refusal.outcome != Outcome::NotRun;
        let ended = if is_cut { Ended::Cut } else { Ended::Refused };
        self.context.burn.ended(now, self.class(), ended);
        let result = if is_cut { "cut" } else { "refused" };
        self.context.metrics.request_ended(self.class(), result);
        let kind = if is_cut {
            Event::RequestFailed
        } else {
            Event::RequestRefused
        };
        event!(
            kind,
            request = self.id(),
            class = self.class(),
            code = refusal.code
        );
        self.send(CallerEvent::Refused(refusal)).await;
    }

    /// A resumption computes prompt and delivered tokens again, less what is cached.
    fn count_recomputed(&self, attempt: &Attempt) {
        let computed = self.request.offer.prompt_tokens.0 + self.delivered;
        let again = computed.saturating_sub(attempt.cached_tokens.0);
        self.waste(self.interrupted_by, again);
    }

    fn waste(&self, cause: &'static str, tokens: u64) {
        let tokens = Tokens(tokens);
        self.context.metrics.wasted(cause, tokens);
        self.context
            .burn
            .wasted(self.context.now(), self.class(), tokens);
    }

    /// Cancels at the engine without waiting: a dead engine needs no cancelling.
    fn cancel_at_engine(&self, attempt: &Attempt) {
        let engine = attempt.engine.model.clone();
        let (request, number) = (self.id(), self.own_attempt());
        tokio::spawn(async move {
            let _ = engine.cancel(request, number).await;
        });
    }
}

fn cause_label(cause: CancelCause) -> &'static str {
    match cause {
        CancelCause::Preempted => "preempted",
        CancelCause::Moved => "moved",
        CancelCause::CallerGone => "caller_gone",
    }
}

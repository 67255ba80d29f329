//! Runs one model request, from its offer to its final answer, by the orders of its pool.
//!
//! Owns the delivered text and the number of attempts. [`super::model_attempt`] reads an attempt's
//! stream, [`super::model_outcome`] records the outcome of the request.

use crate::modules::serve::context::Context;
use crate::modules::serve::pools::endpoint_link::EndpointLink;
use crate::modules::serve::pools::homes;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderReceiver;
use crate::modules::serve::requests::crash_check::with_model_engine_state;
use crate::modules::serve::requests::refusal::CallerRefusal;
use crate::modules::serve::requests::targets::LatencyTargets;
use bridgevane_adapters::EndReason;
use bridgevane_client_limits::Reservation;
use bridgevane_decisions::{AttemptEnd, CancelCause};
use bridgevane_types::{
    AttemptNumber, ClassName, ModelName, Outcome, RefusalCode, RequestId, Tier, TimeMs, Tokens,
};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A part of the answer to the caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerEvent {
    /// The text of one token.
    Text(String),
    /// The answer is complete.
    End(EndReason, Tokens),
    /// The final answer of a request that has no complete result.
    Refused(CallerRefusal),
}

/// A model request with all that it needs to run.
pub(crate) struct ModelRequest {
    /// The offer to the pool.
    pub offer: NamedOffer,
    /// The requested model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The latency targets of the class.
    pub targets: LatencyTargets,
    /// Given back at the end of the request.
    pub _body_memory: Reservation,
}

/// The result of reading an attempt's stream.
pub(super) enum AttemptResult {
    Done(EndReason),
    Cancelled(CancelCause),
    Failed(AttemptEnd),
    CallerGone,
    Refused(CallerRefusal),
}

/// An attempt that the pool has ordered.
pub(super) struct EngineAttempt {
    pub(super) number: AttemptNumber,
    pub(super) engine: Arc<EndpointLink>,
    pub(super) priority: Tier,
    pub(super) cached_tokens: Tokens,
}

pub(super) struct RequestRunner {
    pub(super) context: Arc<Context>,
    pub(super) request: ModelRequest,
    pub(super) caller: mpsc::Sender<CallerEvent>,
    pub(super) orders: OrderReceiver,
    pub(super) arrived_at: TimeMs,
    pub(super) first_token_at: Option<TimeMs>,
    pub(super) delivered_text: String,
    pub(super) delivered: u64,
    pub(super) attempts: u64,
    /// Whether an engine has started to process the request.
    pub(super) has_run: bool,
    /// Why the previous attempt ended, as a metric label.
    pub(super) interrupted_by: &'static str,
}

/// Runs `request` in its own task and returns the receiver of its answer.
pub fn spawn(context: Arc<Context>, request: ModelRequest) -> mpsc::Receiver<CallerEvent> {
    let (caller, answers) = mpsc::channel(context.config.serving.max_buffered_pieces);
    tokio::spawn(async move {
        let counted = context.clone();
        let _in_progress = counted.leaving.begin_request();
        let (sender, orders) = mpsc::unbounded_channel();
        let arrived_at = context.now();
        let offer = request.offer.clone();
        let is_accepted = homes::offer(&context, offer, sender);
        let mut runner = RequestRunner {
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
        if is_accepted {
            runner.run().await;
        } else {
            runner.refuse_queue_full().await;
        }
    });
    answers
}

impl RequestRunner {
    pub(super) fn id(&self) -> RequestId {
        self.request.offer.request
    }

    pub(super) fn class(&self) -> &ClassName {
        &self.request.offer.class
    }

    async fn run(&mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.caller.closed() => {
                    self.finish_caller_gone().await;
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
                    let attempt = EngineAttempt {
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
                    let refusal = CallerRefusal::refused(self.id(), code, outcome, retry_after_ms);
                    self.refuse(refusal).await;
                    return;
                }
                None => {
                    self.refuse(self.pool_gone_refusal()).await;
                    return;
                }
            }
        }
    }

    fn pool_gone_refusal(&self) -> CallerRefusal {
        let outcome = if self.attempts == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        CallerRefusal::refused(self.id(), RefusalCode::NoEngine, outcome, None)
    }

    async fn refuse_queue_full(&mut self) {
        let retry_after_ms = Some(RETRY_SOON);
        let code = RefusalCode::QueueFull;
        let refusal = CallerRefusal::refused(self.id(), code, Outcome::NotRun, retry_after_ms);
        self.refuse(refusal).await;
    }

    /// Runs an attempt and returns whether the request is over.
    async fn run_attempt(&mut self, attempt: EngineAttempt) -> bool {
        self.attempts += 1;
        if self.attempts > 1 && self.has_run {
            self.count_recomputed(&attempt);
        }
        let number = attempt.number;
        let result = self.stream_attempt(&attempt).await;
        match result {
            AttemptResult::Done(reason) => {
                // The pool is informed first: a caller that reads slowly must not hold the engine's
                // slot.
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
                let end = with_model_engine_state(&attempt.engine, end).await;
                self.finish_attempt(number, end).await;
                false
            }
            AttemptResult::CallerGone => {
                self.cancel_at_engine(&attempt);
                self.count_wasted("caller_gone", self.delivered);
                self.finish_caller_gone().await;
                true
            }
            AttemptResult::Refused(refusal) => {
                self.cancel_at_engine(&attempt);
                self.refuse(refusal).await;
                true
            }
        }
    }

    /// Handles an order while an attempt runs; returns the attempt's result if the order ends it.
    pub(super) fn on_order(
        &self,
        attempt: &EngineAttempt,
        order: Option<PoolOrder>,
    ) -> Option<AttemptResult> {
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
                let refusal = CallerRefusal::refused(self.id(), code, outcome, retry_after_ms);
                Some(AttemptResult::Refused(refusal))
            }
            Some(_) => None,
            None => Some(AttemptResult::Refused(self.pool_gone_refusal())),
        }
    }

    pub(super) async fn finish_attempt(&self, number: AttemptNumber, end: AttemptEnd) {
        self.report(PoolReport::Finished(number, end)).await;
    }

    pub(super) async fn report(&self, report: PoolReport) {
        let service = &self.request.offer.service;
        homes::report(&self.context, service, self.id(), report).await;
    }
}

/// Returns the metric label of work that was wasted for `cause`.
fn cause_label(cause: CancelCause) -> &'static str {
    match cause {
        CancelCause::Preempted => "preempted",
        CancelCause::Moved => "moved",
        CancelCause::CallerGone => "caller_gone",
    }
}

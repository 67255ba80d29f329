//! One call of a plain service from offer to final answer.

use crate::context::Context;
use crate::modules::burn::Ended;
use crate::modules::model_request::Targets;
use crate::modules::pool_actor::PoolHandle;
use crate::modules::pool_link::{NamedOffer, OrderReceiver, PoolOrder, PoolReport};
use crate::modules::refusal::Refusal;
use crate::{event, events::Event};
use bridgevane_adapters::{PlainAnswer, PlainCall, PlainCallError, PlainService};
use bridgevane_decisions::AttemptEnd;
use bridgevane_types::{DurationMs, Outcome, RefusalCode, TimeMs, Tokens};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What a call needs to run.
pub struct PlainRequest {
    /// The offer to the pool.
    pub offer: NamedOffer,
    /// The call.
    pub call: PlainCall,
    /// The class's targets.
    pub targets: Targets,
}

/// Runs a call. It goes on to its end when the caller goes away: a call that may not be
/// repeated must not be cut.
///
/// # Errors
/// The final answer when there is no result.
pub async fn run(
    context: Arc<Context>,
    pool: PoolHandle,
    request: PlainRequest,
) -> Result<PlainAnswer, Refusal> {
    let _in_progress = context.leaving.begin_request();
    let arrived_at = context.now();
    let (sender, orders) = mpsc::unbounded_channel();
    if !pool.offer(request.offer.clone(), sender) {
        let retry_after_ms = Some(DurationMs(1_000));
        let code = RefusalCode::QueueFull;
        let id = request.offer.request;
        return Err(Refusal::refused(id, code, Outcome::NotRun, retry_after_ms));
    }
    let result = follow_orders(&pool, &request, orders).await;
    count(&context, &request, arrived_at, &result);
    result
}

async fn follow_orders(
    pool: &PoolHandle,
    request: &PlainRequest,
    mut orders: OrderReceiver,
) -> Result<PlainAnswer, Refusal> {
    let id = request.offer.request;
    let mut has_sent = false;
    while let Some(order) = orders.recv().await {
        match order {
            PoolOrder::Dispatch {
                attempt, engine, ..
            } => {
                let result = engine.plain.call(request.call.clone()).await;
                has_sent |= result != Err(PlainCallError::NotReached);
                let end = end_of(&result);
                pool.report(id, PoolReport::Finished(attempt, end)).await;
                if let Ok(answer) = result {
                    return Ok(answer);
                }
            }
            PoolOrder::Cancel { .. } => {}
            PoolOrder::Refuse {
                code,
                outcome,
                retry_after_ms,
            } => return Err(Refusal::refused(id, code, outcome, retry_after_ms)),
        }
    }
    let outcome = if has_sent {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    Err(Refusal::refused(id, RefusalCode::NoEngine, outcome, None))
}

fn end_of(result: &Result<PlainAnswer, PlainCallError>) -> AttemptEnd {
    match result {
        Ok(_) => AttemptEnd::Done(Tokens(1)),
        Err(PlainCallError::NotReached) => AttemptEnd::NotReached,
        Err(PlainCallError::Unknown) => AttemptEnd::Lost {
            delivered: Tokens(0),
        },
    }
}

fn count(
    context: &Context,
    request: &PlainRequest,
    arrived_at: TimeMs,
    result: &Result<PlainAnswer, Refusal>,
) {
    let class = &request.offer.class;
    let now = context.now();
    let took_ms = now.since(arrived_at).0;
    let (ended, label) = match result {
        Ok(_) => {
            context.metrics.first_token(class, took_ms as f64 / 1000.0);
            let is_in_target = request.targets.are_met(took_ms, took_ms, 1);
            let ended = Ended::Whole {
                is_in_target,
                is_resumed: false,
                tokens: Tokens(1),
            };
            (ended, if is_in_target { "in_target" } else { "late" })
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            event!(
                Event::RequestRefused,
                request = refusal.request,
                class = class,
                code = refusal.code
            );
            (Ended::Refused, "refused")
        }
        Err(refusal) => {
            event!(
                Event::RequestFailed,
                request = refusal.request,
                class = class,
                code = refusal.code
            );
            (Ended::Cut, "cut")
        }
    };
    context.burn.ended(now, class, ended);
    context.metrics.request_ended(class, label);
}

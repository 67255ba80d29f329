//! One call of a plain service from offer to final answer.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::{ClaimAnswer, KeyedCall};
use crate::modules::serve::keys::{claims, ends};
use crate::modules::serve::observation::burn::RequestEnd;
use crate::modules::serve::pools::homes;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderReceiver;
use crate::modules::serve::requests::engine_state::with_state_of_plain;
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal};
use crate::modules::serve::requests::targets::Targets;
use axum::http::StatusCode;
use bridgevane_adapters::{PlainAnswer, PlainCall, PlainCallError, PlainService};
use bridgevane_coordination::{KeyEnd, StoredAnswer, Verdict};
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, Outcome, RefusalCode, RequestId, TimeMs, Tokens};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What a call needs to run.
pub(crate) struct PlainRequest {
    /// The offer to the pool.
    pub offer: NamedOffer,
    /// The call.
    pub call: PlainCall,
    /// Its key, when it may not be repeated and has one.
    pub key: Option<KeyedCall>,
    /// The class's targets.
    pub targets: Targets,
}

/// Runs a call, at most once for its key. It goes on to its end when the caller goes away: a call
/// that may not be repeated must not be cut.
///
/// # Errors
/// The final answer when there is no result.
pub async fn run(
    context: Arc<Context>,
    request: PlainRequest,
) -> Result<PlainAnswer, CallerRefusal> {
    let _in_progress = context.leaving.begin_request();
    let Some(key) = request.key.clone() else {
        return run_once(&context, request).await;
    };
    let id = request.offer.request;
    match claims::claim(&context, key).await {
        ClaimAnswer::Run(let_run) => {
            let result = run_once(&context, request).await;
            ends::end(&context, &let_run, key_end(&result)).await;
            result
        }
        ClaimAnswer::Not(Verdict::Done(answer)) => Ok(given_again(answer)),
        ClaimAnswer::Not(verdict) => Err(refused_by(id, &verdict)),
    }
}

fn key_end(result: &Result<PlainAnswer, CallerRefusal>) -> KeyEnd {
    match result {
        Ok(answer) => KeyEnd::Done(StoredAnswer {
            status: answer.status.as_u16(),
            // Empty stands for none, and is read so.
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: answer.body.to_vec(),
        }),
        Err(refusal) if refusal.outcome == Outcome::NotRun => KeyEnd::NotRun,
        Err(_) => KeyEnd::Unknown,
    }
}

fn given_again(answer: StoredAnswer) -> PlainAnswer {
    PlainAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: (!answer.content_type.is_empty()).then_some(answer.content_type),
        body: answer.body.into(),
    }
}

/// When a caller may come back whose key can't be remembered. Not measured, chosen because keys are
/// remembered for ten minutes, and some are forgotten every few seconds at the peak.
const KEYS_FULL_RETRY: DurationMs = DurationMs(10_000);

fn refused_by(id: RequestId, verdict: &Verdict) -> CallerRefusal {
    match verdict {
        Verdict::Running => CallerRefusal::bad_request(id, BadRequest::KeyInProgress),
        Verdict::Mismatch => CallerRefusal::bad_request(id, BadRequest::KeyReused),
        Verdict::Full => {
            let retry_after_ms = Some(KEYS_FULL_RETRY);
            CallerRefusal::refused(id, RefusalCode::QueueFull, Outcome::NotRun, retry_after_ms)
        }
        _ => CallerRefusal::refused(id, RefusalCode::OutcomeUnknown, Outcome::Unknown, None),
    }
}

async fn run_once(
    context: &Arc<Context>,
    request: PlainRequest,
) -> Result<PlainAnswer, CallerRefusal> {
    let arrived_at = context.now();
    let (sender, orders) = mpsc::unbounded_channel();
    if !homes::offer(context, request.offer.clone(), sender) {
        let retry_after_ms = Some(RETRY_SOON);
        let code = RefusalCode::QueueFull;
        let id = request.offer.request;
        return Err(CallerRefusal::refused(
            id,
            code,
            Outcome::NotRun,
            retry_after_ms,
        ));
    }
    let result = follow_orders(context, &request, orders).await;
    count(context, &request, arrived_at, &result);
    result
}

async fn follow_orders(
    context: &Arc<Context>,
    request: &PlainRequest,
    mut orders: OrderReceiver,
) -> Result<PlainAnswer, CallerRefusal> {
    let id = request.offer.request;
    let mut has_sent = false;
    while let Some(order) = orders.recv().await {
        match order {
            PoolOrder::Dispatch {
                attempt, engine, ..
            } => {
                let result = engine.plain.call(request.call.clone()).await;
                has_sent |= result != Err(PlainCallError::NotReached);
                let end = with_state_of_plain(&engine, end_of(&result)).await;
                let report = PoolReport::Finished(attempt, end);
                let service = &request.offer.service;
                homes::report(context, service, id, report).await;
                if let Ok(answer) = result {
                    return Ok(answer);
                }
            }
            PoolOrder::Cancel { .. } => {}
            PoolOrder::Refuse {
                code,
                outcome,
                retry_after_ms,
            } => return Err(CallerRefusal::refused(id, code, outcome, retry_after_ms)),
        }
    }
    let outcome = if has_sent {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    Err(CallerRefusal::refused(
        id,
        RefusalCode::NoEngine,
        outcome,
        None,
    ))
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
    result: &Result<PlainAnswer, CallerRefusal>,
) {
    let class = &request.offer.class;
    let now = context.now();
    let took_ms = now.since(arrived_at).0;
    let (ended, label) = match result {
        Ok(_) => {
            context.metrics.first_token(class, took_ms as f64 / 1000.0);
            let is_in_target = request.targets.are_met(took_ms, took_ms, 1);
            let ended = RequestEnd::Whole {
                is_in_target,
                is_resumed: false,
                tokens: Tokens(1),
                first_token_ms: DurationMs(took_ms),
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
            (RequestEnd::Refused, "refused")
        }
        Err(refusal) => {
            event!(
                Event::RequestFailed,
                request = refusal.request,
                class = class,
                code = refusal.code
            );
            (RequestEnd::Cut, "cut")
        }
    };
    context.burn.ended(now, class, ended);
    context.metrics.request_ended(class, label);
}

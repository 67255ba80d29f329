//! Runs one call of a plain service, from its offer to its final answer.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::{ClaimAnswer, KeyedCall};
use crate::modules::serve::keys::{claims, end_reports};
use crate::modules::serve::observation::service_levels::RequestEnd;
use crate::modules::serve::pools::homes;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderReceiver;
use crate::modules::serve::requests::crash_check::with_plain_worker_state;
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal};
use crate::modules::serve::requests::targets::LatencyTargets;
use axum::http::StatusCode;
use bridgevane_adapters::{PlainAnswer, PlainCall, PlainCallError, PlainService};
use bridgevane_client_limits::Reservation;
use bridgevane_coordination::{KeyEnd, StoredAnswer, Verdict};
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, Outcome, RefusalCode, RequestId, TimeMs, Tokens};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A call of a plain service with all that it needs to run.
pub(crate) struct PlainRequest {
    /// The offer to the pool.
    pub offer: NamedOffer,
    /// The call.
    pub call: PlainCall,
    /// The idempotency key of a call that must not be repeated, if it has one.
    pub key: Option<KeyedCall>,
    /// The latency targets of the class.
    pub targets: LatencyTargets,
    /// Given back at the end of the request.
    pub _body_memory: Reservation,
}

/// Runs a call, at most once per idempotency key. The call runs to its end even if the caller
/// disconnects: a call that must not be repeated must not be cut.
///
/// # Errors
/// Returns the refusal that is the final answer when there is no result.
pub async fn run(
    context: Arc<Context>,
    request: PlainRequest,
) -> Result<PlainAnswer, CallerRefusal> {
    let _in_progress = context.leaving.begin_request();
    let Some(key) = request.key.clone() else {
        return offer_and_run(&context, request).await;
    };
    let id = request.offer.request;
    match claims::claim(&context, key).await {
        ClaimAnswer::Granted(granted) => {
            let result = offer_and_run(&context, request).await;
            end_reports::report_end(&context, &granted, key_end(&result)).await;
            result
        }
        ClaimAnswer::Denied(Verdict::Done(answer)) => Ok(replayed_answer(answer)),
        ClaimAnswer::Denied(verdict) => Err(refusal_of_verdict(id, &verdict)),
    }
}

fn key_end(result: &Result<PlainAnswer, CallerRefusal>) -> KeyEnd {
    match result {
        Ok(answer) => KeyEnd::Done(StoredAnswer {
            status: answer.status.as_u16(),
            // An absent content type is stored as an empty text; `replayed_answer` converts it back.
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: answer.body.to_vec(),
        }),
        Err(refusal) if refusal.outcome == Outcome::NotRun => KeyEnd::NotRun,
        Err(_) => KeyEnd::Unknown,
    }
}

fn replayed_answer(answer: StoredAnswer) -> PlainAnswer {
    PlainAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: (!answer.content_type.is_empty()).then_some(answer.content_type),
        body: answer.body.into(),
    }
}

/// The retry time of a call whose key can't be stored. Keys are kept for ten minutes, and at the
/// peak some expire every few seconds.
const KEYS_FULL_RETRY: DurationMs = DurationMs(10_000);

fn refusal_of_verdict(id: RequestId, verdict: &Verdict) -> CallerRefusal {
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

async fn offer_and_run(
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
    record_result(context, &request, arrived_at, &result);
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
                let end = with_plain_worker_state(&engine, attempt_end(&result)).await;
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

fn attempt_end(result: &Result<PlainAnswer, PlainCallError>) -> AttemptEnd {
    match result {
        Ok(_) => AttemptEnd::Done(Tokens(1)),
        Err(PlainCallError::NotReached) => AttemptEnd::NotReached,
        Err(PlainCallError::Unknown) => AttemptEnd::Lost {
            delivered: Tokens(0),
        },
    }
}

fn record_result(
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
            context
                .metrics
                .record_first_token(class, took_ms as f64 / 1000.0);
            let is_in_target = request.targets.are_met(took_ms, took_ms, 1);
            let ended = RequestEnd::Complete {
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
    context.service_levels.count_request(now, class, ended);
    context.metrics.count_request(class, label);
}

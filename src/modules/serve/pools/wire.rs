//! Conversion of offers, orders and reports to and from messages between daemons.

use crate::modules::serve::peers::request_id_wire::{request_bytes, request_of};
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport};
use bridgevane_decisions::AttemptEnd;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    PoolCancel, PoolDispatch, PoolOffer, PoolOrder as WireOrder, PoolRefuse,
    PoolReport as WireReport, pool_order, pool_report,
};
use bridgevane_types::{
    AttemptNumber, DurationMs, Outcome, RefusalCode, RequestId, ServiceName, Tokens,
};

/// Parses a refusal code. An unknown code becomes `OutcomeUnknown`, which claims nothing.
pub(crate) fn parse_refusal_code(text: &str) -> RefusalCode {
    const CODES: [RefusalCode; 9] = [
        RefusalCode::CannotMeetTarget,
        RefusalCode::QueueFull,
        RefusalCode::CustomerLimit,
        RefusalCode::NoEngine,
        RefusalCode::RetriesExhausted,
        RefusalCode::OutcomeUnknown,
        RefusalCode::Leaving,
        RefusalCode::Rejected,
        RefusalCode::EndsEngines,
    ];
    let found = CODES.into_iter().find(|code| code.to_string() == text);
    found.unwrap_or(RefusalCode::OutcomeUnknown)
}

/// Parses an outcome. An unknown text becomes `Unknown`.
pub(crate) fn parse_outcome(text: &str) -> Outcome {
    match text {
        "not-run" => Outcome::NotRun,
        "ran" => Outcome::Ran,
        _ => Outcome::Unknown,
    }
}

/// Converts an order to a frame for the daemon that received its request.
pub(crate) fn order_to_wire(request: RequestId, order: &PoolOrder) -> Body {
    let order = match order {
        PoolOrder::Dispatch {
            attempt,
            engine,
            priority,
            cached_tokens,
        } => pool_order::Order::Dispatch(PoolDispatch {
            attempt: attempt.0,
            engine: engine.name.to_string(),
            priority: u32::from(priority.0),
            resume_from: 0,
            cached_tokens: cached_tokens.0,
        }),
        PoolOrder::Cancel { attempt, cause } => pool_order::Order::Cancel(PoolCancel {
            attempt: attempt.0,
            engine: String::new(),
            cause: *cause as u32,
        }),
        PoolOrder::Refuse {
            code,
            outcome,
            retry_after_ms,
        } => pool_order::Order::Refuse(PoolRefuse {
            code: code.to_string(),
            outcome: outcome.to_string(),
            retry_after_ms: retry_after_ms.map(|retry| retry.0),
        }),
    };
    Body::PoolOrder(WireOrder {
        request: request_bytes(request),
        order: Some(order),
    })
}

/// Converts an offer to a message.
pub(crate) fn offer_to_wire(offer: &NamedOffer) -> PoolOffer {
    PoolOffer {
        service: offer.service.to_string(),
        request: request_bytes(offer.request),
        class: offer.class.to_string(),
        customer: offer.customer.to_string(),
        kind: offer.kind.to_string(),
        prompt_tokens: offer.prompt_tokens.0,
        max_tokens: offer.max_tokens.0,
        blocks: offer.blocks.clone(),
        block_tokens: offer.block_tokens,
        fingerprint: offer.fingerprint.map(Into::into),
        is_repeatable: offer.is_repeatable,
        is_preemptible: offer.is_preemptible,
    }
}

/// Converts a message to an offer; `None` when the message is malformed.
pub(crate) fn offer_from_wire(offer: PoolOffer) -> Option<NamedOffer> {
    Some(NamedOffer {
        request: request_of(&offer.request)?,
        service: ServiceName::new(&offer.service),
        class: offer.class.as_str().into(),
        customer: offer.customer.as_str().into(),
        kind: offer.kind.as_str().into(),
        prompt_tokens: Tokens(offer.prompt_tokens),
        max_tokens: Tokens(offer.max_tokens),
        blocks: offer.blocks,
        block_tokens: offer.block_tokens,
        fingerprint: offer.fingerprint.map(Into::into),
        is_repeatable: offer.is_repeatable,
        is_preemptible: offer.is_preemptible,
    })
}

/// Converts a report to a message.
pub(crate) fn report_to_wire(
    service: &ServiceName,
    request: RequestId,
    report: PoolReport,
) -> WireReport {
    use pool_report::Report;
    let (attempt, message, gap_ms) = match report {
        PoolReport::FirstToken(attempt) => (attempt, Report::FirstToken(true), 0),
        PoolReport::Progress(attempt, delivered, gap_ms) => {
            (attempt, Report::Progress(delivered.0), gap_ms.0)
        }
        PoolReport::Finished(attempt, end) => {
            let report = match end {
                AttemptEnd::Done(tokens) => Report::Done(tokens.0),
                AttemptEnd::NotReached => Report::NotReached(true),
                AttemptEnd::Unavailable => Report::Unavailable(true),
                AttemptEnd::Rejected => Report::Rejected(true),
                AttemptEnd::Lost { delivered } | AttemptEnd::EngineCrashed { delivered } => {
                    Report::Lost(delivered.0)
                }
                AttemptEnd::CallerGone => Report::CallerGone(true),
            };
            (attempt, report, 0)
        }
    };
    let has_engine_ended = matches!(
        report,
        PoolReport::Finished(_, AttemptEnd::EngineCrashed { .. })
    );
    WireReport {
        has_engine_ended,
        service: service.to_string(),
        request: request_bytes(request),
        attempt: attempt.0,
        gap_ms,
        report: Some(message),
    }
}

/// Converts a message to a report; `None` when the message is malformed.
pub(crate) fn report_from_wire(report: &WireReport) -> Option<PoolReport> {
    use pool_report::Report;
    let attempt = AttemptNumber(report.attempt);
    let finished = |end| PoolReport::Finished(attempt, end);
    Some(match report.report.as_ref()? {
        Report::FirstToken(_) => PoolReport::FirstToken(attempt),
        Report::Progress(delivered) => {
            PoolReport::Progress(attempt, Tokens(*delivered), DurationMs(report.gap_ms))
        }
        Report::Done(tokens) => finished(AttemptEnd::Done(Tokens(*tokens))),
        Report::NotReached(_) => finished(AttemptEnd::NotReached),
        Report::Unavailable(_) => finished(AttemptEnd::Unavailable),
        Report::Rejected(_) => finished(AttemptEnd::Rejected),
        Report::Lost(delivered) => {
            let delivered = Tokens(*delivered);
            finished(if report.has_engine_ended {
                AttemptEnd::EngineCrashed { delivered }
            } else {
                AttemptEnd::Lost { delivered }
            })
        }
        Report::CallerGone(_) => finished(AttemptEnd::CallerGone),
    })
}

//! The HTTP answer of a model call: one JSON object, or server-sent events.

use crate::modules::serve::requests::chat_format::AnswerFormat;
use crate::modules::serve::requests::model_request::CallerEvent;
use crate::modules::serve::requests::refusal::{CallerRefusal, header_value};
use axum::Json;
use axum::body::{Body, Bytes};
use axum::response::{IntoResponse, Response};
use bridgevane_adapters::EndReason;
use bridgevane_types::{Outcome, RefusalCode, Tokens};
use futures_util::{Stream, StreamExt, stream};
use serde_json::Value;
use std::convert::Infallible;
use tokio::sync::mpsc;

/// Collects the complete answer and returns it as one JSON object.
pub(super) async fn json_answer(
    format: AnswerFormat,
    mut answers: mpsc::Receiver<CallerEvent>,
) -> Response {
    let mut text = String::new();
    while let Some(event) = answers.recv().await {
        match event {
            CallerEvent::Text(chunk) => text.push_str(&chunk),
            CallerEvent::End(reason, tokens) => {
                let id = header_value(&format.request.to_string());
                let headers = [("x-request-id", id)];
                return (headers, Json(format.complete_answer(&text, reason, tokens)))
                    .into_response();
            }
            CallerEvent::Refused(refusal) => return refusal.into_response(),
        }
    }
    let code = RefusalCode::RetriesExhausted;
    CallerRefusal::refused(format.request, code, Outcome::Unknown, None).into_response()
}

/// Returns the answer as server-sent events. The HTTP status waits for the first event, so that a
/// refusal is sent with its own status.
pub(super) async fn stream_answer(
    format: AnswerFormat,
    includes_usage: bool,
    mut answers: mpsc::Receiver<CallerEvent>,
) -> Response {
    let first = match answers.recv().await {
        Some(CallerEvent::Refused(refusal)) => return refusal.into_response(),
        Some(first) => first,
        None => {
            let code = RefusalCode::RetriesExhausted;
            let refusal = CallerRefusal::refused(format.request, code, Outcome::Unknown, None);
            return refusal.into_response();
        }
    };
    let headers = [
        ("x-request-id", header_value(&format.request.to_string())),
        ("content-type", header_value("text/event-stream")),
        ("cache-control", header_value("no-cache")),
    ];
    let events = stream_events(format, includes_usage, first, answers);
    (headers, Body::from_stream(events)).into_response()
}

/// The maximum number of chunks that are sent to the caller in one write. It bounds the memory of
/// one connection.
const MAX_BATCH: usize = 64;

/// Encodes the events as a byte stream. All events that are ready go out in one write: a caller
/// that reads more slowly than the engine generates doesn't cost one write per token.
fn stream_events(
    format: AnswerFormat,
    includes_usage: bool,
    first: CallerEvent,
    answers: mpsc::Receiver<CallerEvent>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    let begin = (answers, vec![first]);
    let batches = stream::unfold(begin, |(mut answers, mut batch)| async move {
        if batch.is_empty() && answers.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return None;
        }
        while batch.len() < MAX_BATCH {
            let Ok(ready) = answers.try_recv() else {
                break;
            };
            batch.push(ready);
        }
        Some((batch, (answers, Vec::new())))
    });
    let mut is_first = true;
    batches.map(move |batch| {
        let mut text = String::new();
        for event in batch {
            let was_first = std::mem::replace(&mut is_first, false);
            text.push_str(&event_text(&format, includes_usage, event, was_first));
        }
        Ok(Bytes::from(text))
    })
}

fn event_text(
    format: &AnswerFormat,
    includes_usage: bool,
    event: CallerEvent,
    is_first: bool,
) -> String {
    match event {
        CallerEvent::Text(text) => sse_event(&format.chunk(&text, is_first)),
        CallerEvent::End(reason, tokens) => final_events(format, includes_usage, reason, tokens),
        // The answer has begun: an error event replaces the rest, and no `[DONE]` follows.
        CallerEvent::Refused(refusal) => sse_event(&refusal.error_object()),
    }
}

fn final_events(
    format: &AnswerFormat,
    includes_usage: bool,
    reason: EndReason,
    tokens: Tokens,
) -> String {
    let mut text = sse_event(&format.finish_chunk(reason));
    if includes_usage {
        text.push_str(&sse_event(&format.usage_chunk(tokens)));
    }
    text.push_str("data: [DONE]\n\n");
    text
}

fn sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

//! The answer of a model call as its caller reads it: one JSON object, or server-sent events.

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

/// A whole answer in one JSON object.
pub(super) async fn whole_answer(
    format: AnswerFormat,
    mut answers: mpsc::Receiver<CallerEvent>,
) -> Response {
    let mut text = String::new();
    while let Some(event) = answers.recv().await {
        match event {
            CallerEvent::Text(piece) => text.push_str(&piece),
            CallerEvent::End(reason, tokens) => {
                let id = header_value(&format.request.to_string());
                let headers = [("x-request-id", id)];
                return (headers, Json(format.whole(&text, reason, tokens))).into_response();
            }
            CallerEvent::Refused(refusal) => return refusal.into_response(),
        }
    }
    let code = RefusalCode::RetriesExhausted;
    CallerRefusal::refused(format.request, code, Outcome::Unknown, None).into_response()
}

/// An answer as server-sent events. The status waits for the first event, so that a refusal
/// has a status of its own.
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

/// Pieces that are sent to the caller in one write at most. Not measured, chosen because it bounds
/// the memory of one connection.
const MAX_BATCH: usize = 64;

/// Whatever is ready goes out in one write: a caller that reads slower than the engine writes
/// costs no write a token.
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
        CallerEvent::Text(text) => data(&format.piece(&text, is_first)),
        CallerEvent::End(reason, tokens) => last_events(format, includes_usage, reason, tokens),
        // The answer has begun: the error comes in its place, and no `[DONE]` follows.
        CallerEvent::Refused(refusal) => data(&refusal.error_object()),
    }
}

fn last_events(
    format: &AnswerFormat,
    includes_usage: bool,
    reason: EndReason,
    tokens: Tokens,
) -> String {
    let mut text = data(&format.last_piece(reason));
    if includes_usage {
        text.push_str(&data(&format.usage_piece(tokens)));
    }
    text.push_str("data: [DONE]\n\n");
    text
}

fn data(value: &Value) -> String {
    format!("data: {value}\n\n")
}

//! The callers' HTTP interface.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::KeyedCall;
use crate::modules::serve::pools::messages::NamedOffer;
use crate::modules::serve::requests::caller::{identify, read_body};
use crate::modules::serve::requests::chat_format::{AnswerFormat, ModelCall, Shape};
use crate::modules::serve::requests::model_request::{self, CallerEvent, ModelRequest};
use crate::modules::serve::requests::plain_request::{self, PlainRequest};
use crate::modules::serve::requests::refusal::{BadRequest, Refusal, header_value};
use crate::modules::serve::requests::targets::Targets;
use axum::body::{Body, Bytes};
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use bridgevane_adapters::{EndReason, PlainCall};
use bridgevane_config::{ClassConfig, ServiceKind};
use bridgevane_types::{IdempotencyKey, Outcome, RefusalCode, ServiceName, Tokens};
use futures_util::{Stream, StreamExt, stream};
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Characters that count as one prompt token before the engine has counted. Not measured, chosen because it is the
/// usual rule of thumb for English text; engines count exactly.
const CHARS_PER_TOKEN: u64 = 4;
/// Characters of a prefix block, as the engines cut prompts. Chosen because it is 16 tokens of 4 characters.
const BLOCK_CHARS: usize = 64;
/// Prompt tokens of a prefix block. From the engines' usual block size.
const BLOCK_TOKENS: u32 = 16;
/// Blocks that are sent with an offer at most; a longer prompt is thinned out. Not measured, chosen because the
/// first 256 tokens tell prompts of one customer apart.
const MAX_BLOCKS: usize = 16;

/// The callers' routes.
pub fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completion))
        .route("/v1/models", get(models))
        .route("/svc/{service}/{*path}", any(plain))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(context)
}

async fn ready(State(context): State<Arc<Context>>) -> (StatusCode, &'static str) {
    if context.leaving.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    if !context.replica.may_serve() {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration");
    }
    (StatusCode::OK, "ready")
}

async fn metrics(State(context): State<Arc<Context>>) -> String {
    context.metrics.page()
}

fn targets(class: &ClassConfig) -> Targets {
    Targets {
        first_token_ms: class.first_token_target_ms,
        between_tokens_ms: class.between_tokens_target_ms,
    }
}

/// Hashes of the prompt's prefixes, and the tokens that one stands for. A long prompt keeps
/// every n-th block, so that an offer stays small; the hash of a block covers all text before
/// its end. The step is a power of two: prompts of unlike lengths meet at the larger one's
/// blocks.
pub fn prefix_blocks(prompt: &str) -> (Vec<u64>, u32) {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_CHARS;
    let step = count.div_ceil(MAX_BLOCKS).max(1).next_power_of_two();
    let hash = |block: usize| xxh3_64(&bytes[..block * BLOCK_CHARS]);
    let blocks = (1..=count / step).map(|at| hash(at * step)).collect();
    (blocks, BLOCK_TOKENS * step as u32)
}

async fn chat(State(context): State<Arc<Context>>, request: Request) -> Response {
    answer_model(context, Shape::Chat, request).await
}

async fn completion(State(context): State<Arc<Context>>, request: Request) -> Response {
    answer_model(context, Shape::Completion, request).await
}

async fn answer_model(context: Arc<Context>, shape: Shape, request: Request) -> Response {
    match start_model(&context, shape, request).await {
        Ok((format, call, answers)) if call.is_streaming() => {
            stream_answer(format, call.includes_usage(), answers).await
        }
        Ok((format, _, answers)) => whole_answer(format, answers).await,
        Err(refusal) => refusal.into_response(),
    }
}

/// Checks a model call and starts it.
async fn start_model(
    context: &Arc<Context>,
    shape: Shape,
    request: Request,
) -> Result<(AnswerFormat, ModelCall, mpsc::Receiver<CallerEvent>), Refusal> {
    let (head, body) = request.into_parts();
    let caller = identify(context, &head.headers)?;
    let (kind, class) = caller.kind(&head.headers)?;
    let class_config = caller.class(&class)?;
    let body = read_body(context, caller.request, body).await?;
    let parsed = ModelCall::parse(shape, &body);
    let call = parsed.ok_or_else(|| caller.bad(BadRequest::MalformedBody))?;
    let served = caller
        .in_force
        .document
        .service_of_model(call.model.as_str());
    let (service, _) = served.ok_or_else(|| caller.bad(BadRequest::UnknownModel))?;
    let prompt = call.prompt_text(shape);
    let prompt_tokens = Tokens((prompt.len() as u64).div_ceil(CHARS_PER_TOKEN).max(1));
    let (blocks, block_tokens) = prefix_blocks(&prompt);
    let offer = NamedOffer {
        service: service.clone(),
        request: caller.request,
        class,
        customer: caller.customer.clone(),
        kind,
        prompt_tokens,
        max_tokens: call.max_tokens(context.config.serving.default_max_tokens),
        blocks,
        block_tokens,
        is_repeatable: true,
        is_preemptible: true,
    };
    let format = AnswerFormat {
        shape,
        request: caller.request,
        model: call.model.clone(),
        created_s: seconds_since_epoch(),
        prompt_tokens,
    };
    let model_request = ModelRequest {
        offer,
        model: call.model.clone(),
        prompt,
        targets: targets(class_config),
    };
    let answers = model_request::spawn(context.clone(), model_request);
    Ok((format, call, answers))
}

fn seconds_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

/// A whole answer in one JSON object.
async fn whole_answer(format: AnswerFormat, mut answers: mpsc::Receiver<CallerEvent>) -> Response {
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
    Refusal::refused(format.request, code, Outcome::Unknown, None).into_response()
}

/// An answer as server-sent events. The status waits for the first event, so that a refusal
/// has a status of its own.
async fn stream_answer(
    format: AnswerFormat,
    includes_usage: bool,
    mut answers: mpsc::Receiver<CallerEvent>,
) -> Response {
    let first = match answers.recv().await {
        Some(CallerEvent::Refused(refusal)) => return refusal.into_response(),
        Some(first) => first,
        None => {
            let code = RefusalCode::RetriesExhausted;
            let refusal = Refusal::refused(format.request, code, Outcome::Unknown, None);
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

/// Pieces that are sent to the caller in one write at most. Not measured, chosen because it bounds the memory of
/// one connection.
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

async fn models(State(context): State<Arc<Context>>, request: Request) -> Response {
    let caller = match identify(&context, request.headers()) {
        Ok(caller) => caller,
        Err(refusal) => return refusal.into_response(),
    };
    let services = caller.in_force.document.service.values();
    let entry =
        |model| json!({ "id": model, "object": "model", "created": 0, "owned_by": "bridgevane" });
    let models: Vec<Value> = services.flat_map(|s| s.models.iter()).map(entry).collect();
    Json(json!({ "object": "list", "data": models })).into_response()
}

async fn plain(
    State(context): State<Arc<Context>>,
    Path((service, path)): Path<(ServiceName, String)>,
    request: Request,
) -> Response {
    match answer_plain(&context, service, path, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(),
    }
}

/// Tells calls under the same idempotency key apart.
fn call_digest(call: &PlainCall) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.body);
    hasher.digest()
}

fn text_header(headers: &HeaderMap, name: header::HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

async fn answer_plain(
    context: &Arc<Context>,
    service: ServiceName,
    path: String,
    request: Request,
) -> Result<Response, Refusal> {
    let (head, body) = request.into_parts();
    let caller = identify(context, &head.headers)?;
    let config = caller.in_force.document.service.get(&service);
    let config = config
        .filter(|config| config.kind == ServiceKind::Plain)
        .ok_or_else(|| caller.bad(BadRequest::UnknownService))?;
    let path = format!("/{path}");
    let route = config.route_of(&path);
    let route = route.ok_or_else(|| caller.bad(BadRequest::UnknownRoute))?;
    let class_config = caller.class(&route.class)?;
    let body = read_body(context, caller.request, body).await?;
    let query = head.uri.query().map(|query| format!("?{query}"));
    let idempotency_key = head
        .headers
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .map(IdempotencyKey::from);
    let call = PlainCall {
        request: caller.request,
        method: head.method,
        path: path + &query.unwrap_or_default(),
        idempotency_key,
        content_type: text_header(&head.headers, header::CONTENT_TYPE),
        body,
    };
    let offer = NamedOffer {
        service,
        request: caller.request,
        class: route.class.clone(),
        customer: caller.customer.clone(),
        kind: caller.default_kind.clone(),
        prompt_tokens: Tokens(0),
        max_tokens: Tokens(1),
        blocks: Vec::new(),
        block_tokens: 0,
        is_repeatable: route.repeatable,
        is_preemptible: false,
    };
    let key = call.idempotency_key.clone().filter(|_| !route.repeatable);
    let key = key.map(|key| KeyedCall {
        service: offer.service.clone(),
        customer: caller.customer.clone(),
        key,
        request: caller.request,
        call_digest: call_digest(&call),
    });
    let plain_request = PlainRequest {
        offer,
        call,
        key,
        targets: targets(class_config),
    };
    // In a task of its own: a caller that goes away must not cut the call.
    let running = tokio::spawn(plain_request::run(context.clone(), plain_request));
    let unknown = || {
        let code = RefusalCode::OutcomeUnknown;
        Refusal::refused(caller.request, code, Outcome::Unknown, None)
    };
    let answer = running.await.map_err(|_| unknown())??;
    let mut response = (answer.status, answer.body).into_response();
    let headers = response.headers_mut();
    headers.remove(header::CONTENT_TYPE);
    if let Some(content_type) = &answer.content_type {
        headers.insert(header::CONTENT_TYPE, header_value(content_type));
    }
    headers.insert("x-request-id", header_value(&caller.request.to_string()));
    headers.insert(
        "x-bridgevane-outcome",
        header_value(&Outcome::Ran.to_string()),
    );
    Ok(response)
}

//! The routes of the callers' HTTP interface, and the handlers of the short ones.

use crate::modules::serve::context::Context;
use crate::modules::serve::requests::caller::identify;
use crate::modules::serve::requests::chat_format::ModelApi;
use crate::modules::serve::requests::model_answer::{json_answer, stream_answer};
use crate::modules::serve::requests::model_call::start_model;
use crate::modules::serve::requests::plain_call::answer_plain;
use axum::extract::{Path, Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use bridgevane_types::ServiceName;
use serde_json::{Value, json};
use std::sync::Arc;

/// Returns the router of the callers' HTTP interface.
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

async fn chat(State(context): State<Arc<Context>>, request: Request) -> Response {
    answer_model(context, ModelApi::Chat, request).await
}

async fn completion(State(context): State<Arc<Context>>, request: Request) -> Response {
    answer_model(context, ModelApi::Completion, request).await
}

async fn answer_model(context: Arc<Context>, api: ModelApi, request: Request) -> Response {
    match start_model(&context, api, request).await {
        Ok((format, call, answers)) if call.is_streaming() => {
            stream_answer(format, call.includes_usage(), answers).await
        }
        Ok((format, _, answers)) => json_answer(format, answers).await,
        Err(refusal) => refusal.into_response(),
    }
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

//! Checks a call of a plain service, runs it and returns its answer.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::KeyedCall;
use crate::modules::serve::pools::messages::NamedOffer;
use crate::modules::serve::requests::caller::{Caller, identify, read_body};
use crate::modules::serve::requests::plain_request::{self, PlainRequest};
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal, header_value};
use crate::modules::serve::requests::targets::LatencyTargets;
use axum::body::Bytes;
use axum::extract::Request;
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, header};
use axum::response::{IntoResponse, Response};
use bridgevane_adapters::{PlainAnswer, PlainCall};
use bridgevane_config::{RouteConfig, ServiceKind};
use bridgevane_types::{
    IdempotencyKey, Outcome, RefusalCode, RequestFingerprint, RequestId, ServiceName, Tokens,
};
use std::sync::Arc;

/// The header with which a caller makes a call safe to retry.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns a digest that distinguishes calls with the same idempotency key.
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
    // A header that isn't visible ASCII is treated as absent.
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Checks a call, runs it and returns its answer.
pub(super) async fn answer_plain(
    context: &Arc<Context>,
    service: ServiceName,
    path: String,
    request: Request,
) -> Result<Response, CallerRefusal> {
    let (head, body) = request.into_parts();
    let caller = identify(context, &head.headers)?;
    let path = format!("/{path}");
    let (route, targets) = route_of(&caller, &service, &path)?;
    let (body, body_memory) = read_body(context, caller.request, &head, body).await?;
    let call = plain_call(&caller, head, &path, body);
    let key = call.idempotency_key.clone().filter(|_| !route.repeatable);
    let key = key.map(|key| KeyedCall {
        service: service.clone(),
        customer: caller.customer.clone(),
        key,
        request: caller.request,
        call_digest: call_digest(&call),
    });
    let plain_request = PlainRequest {
        offer: offer(&caller, service, &route, &call),
        call,
        key,
        targets,
        _body_memory: body_memory,
    };
    // The call runs in its own task: a caller that disconnects must not cut it.
    let running = tokio::spawn(plain_request::run(context.clone(), plain_request));
    let unknown = || {
        let code = RefusalCode::OutcomeUnknown;
        CallerRefusal::refused(caller.request, code, Outcome::Unknown, None)
    };
    let answer = running.await.map_err(|_| unknown())??;
    Ok(response(caller.request, answer))
}

/// Returns the route for a path of a plain service, and the latency targets of its class.
fn route_of(
    caller: &Caller,
    service: &ServiceName,
    path: &str,
) -> Result<(RouteConfig, LatencyTargets), CallerRefusal> {
    let config = caller.in_force.document.service.get(service);
    let config = config
        .filter(|config| config.kind == ServiceKind::Plain)
        .ok_or_else(|| caller.bad_request(BadRequest::UnknownService))?;
    let route = config.route_of(path);
    let route = route.ok_or_else(|| caller.bad_request(BadRequest::UnknownRoute))?;
    let targets = LatencyTargets::of_class(caller.class_config(&route.class)?);
    Ok((route.clone(), targets))
}

fn plain_call(caller: &Caller, head: Parts, path: &str, body: Bytes) -> PlainCall {
    let query = head.uri.query().map(|query| format!("?{query}"));
    let key = text_header(&head.headers, IDEMPOTENCY_KEY);
    PlainCall {
        request: caller.request,
        // Without a query nothing is added to the path.
        path: format!("{path}{}", query.as_deref().unwrap_or("")),
        idempotency_key: key.map(|key| IdempotencyKey::from(key.as_str())),
        content_type: text_header(&head.headers, header::CONTENT_TYPE),
        method: head.method,
        body,
    }
}

fn offer(
    caller: &Caller,
    service: ServiceName,
    route: &RouteConfig,
    call: &PlainCall,
) -> NamedOffer {
    let method = call.method.as_str();
    let fingerprint =
        RequestFingerprint::new(Some(&caller.customer), method, &call.path, &call.body);
    NamedOffer {
        service,
        request: caller.request,
        class: route.class.clone(),
        customer: caller.customer.clone(),
        kind: caller.default_kind.clone(),
        prompt_tokens: Tokens(0),
        max_tokens: Tokens(1),
        blocks: Vec::new(),
        block_tokens: 0,
        fingerprint: Some(fingerprint),
        is_repeatable: route.repeatable,
        is_preemptible: false,
    }
}

fn response(request: RequestId, answer: PlainAnswer) -> Response {
    let mut response = (answer.status, answer.body).into_response();
    let headers = response.headers_mut();
    headers.remove(header::CONTENT_TYPE);
    if let Some(content_type) = &answer.content_type {
        headers.insert(header::CONTENT_TYPE, header_value(content_type));
    }
    let outcome = Outcome::Ran.to_string();
    headers.insert("x-request-id", header_value(&request.to_string()));
    headers.insert("x-bridgevane-outcome", header_value(&outcome));
    response
}

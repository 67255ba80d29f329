//! Admission: a request is read as a whole and checked before anything is passed on.

use crate::control::routing::{Route, RoutingTable};
use crate::gateway::Gateway;
use crate::requests::inbound::{self as request, Inbound};
use crate::requests::refusal::Refusal;
use bridgevane_types::ServiceName;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// How long a request waits for a daemon that starts.
const START_LIMIT: Duration = Duration::from_millis(500);
/// The part of a client's time that it may wait so.
const START_SHARE: f64 = 0.25;

/// Reads and checks a request.
///
/// # Errors
/// The final answer when it may not be passed on.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    arrived: Instant,
    request: Request<Incoming>,
) -> Result<Inbound, Refusal> {
    let names = &gateway.header_names;
    let (head, body) = request.into_parts();
    await_start(gateway, &head.headers).await;
    let table = gateway.control.routing_table().ok_or(Refusal::NotReady)?;
    // What is refused for good must be refused by the newest configuration.
    if !gateway.control.is_fresh() {
        return Err(Refusal::NotReady);
    }
    let host = request::host(&head.uri, &head.headers).ok_or(Refusal::NoRoute)?;
    let route = table.route(&host, head.uri.path());
    let route = route.cloned().ok_or(Refusal::NoRoute)?;
    let customer = match request::key(names, &head.headers) {
        _ if route.is_public || !table.needs_keys() => None,
        None => return Err(Refusal::UnknownKey),
        Some(key) => Some(table.customer(key).cloned().ok_or(Refusal::UnknownKey)?),
    };
    let id = request::identifier(names, &head.headers)?;
    let path = head.uri.path_and_query().cloned();
    let path = path.ok_or(Refusal::Malformed)?;
    let client_ms = request::number(&head.headers, &names.deadline_ms);
    let longest = route.timeout_ms.as_std();
    let held = client_ms.map_or(longest, |ms| longest.min(Duration::from_millis(ms)));
    let deadline = arrived + held;
    let prompt = if route.has_prompt_parts {
        request::prompt(names, &head.headers)
    } else {
        Default::default()
    };
    let body = read_body(gateway, &table, &head.headers, deadline, body).await?;
    let service = draw_service(&route);
    let urgency = table.urgencies().of(customer.as_deref(), &route);
    Ok(Inbound {
        arrived,
        deadline,
        id,
        method: head.method,
        path,
        headers: request::passed_on(names, head.headers),
        body,
        is_least_urgent: table.urgencies().is_least(urgency, &service),
        urgency,
        service,
        route,
        customer,
        prompt,
    })
}

/// Waits a little on a daemon that has only just started and knows nothing yet: it will in a
/// moment, and a client that comes back after a refusal may do so only once.
async fn await_start(gateway: &Gateway, headers: &HeaderMap) {
    let has_begun = || gateway.control.proved_at().is_some();
    if has_begun() {
        return;
    }
    let client_ms = request::number(headers, &gateway.header_names.deadline_ms);
    let patience = client_ms.map(|ms| Duration::from_millis(ms).mul_f64(START_SHARE));
    let limit = patience.map_or(START_LIMIT, |patience| patience.min(START_LIMIT));
    let mut progress = gateway.control.progress();
    // Whoever waits in vain is told to come back.
    let _ = timeout(limit, progress.wait_for(|_| has_begun())).await;
}

async fn read_body(
    gateway: &Gateway,
    table: &RoutingTable,
    headers: &HeaderMap,
    deadline: Instant,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = table.limits().body_bytes.0;
    let announced = request::number(headers, &CONTENT_LENGTH).unwrap_or(0);
    if announced > limit {
        return Err(Refusal::BodyTooLarge);
    }
    let held = gateway.buffered_bytes.get();
    if held + announced > gateway.settings.max_buffered_bytes.0 {
        return Err(Refusal::MemoryFull);
    }
    let reading = Limited::new(body, limit as usize).collect();
    match timeout_at(deadline, reading).await {
        Err(_) => Err(Refusal::BodyTimeout),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::BodyTooLarge)
        }
        Ok(Err(_)) => Err(Refusal::BodyBroken),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

/// Draws a service by the weights of the route's targets.
fn draw_service(route: &Route) -> ServiceName {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut at = if total > 0 {
        rand::rng().random_range(0..total)
    } else {
        0
    };
    for target in &route.targets {
        if at < target.weight {
            return target.service.clone();
        }
        at -= target.weight;
    }
    route.targets[0].service.clone()
}

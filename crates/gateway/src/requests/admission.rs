//! Admission: reads and checks a whole request before any of it is forwarded.
//!
//! The rules are in [`crate::decisions::admission`]; this module gathers their inputs in order: a
//! recent configuration, the route, the key, the identifier, the deadline, the body.

use crate::control::routing_table::RoutingTable;
use crate::decisions::admission::refusal::RefusalReason;
use crate::decisions::admission::{freshness, traffic_split};
use crate::decisions::forwarding::RequestOrigin;
use crate::gateway::Gateway;
use crate::prompt::Prompt;
use crate::requests::inbound::InboundRequest;
use crate::requests::request_headers as decode;
use crate::route::{Customer, Route};
use bridgevane_client_limits::{BodyRequest, read_body};
use bridgevane_types::{Bytes as ByteCount, DurationMs, ServiceName};
use http::header::{AUTHORIZATION, EXPECT};
use http::{HeaderMap, HeaderValue, Request};
use http_body::Body;
use hyper::body::Incoming;
use rand::RngExt;
use std::sync::{Arc, OnceLock};
use tokio::time::{Instant, timeout};

/// Reads and checks a request.
///
/// # Errors
/// The reason for the daemon's refusal if the request may not be forwarded.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    arrived: Instant,
    origin: RequestOrigin,
    request: Request<Incoming>,
) -> Result<InboundRequest, RefusalReason> {
    let arrived_at = gateway.clock.now();
    let names = &gateway.header_names;
    let (head, body) = request.into_parts();
    let headers = gateway.client_headers(&head.headers);
    let client_timeout = decode::client_timeout(names, &headers);
    wait_for_first_proof(gateway, client_timeout).await;
    let UsableTable { table, denials } = usable_table(gateway)?;
    let host = decode::host(&head.uri, &head.headers).ok_or(RefusalReason::NoRoute)?;
    let route = table.route(&host, head.uri.path()).cloned();
    let route = route.ok_or_else(|| denials.reason(RefusalReason::NoRoute))?;
    let customer = customer(gateway, &table, &route, &head.headers)
        .map_err(|reason| denials.reason(reason))?;
    let id = decode::identifier(names, &head.headers)?;
    let path = head.uri.path_and_query().cloned();
    let path = path.ok_or(RefusalReason::Malformed)?;
    let allowed = route_timeout(&route, client_timeout);
    let deadline = arrived + allowed.as_std();
    let prompt = if route.has_prompt_parts {
        decode::prompt(names, &headers)
    } else {
        Prompt::default()
    };
    let wanted = BodyRequest {
        announced: body.size_hint().exact().map(ByteCount),
        max_body: table.limits().body_bytes,
        deadline,
        awaits_continue: head.headers.contains_key(EXPECT),
        connection: head.extensions.get().cloned(),
    };
    let body = read_body(&gateway.body_memory, wanted, body)
        .await
        .map_err(|error| denials.reason(error.into()))?;
    let service = draw_service(&route);
    let key = key_header(&head.headers);
    let taken_up = route
        .is_resumable()
        .then(|| decode::taken_up(names, origin, &head.headers));
    let priority = table.priorities().priority(customer.as_deref(), &route);
    Ok(InboundRequest {
        arrived,
        deadline,
        deadline_at: arrived_at + allowed,
        clock: gateway.clock,
        id,
        method: head.method,
        path,
        origin,
        headers: decode::forwarded(names, head.headers),
        key,
        taken_up: taken_up.flatten(),
        body,
        is_lowest_priority: table.priorities().is_lowest(priority, &service),
        priority,
        service,
        route,
        customer,
        prompt,
        fingerprint: OnceLock::new(),
    })
}

/// Waits for a limited time until a daemon that has just started has its first proof.
async fn wait_for_first_proof(gateway: &Gateway, client_timeout: Option<DurationMs>) {
    let has_proof = || gateway.control.proved_at().is_some();
    if has_proof() {
        return;
    }
    let limit = freshness::startup_wait(client_timeout);
    let mut progress = gateway.control.progress();
    // On a timeout the caller's freshness check refuses the request.
    let _ = timeout(limit, progress.wait_for(|_| has_proof())).await;
}

/// A routing table that is recent enough to act on.
struct UsableTable {
    table: Arc<RoutingTable>,
    denials: Denials,
}

/// Whether a routing table may deny requests. A newer proof, such as one that arrives while a body is
/// read, says nothing of an older table.
#[derive(Clone, Copy)]
struct Denials {
    are_allowed: bool,
}

impl Denials {
    /// Returns the reason to refuse a request: `NotReady` in place of one that is final for the client
    /// and may be wrong by a newer configuration.
    fn reason(self, reason: RefusalReason) -> RefusalReason {
        if self.are_allowed || !reason.depends_on_configuration() {
            return reason;
        }
        RefusalReason::NotReady
    }
}

/// Returns the routing table if it is recent enough to act on.
fn usable_table(gateway: &Gateway) -> Result<UsableTable, RefusalReason> {
    let freshness = gateway.control.freshness();
    let table = gateway.control.routing_table();
    let table = table.ok_or(RefusalReason::NotReady)?;
    if !freshness.may_serve() {
        return Err(RefusalReason::NotReady);
    }
    Ok(UsableTable {
        table,
        denials: Denials {
            are_allowed: freshness.may_deny(),
        },
    })
}

/// Returns the customer of the request's key; `None` if no key is needed.
fn customer(
    gateway: &Gateway,
    table: &RoutingTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, RefusalReason> {
    if route.is_public || !table.needs_keys() {
        return Ok(None);
    }
    let key = decode::key(&gateway.header_names, headers).ok_or(RefusalReason::UnknownKey)?;
    let customer = table.customer(key).cloned();
    customer.map(Some).ok_or(RefusalReason::UnknownKey)
}

/// Returns the header with the key, for another daemon that may have to check it.
fn key_header(headers: &HeaderMap) -> Option<HeaderValue> {
    let mut key = headers.get(AUTHORIZATION).cloned()?;
    key.set_sensitive(true);
    Some(key)
}

/// Returns the shorter of the route's and the client's timeout.
fn route_timeout(route: &Route, client_timeout: Option<DurationMs>) -> DurationMs {
    client_timeout.map_or(route.timeout_ms, |timeout| timeout.min(route.timeout_ms))
}

/// Draws one of the route's services at random, by the targets' weights.
fn draw_service(route: &Route) -> ServiceName {
    let weights = || route.targets.iter().map(|target| target.weight);
    let total = traffic_split::total(weights());
    let point = if total > 0 {
        rand::rng().random_range(0..total)
    } else {
        0
    };
    let position = traffic_split::position(weights(), point);
    route.targets[position].service.clone()
}

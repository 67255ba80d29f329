//! Handles one request, from its head to the answer that the client reads or the daemon's own
//! refusal.
//!
//! Owns the guard that counts a request until the answer has ended.

use crate::decisions::admission::refusal::{Refusal, RefusalReason};
use crate::decisions::forwarding::RequestOrigin;
use crate::forwarding;
use crate::gateway::Gateway;
use crate::header_names::HeaderNames;
use crate::requests::admission::admit;
use crate::requests::answer_body::{AnswerBody, StreamError};
use crate::requests::answer_framing::{self, SentBody};
use crate::requests::exchange::{Exchange, PlainAnswer};
use crate::requests::inbound::InboundRequest;
use crate::requests::relay::Relay;
use crate::requests::request_headers::remove_hop_by_hop;
use crate::requests::try_counts::{ClientTry, TryOutcome};
use bridgevane_events::{Event, event};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Method, Request, Response, response};
use http_body::{Body, Frame};
use http_body_util::{Full, StreamBody};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::Instant;

/// Who sends the requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A client.
    Client,
    /// Another daemon, which forwards its clients' requests.
    Daemon,
}

impl Caller {
    /// Returns where a request with these headers came from.
    fn origin(self, headers: &HeaderMap) -> RequestOrigin {
        match self {
            Self::Client => RequestOrigin::Client,
            Self::Daemon => RequestOrigin::Daemon {
                runs: forwarding::headers::runs(headers),
                attempts: forwarding::headers::attempts(headers),
            },
        }
    }
}

/// Handles one request and returns the answer for the caller.
pub(crate) async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<impl Body<Data = Bytes, Error = StreamError> + use<>> {
    let arrived = Instant::now();
    let id = request
        .headers()
        .get(&gateway.header_names.request_id)
        .cloned();
    let origin = caller.origin(request.headers());
    let mut response = match forward(&gateway, arrived, origin, request).await {
        Ok(response) => response,
        Err(refused) => {
            log_refusal(&gateway, id.as_ref(), &refused, arrived);
            let mut response = refusal_response(refused.refusal);
            if caller == Caller::Daemon {
                let reason = refused.refusal.reason;
                forwarding::headers::set_refusal(response.headers_mut(), reason);
            }
            response.map(AnswerBody::Whole)
        }
    };
    if gateway.shutdown.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// The log value for an unknown route or customer.
const UNKNOWN: &str = "-";

/// A refusal, with the request's route and customer for logs.
#[derive(Debug)]
struct RefusedRequest {
    refusal: Refusal,
    /// "-" if the request was refused before its route was known.
    route: String,
    /// "-" if the request was refused before its customer was known, or needs no key.
    customer: String,
}

impl RefusedRequest {
    /// Creates the refusal of an admitted request.
    fn admitted(refusal: Refusal, inbound: &InboundRequest) -> Self {
        Self {
            refusal,
            route: inbound.route.name.clone(),
            customer: inbound.customer_text().to_owned(),
        }
    }
}

impl From<RefusalReason> for RefusedRequest {
    fn from(reason: RefusalReason) -> Self {
        Self {
            refusal: reason.into(),
            route: UNKNOWN.to_owned(),
            customer: UNKNOWN.to_owned(),
        }
    }
}

async fn forward(
    gateway: &Arc<Gateway>,
    arrived: Instant,
    origin: RequestOrigin,
    request: Request<Incoming>,
) -> Result<
    Response<AnswerBody<impl Body<Data = Bytes, Error = StreamError> + use<>>>,
    RefusedRequest,
> {
    let in_progress = gateway.requests_in_progress.hold(1);
    let inbound = admit(gateway, arrived, origin, request).await?;
    // Another daemon has counted a request that it forwards.
    let mut client_try = None;
    if origin == RequestOrigin::Client {
        gateway
            .retry_budgets
            .on_request(gateway.clock.now(), &inbound.service);
        gateway.metrics.request_admitted(&inbound.service);
        let route = &inbound.route.name;
        client_try = Some(ClientTry::begin(
            &gateway.try_counts,
            &inbound.service,
            route,
        ));
    }
    let is_stream = inbound.route.stream.is_some();
    let mut exchange = Exchange::new(gateway.clone(), inbound);
    let answered = if is_stream {
        let answered = exchange.stream_answer().await;
        answered.map(|answer| PlainAnswer::Large {
            answer,
            read: Bytes::new(),
        })
    } else {
        exchange.plain_answer().await
    };
    let answered = answered.map_err(|refusal| {
        end_try(&mut client_try, TryOutcome::Refused, &exchange);
        RefusedRequest::admitted(refusal, &exchange.inbound)
    })?;
    let (answer, read) = match answered {
        PlainAnswer::Whole(answer) => {
            let outcome = TryOutcome::of_answer(answer.head.status);
            end_try(&mut client_try, outcome, &exchange);
            let head = client_head(
                &gateway.header_names,
                answer.head,
                &exchange.inbound.method,
                SentBody::Buffered,
            );
            let body = AnswerBody::Whole(Full::new(answer.body));
            return Ok(Response::from_parts(head, body));
        }
        PlainAnswer::Large { answer, read } => (answer, read),
    };
    let head = answer.head().clone();
    let complete = TryOutcome::of_answer(head.status);
    let relay = Relay::new(exchange, answer, read);
    let method = &relay.exchange().inbound.method;
    let head = client_head(&gateway.header_names, head, method, relay.sent_body());
    // Keeps the request counted until the stream ends.
    let state = (relay, client_try, in_progress);
    let frames = futures_util::stream::unfold(state, move |mut state| async move {
        let (relay, client_try, ..) = &mut state;
        let frame = relay.next().await;
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => end_try(client_try, TryOutcome::BrokenOff, relay.exchange()),
            None => end_try(client_try, complete, relay.exchange()),
        }
        Some((frame?.map(Frame::data), state))
    });
    let body = AnswerBody::Stream(Box::pin(StreamBody::new(frames)));
    Ok(Response::from_parts(head, body))
}

/// Records how a client's try ended; one that another daemon forwarded is counted there.
fn end_try(client_try: &mut Option<ClientTry>, outcome: TryOutcome, exchange: &Exchange) {
    if let Some(client_try) = client_try {
        client_try.end(outcome, exchange.was_forwarded());
    }
}

/// Returns the head for the client: the status and the end-to-end headers of the endpoint's head, with
/// the length of the body that is sent.
fn client_head(
    names: &HeaderNames,
    mut head: response::Parts,
    method: &Method,
    sent_body: SentBody,
) -> response::Parts {
    answer_framing::set_length(&mut head, method, sent_body);
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    remove_hop_by_hop(names, response.headers_mut());
    forwarding::headers::remove(response.headers_mut());
    response.into_parts().0
}

/// Builds the daemon's own answer to a refused request.
fn refusal_response(refusal: Refusal) -> Response<Full<Bytes>> {
    let body = format!("{{\"error\":\"{}\"}}", refusal.reason);
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = refusal.reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after() {
        let seconds = format!("{:.3}", wait.0 as f64 / 1_000.0);
        // A decimal number is always a valid header value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

fn log_refusal(
    gateway: &Gateway,
    id: Option<&HeaderValue>,
    refused: &RefusedRequest,
    arrived: Instant,
) {
    let refusal = refused.refusal;
    gateway.metrics.refused(refusal.reason);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    let proof_age = gateway.control.proof_age();
    let table = gateway.control.routing_table();
    event!(
        Event::RequestTurnedAway,
        request = id,
        route = refused.route,
        customer = refused.customer,
        reason = refusal.reason,
        status = refusal.reason.status().as_u16(),
        held_ms = arrived.elapsed().as_millis(),
        // -1 means no proof yet.
        proof_age_ms = proof_age.map_or(-1, |age| age.0 as i64),
        // 0 means no configuration yet.
        version = table.map_or(0, |table| table.version().0),
        revision = gateway.control.complete_to()
    );
}

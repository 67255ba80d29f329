//! A request as it was read: what decides on it, and what is passed on.

use crate::control::routing::{Customer, Route};
use crate::decisions::urgency::Urgency;
use crate::header_names::HeaderNames;
use crate::requests::refusal::Refusal;
use bridgevane_types::{ServiceName, Tokens};
use bytes::Bytes;
use http::header::{self, HeaderName};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Headers of one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Stands for the text of the part.
    pub id: u64,
    /// Its size.
    pub tokens: Tokens,
}

/// What is known of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of all parts.
    pub tokens: Tokens,
    /// Most tokens of the answer.
    pub max_answer_tokens: Tokens,
}

/// A request that was read as a whole.
#[derive(Debug)]
pub struct Inbound {
    /// When its head had arrived.
    pub arrived: Instant,
    /// When the client stops waiting, or the route's time is over.
    pub deadline: Instant,
    /// The client's identifier.
    pub id: HeaderValue,
    /// Its method.
    pub method: Method,
    /// Its path and query, as they came.
    pub path: PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that was drawn among the route's targets.
    pub service: ServiceName,
    /// Who holds its key.
    pub customer: Option<Arc<Customer>>,
    /// Its prompt, on routes that have one.
    pub prompt: Prompt,
    /// How urgent it is for an engine.
    pub urgency: Urgency,
    /// Whether nothing that its service gets is less urgent.
    pub is_least_urgent: bool,
}

impl Inbound {
    /// The time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Its identifier as text, for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// The request that goes to an endpoint.
    pub fn outbound(
        &self,
        names: &HeaderNames,
        endpoint: &HeaderValue,
        last_event_id: Option<&HeaderValue>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(names.expected_endpoint.clone(), endpoint.clone());
        let left_ms = self.left().as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        if let Some(last) = last_event_id {
            headers.insert(names.last_event_id.clone(), last.clone());
        }
        if !self.prompt.parts.is_empty() {
            let urgency = HeaderValue::from(u16::from(self.urgency.0));
            headers.insert(names.urgency.clone(), urgency);
        }
        if let Some(customer) = &self.customer
            && let Ok(value) = HeaderValue::from_str(customer.id.as_str())
        {
            headers.insert(names.customer.clone(), value);
        }
        request
    }
}

/// Takes out the headers of one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The headers that are passed on: without those of the connection, the key, and what only
/// the system itself may set.
pub fn passed_on(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    let id = headers.get(&names.request_id).cloned();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    for name in &names.reserved {
        headers.remove(name);
    }
    // A client that lists the identifier as a header of its connection loses it nonetheless.
    if let Some(id) = id {
        headers.insert(names.request_id.clone(), id);
    }
    headers
}

/// The host that a request names, in lower case and without a port.
pub fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = named.or_else(|| uri.host())?;
    let bare = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    Some(bare.to_ascii_lowercase())
}

/// The key of a request.
pub fn key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(names.key_scheme)
        .then(|| key.trim())
}

/// A number in a header.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The identifier of a request.
///
/// # Errors
/// When it has none, or more than one.
pub fn identifier(names: &HeaderNames, headers: &HeaderMap) -> Result<HeaderValue, Refusal> {
    let mut found = headers.get_all(&names.request_id).iter();
    let first = found.next().ok_or(Refusal::Malformed)?;
    match found.next() {
        None if !first.is_empty() => Ok(first.clone()),
        _ => Err(Refusal::Malformed),
    }
}

/// What the headers tell of the prompt; parts that can't be read end the list.
pub fn prompt(names: &HeaderNames, headers: &HeaderMap) -> Prompt {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let listed = text(&names.prompt_parts).unwrap_or("");
    let parts: Vec<PromptPart> = listed.split(',').map_while(part).collect();
    let (prompt, answer) = text(&names.token_counts)
        .and_then(|counts| counts.split_once(','))
        .unwrap_or(("", ""));
    let of_parts: u64 = parts.iter().map(|part| part.tokens.0).sum();
    Prompt {
        tokens: Tokens(prompt.trim().parse().unwrap_or(of_parts)),
        max_answer_tokens: Tokens(answer.trim().parse().unwrap_or(0)),
        parts,
    }
}

fn part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        id: xxh3_64(id.as_bytes()),
        tokens: Tokens(tokens.parse().ok()?),
    })
}

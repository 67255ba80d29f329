//! An admitted request that was read completely, and its conversion to a request for an endpoint.
//!
//! Owns the body until the last attempt; the attempts share its bytes.

use crate::clock::Clock;
use crate::decisions::admission::priority::Priority;
use crate::decisions::eligibility::region_limits::{RegionLimits, RegionMap};
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::forwarding::RequestOrigin;
use crate::header_names::HeaderNames;
use crate::prompt::Prompt;
use crate::route::{Customer, Route};
use bridgevane_client_limits::ReadBody;
use bridgevane_client_limits::RequestBody;
use bridgevane_types::{
    Bytes, CrashSuspect, PartFingerprint, RequestFingerprint, ServiceName, TimeMs,
};
use http::header::AUTHORIZATION;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// A stream that an earlier attempt of the client began, and that the client takes up.
#[derive(Clone, Debug)]
pub(crate) struct TakenUpStream {
    /// The identifier of the attempt that brought the first event; `None` if the client names none.
    pub(crate) first_attempt: Option<HeaderValue>,
    /// The last event that the client has.
    pub(crate) last_event_id: HeaderValue,
    /// The software version that began it, if another daemon forwards the request and names it.
    pub(crate) version: Option<VersionHash>,
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    pub(crate) clock: Clock,
    /// The moment at which its head had arrived.
    pub(crate) arrived: Instant,
    /// The end of the client's or the route's timeout, whichever is earlier; for timers, which don't
    /// count time in which the VM is suspended.
    pub(crate) deadline: Instant,
    /// The same deadline on the clock that counts suspension; it bounds the timeout that is sent to
    /// endpoints.
    pub(crate) deadline_at: TimeMs,
    /// The client's identifier for this attempt.
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) path: PathAndQuery,
    /// Where it came from.
    pub(crate) origin: RequestOrigin,
    /// The headers that are forwarded.
    pub(crate) headers: HeaderMap,
    /// The header with its key, for another daemon; endpoints don't get it.
    pub(crate) key: Option<HeaderValue>,
    /// What the client takes up; `None` for a new request.
    pub(crate) taken_up: Option<TakenUpStream>,
    pub(crate) body: ReadBody,
    pub(crate) route: Arc<Route>,
    /// The service that was drawn from the route's targets.
    pub(crate) service: ServiceName,
    /// The customer that the request's key belongs to; `None` on routes without keys.
    pub(crate) customer: Option<Arc<Customer>>,
    /// Its prompt; empty on routes without one.
    pub(crate) prompt: Prompt,
    pub(crate) priority: Priority,
    /// Whether no request of its service has a lower priority.
    pub(crate) is_lowest_priority: bool,
    /// Computed on first use: most requests never need it.
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
}

impl InboundRequest {
    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        let by_timer = self.deadline.saturating_duration_since(Instant::now());
        let by_clock = self.deadline_at.since(self.clock.now());
        by_timer.min(by_clock.as_std())
    }

    /// Returns the length of the body.
    pub(crate) fn body_bytes(&self) -> Bytes {
        let segments = self.body.content.segments().iter();
        let bytes: usize = segments.map(|segment| segment.len()).sum();
        Bytes(bytes as u64)
    }

    /// Returns the hash that identifies the request across the attempts of its client.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *(self.fingerprint).get_or_init(|| {
            let customer = self.customer.as_ref().map(|customer| &customer.id);
            let path = self.path.as_str();
            let body = self.body.content.segments().iter();
            RequestFingerprint::of_segments(
                customer,
                self.method.as_str(),
                path,
                body.map(|segment| &segment[..]),
            )
        })
    }

    /// Returns the fingerprints of the parts of its prompt that other requests may share.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = PartFingerprint> {
        let shared = self.prompt.shared().iter();
        shared.map(|part| PartFingerprint::new(&self.service, part.id))
    }

    /// Returns what may crash the endpoint that runs it: itself, or one of these parts.
    pub(crate) fn crash_suspects(&self) -> impl Iterator<Item = CrashSuspect> {
        let request = CrashSuspect::from(self.fingerprint());
        let parts = self.shared_parts().map(CrashSuspect::from);
        std::iter::once(request).chain(parts)
    }

    /// Returns the fingerprints of these parts for logs, separated by commas; "-" if there are none.
    pub(crate) fn shared_parts_text(&self) -> String {
        let parts: Vec<String> = self.shared_parts().map(|part| part.to_string()).collect();
        if parts.is_empty() {
            return "-".to_owned();
        }
        parts.join(",")
    }

    /// Returns the regions in which the request may be served, and may be sent to other daemons.
    pub(crate) fn region_limits<'a>(&'a self, regions: &'a RegionMap) -> RegionLimits<'a> {
        let customer = self.customer.as_ref();
        RegionLimits {
            regions,
            route: self.route.allowed_regions.as_ref(),
            customer: customer.and_then(|customer| customer.allowed_regions.as_ref()),
        }
    }

    /// Returns the request's identifier for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns the customer for logs; "-" on routes without keys.
    pub(crate) fn customer_text(&self) -> &str {
        let customer = self.customer.as_ref();
        customer.map_or("-", |customer| customer.id.as_str())
    }

    /// Builds the request for another daemon, which handles it as a client's.
    pub(crate) fn forwarded(
        &self,
        names: &HeaderNames,
        last_event_id: Option<&HeaderValue>,
    ) -> Request<RequestBody> {
        let mut request = self.onward(names, last_event_id);
        if let Some(key) = &self.key {
            request.headers_mut().insert(AUTHORIZATION, key.clone());
        }
        request
    }

    /// Builds what is common to requests for endpoints and for daemons: the client's request with
    /// the time that is left.
    fn onward(
        &self,
        names: &HeaderNames,
        last_event_id: Option<&HeaderValue>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(self.body.content.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let remaining_ms = self.remaining().as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
        if let Some(last) = last_event_id {
            headers.insert(names.last_event_id.clone(), last.clone());
        }
        request
    }

    /// Builds the request for an endpoint. The endpoint may fetch cached parts of the prompt from
    /// `cache_source`; `last_event_id` resumes a stream after that event.
    pub(crate) fn outbound(
        &self,
        names: &HeaderNames,
        endpoint: &HeaderValue,
        cache_source: Option<SocketAddr>,
        last_event_id: Option<&HeaderValue>,
    ) -> Request<RequestBody> {
        let mut request = self.onward(names, last_event_id);
        let headers = request.headers_mut();
        headers.insert(names.expected_endpoint.clone(), endpoint.clone());
        // An address is always a valid header value.
        if let Some(source) = cache_source
            && let Ok(value) = HeaderValue::from_str(&source.to_string())
        {
            headers.insert(names.cache_source.clone(), value);
        }
        if !self.prompt.is_empty() {
            let priority = HeaderValue::from(u16::from(self.priority.0));
            headers.insert(names.priority.clone(), priority);
        }
        // A customer id that isn't a valid header value is left out; endpoints don't require it.
        if let Some(customer) = &self.customer
            && let Ok(value) = HeaderValue::from_str(customer.id.as_str())
        {
            headers.insert(names.customer.clone(), value);
        }
        request
    }
}

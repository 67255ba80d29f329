//! Routes, services, customers and limits of the operator's configuration, as plain types without
//! logic.
//!
//! The adapter of the platform creates them, and [`crate::control::routing_table`] indexes them.

use crate::decisions::duties::engine_plan::EngineScaling;
use crate::decisions::eligibility::cold_start::ColdLimits;
use crate::decisions::eligibility::region_limits::RegionSet;
use bridgevane_types::{
    Bytes, BytesPerSecond, CustomerId, DurationMs, ServiceName, Tier, TokensPerSecond,
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once.
    AtMostOnce,
}

/// The rules of a route with streamed answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPolicy {
    /// Whether a stream may be resumed at another endpoint after its last event.
    pub is_resumable: bool,
    /// The longest pause between two events at which an answer is in time; `None` if not stated.
    pub pause_target_ms: Option<DurationMs>,
}

/// A service that a route sends requests to, and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route: the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatability: Repeatability,
    /// Set for routes that answer with a stream of events.
    pub stream: Option<StreamPolicy>,
    /// The timeout of a request.
    pub timeout_ms: DurationMs,
    /// The target for the time to the answer, or to its first token.
    pub target_ms: DurationMs,
    /// The tier of its requests; 0 is the highest.
    pub tier: Tier,
    /// The services that its requests go to; never empty.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// Whether its requests list the parts of a prompt.
    pub has_prompt_parts: bool,
    /// The regions in which its requests may be served; `None` for all.
    pub allowed_regions: Option<RegionSet>,
}

impl Route {
    /// Returns whether a stream may be resumed at another endpoint.
    pub fn is_resumable(&self) -> bool {
        self.stream.is_some_and(|stream| stream.is_resumable)
    }

    /// Returns the longest pause between two events at which an answer is in time.
    pub fn pause_target(&self) -> Option<DurationMs> {
        self.stream?.pause_target_ms
    }

    /// Returns whether a request may run more than once, including as a resumed stream.
    pub fn may_run_again(&self) -> bool {
        self.repeatability == Repeatability::Idempotent || self.is_resumable()
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The number of connections that one endpoint accepts from all daemons together; 0 if unknown.
    pub max_connections: u32,
    /// The limits of its endpoints while they are cold; `None` if they are the same as when warm.
    pub cold: Option<ColdLimits>,
    /// The rules for ordering its engines; `None` if none are ordered.
    pub scaling: Option<EngineScaling>,
    /// What its engines are; `None` if not stated.
    pub engine: Option<EngineSpec>,
}

/// What the engines of a service are, besides their slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// The size of a cached token.
    pub cached_token_bytes: Bytes,
    /// The bandwidth of an engine's link to other engines.
    pub link: BytesPerSecond,
}

impl EngineSpec {
    /// Creates a specification; `None` unless both values are above 0 and finite.
    pub fn new(cached_token_bytes: Bytes, link: BytesPerSecond) -> Option<Self> {
        let is_valid = cached_token_bytes.0 > 0 && link.0 > 0.0 && link.0.is_finite();
        is_valid.then_some(Self {
            cached_token_bytes,
            link,
        })
    }

    /// Returns how many cached tokens an engine fetches from another one.
    pub fn fetch_rate(&self) -> TokensPerSecond {
        TokensPerSecond(self.link.0 / self.cached_token_bytes.0 as f64)
    }
}

/// The customer that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer's id.
    pub id: CustomerId,
    /// The customer's own tier, which overrides the tier of a route.
    pub tier: Option<Tier>,
    /// The regions in which the customer's requests may be served; `None` for all.
    pub allowed_regions: Option<RegionSet>,
}

/// The size and time limits of clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The maximum size of a request head.
    pub head_bytes: Bytes,
    /// The maximum size of a request body.
    pub body_bytes: Bytes,
    /// The time from the first byte of a request head to its last one.
    pub head_timeout_ms: DurationMs,
    /// The timeout of an idle connection.
    pub idle_timeout_ms: DurationMs,
}

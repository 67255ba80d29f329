//! Routes, services, customers and limits: what an operator's configuration says, as plain types.
//!
//! The adapter of the platform fills these types in; [`crate::control::routing_table`] indexes
//! them. They decide nothing.

use crate::decisions::duties::engine_plan::EngineScaling;
use crate::decisions::eligibility::cold_start::ColdLimits;
use crate::decisions::eligibility::region_limits::RegionSet;
use bridgevane_types::{Bytes, CustomerId, DurationMs, ServiceName, Tier};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// More than once.
    Idempotent,
    /// Once.
    AtMostOnce,
}

/// What a route with streamed answers allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPolicy {
    /// Whether another endpoint may go on from the last event.
    pub is_resumable: bool,
}

/// A service that a route leads to, and its share of the route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route: requests of one host under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// Set for routes that answer with a stream of events.
    pub stream: Option<StreamPolicy>,
    /// The longest that a request may take.
    pub timeout_ms: DurationMs,
    /// The time in which an answer, or its first token, is in time.
    pub target_ms: DurationMs,
    /// The tier of its requests; 0 is the highest.
    pub tier: Tier,
    /// Where requests go; never empty.
    pub targets: Vec<RouteTarget>,
    /// Endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt_parts: bool,
    /// Where its requests may be served; none: everywhere.
    pub allowed_regions: Option<RegionSet>,
}

impl Route {
    /// Whether a stream may go on at another endpoint.
    pub fn is_resumable(&self) -> bool {
        self.stream.is_some_and(|stream| stream.is_resumable)
    }

    /// Whether a request may run more than once, also as a stream that is resumed.
    pub fn may_run_again(&self) -> bool {
        self.repeatability == Repeatability::Idempotent || self.is_resumable()
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all daemons together; 0: it doesn't say.
    pub max_connections: u32,
    /// What its endpoints bear while they are cold; none: as much as always.
    pub cold: Option<ColdLimits>,
    /// How its engines may be ordered; none: they aren't.
    pub scaling: Option<EngineScaling>,
}

/// The customer that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// The customer's own tier; goes before the tier of a route.
    pub tier: Option<Tier>,
    /// Where the customer's requests may be served; none: everywhere.
    pub allowed_regions: Option<RegionSet>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest request head.
    pub head_bytes: Bytes,
    /// The longest body.
    pub body_bytes: Bytes,
    /// How long a connection may be idle; a request head may take as long.
    pub idle_timeout_ms: DurationMs,
}

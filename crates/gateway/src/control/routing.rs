//! Routes, services, keys and limits of one configuration version.

use crate::decisions::urgency::Urgencies;
use bridgevane_types::{Bytes, ConfigVersion, CustomerId, DurationMs, ServiceName, Tier};
use std::collections::HashMap;
use std::sync::Arc;

/// What a repeated request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    AtMostOnce,
}

/// The longest pause between events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPolicy {
    /// The longest pause that is in time.
    pub gap_target_ms: Option<DurationMs>,
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
    /// What may be repeated.
    pub repeatability: Repeatability,
    /// Set for routes that answer with a stream of events.
    pub stream: Option<StreamPolicy>,
    /// The longest that a request may be held.
    pub timeout_ms: DurationMs,
    /// The time in which an answer is in time.
    pub target_ms: DurationMs,
    /// The tier of its requests; 0 is the highest.
    pub tier: Tier,
    /// Where requests go; never empty.
    pub targets: Vec<RouteTarget>,
    /// Endpoints that one request may run on at most.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt_parts: bool,
}

impl Route {
    /// Whether a request may run more than once: also as a stream that can be taken up.
    pub fn may_repeat(&self) -> bool {
        let is_resumable = self.stream.is_some_and(|stream| stream.is_resumable);
        self.repeatability == Repeatability::Idempotent || is_resumable
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint takes from all callers.
    pub max_connections: u32,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// Goes before the tier of a route.
    pub tier: Option<Tier>,
}

/// What a client may send or hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest request head.
    pub head_bytes: Bytes,
    /// The longest body.
    pub body_bytes: Bytes,
    /// How long a head may take.
    pub head_timeout_ms: DurationMs,
    /// How long a connection may rest.
    pub idle_timeout_ms: DurationMs,
}

/// One configuration version, indexed for the path of a request.
#[derive(Debug)]
pub struct RoutingTable {
    version: ConfigVersion,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    customers: HashMap<String, Arc<Customer>>,
    needs_keys: bool,
    limits: ClientLimits,
    urgencies: Urgencies,
}

/// The parts that a table is made of.
#[derive(Debug)]
pub struct RoutingParts {
    /// The version.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Customers by key; none when the configuration has no customers.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
    /// Limits.
    pub limits: ClientLimits,
}

impl RoutingTable {
    /// Indexes the parts.
    pub fn new(parts: RoutingParts) -> Self {
        let holders = parts.customers.iter().flat_map(HashMap::values);
        let holders = holders.map(|customer| &**customer);
        let urgencies = Urgencies::new(parts.routes.iter(), holders);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            by_host,
            services: services.map(|s| (s.name.clone(), s)).collect(),
            needs_keys: parts.customers.is_some(),
            customers: parts.customers.unwrap_or_default(),
            limits: parts.limits,
            urgencies,
        }
    }

    /// The version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// What clients may send or hold.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// How urgent requests are, one for another.
    pub fn urgencies(&self) -> &Urgencies {
        &self.urgencies
    }

    /// The route of a host and path: of those that match, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests of routes that aren't public carry a key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Who holds a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}

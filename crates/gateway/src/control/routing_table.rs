//! The routing table: one configuration version, indexed for looking up requests.
//!
//! Owns the routes by host, the customers by key and the ranking of priorities. A table is
//! immutable: a new version is a new table.

use crate::decisions::admission::priority::PriorityRanking;
use crate::decisions::endpoint::quiet_engines::PauseTargets;
use crate::route::{ClientLimits, Customer, Route, Service};
use bridgevane_types::{ConfigVersion, DurationMs, ServiceName};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// One configuration version, indexed for looking up requests.
#[derive(Debug)]
pub struct RoutingTable {
    version: ConfigVersion,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    customers: HashMap<String, Arc<Customer>>,
    needs_keys: bool,
    limits: ClientLimits,
    priorities: PriorityRanking,
    pause_targets: HashMap<ServiceName, PauseTargets>,
    resumable: ResumableServices,
}

/// The services of routes whose streams may be resumed, by host.
#[derive(Clone, Debug, Default)]
struct ResumableServices {
    by_host: HashMap<String, BTreeSet<ServiceName>>,
    longest_timeout: DurationMs,
}

/// The parts of a routing table.
#[derive(Debug)]
pub struct RoutingParts {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Customers by key; none if the configuration has no customers and requires no keys.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
    /// The limits on what clients may send or hold open.
    pub limits: ClientLimits,
}

impl RoutingTable {
    /// Builds the indexes.
    pub fn new(parts: RoutingParts) -> Self {
        let customers = parts.customers.iter().flat_map(HashMap::values);
        let customers = customers.map(|customer| &**customer);
        let priorities = PriorityRanking::new(parts.routes.iter(), customers);
        let pause_targets = pause_targets(&parts.routes);
        let resumable = resumable_services(&parts.routes);
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
            // Without customers no key is required.
            customers: parts.customers.unwrap_or_default(),
            limits: parts.limits,
            priorities,
            pause_targets,
            resumable,
        }
    }

    /// Returns the services of routes whose streams may be resumed, by host.
    pub(crate) fn resumable_services(&self) -> &HashMap<String, BTreeSet<ServiceName>> {
        &self.resumable.by_host
    }

    /// Returns the longest timeout of a route whose streams may be resumed; 0 if there is none.
    pub(crate) fn longest_resumable_timeout(&self) -> DurationMs {
        self.resumable.longest_timeout
    }

    /// Returns the pause targets of the routes that lead to a service.
    pub fn pause_targets(&self, service: &ServiceName) -> PauseTargets {
        let targets = self.pause_targets.get(service);
        targets.copied().unwrap_or_default()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on what clients may send or hold open.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the ranking of request priorities.
    pub(crate) fn priorities(&self) -> &PriorityRanking {
        &self.priorities
    }

    /// Returns the route of a host and path: the matching route with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether requests on routes that aren't public must carry a key.
    pub(crate) fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the customer that a key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// Returns all services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}

fn resumable_services(routes: &[Route]) -> ResumableServices {
    let mut resumable = ResumableServices::default();
    for route in routes.iter().filter(|route| route.is_resumable()) {
        let services = route.targets.iter().map(|target| target.service.clone());
        let of_host = resumable.by_host.entry(route.host.clone()).or_default();
        of_host.extend(services);
        resumable.longest_timeout = resumable.longest_timeout.max(route.timeout_ms);
    }
    resumable
}

/// Returns the pause targets of the routes that lead to each service.
fn pause_targets(routes: &[Route]) -> HashMap<ServiceName, PauseTargets> {
    let mut by_service: HashMap<ServiceName, PauseTargets> = HashMap::new();
    for route in routes {
        let Some(target) = route.pause_target() else {
            continue;
        };
        for route_target in &route.targets {
            let targets = by_service.entry(route_target.service.clone());
            targets.or_default().add(target);
        }
    }
    by_service
}

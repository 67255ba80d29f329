//! The routing table: one configuration version, indexed for the path of a request.
//!
//! Owns the routes by host, the customers by key and the ranking of priorities. It is immutable: a
//! new version is a new table.

use crate::decisions::admission::priority::PriorityRanking;
use crate::route::{ClientLimits, Customer, Route, Service};
use bridgevane_types::{ConfigVersion, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// One configuration version, indexed for the path of a request.
#[derive(Debug)]
pub struct RoutingTable {
    version: ConfigVersion,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    customers: HashMap<String, Arc<Customer>>,
    needs_keys: bool,
    limits: ClientLimits,
    priorities: PriorityRanking,
}

/// The parts that a routing table is made of.
#[derive(Debug)]
pub struct RoutingParts {
    /// The version.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Customers by key; none when the configuration has no customers, and needs no keys.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
    /// What clients may send or hold.
    pub limits: ClientLimits,
}

impl RoutingTable {
    /// Indexes the parts.
    pub fn new(parts: RoutingParts) -> Self {
        let holders = parts.customers.iter().flat_map(HashMap::values);
        let holders = holders.map(|customer| &**customer);
        let priorities = PriorityRanking::new(parts.routes.iter(), holders);
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
            // Without customers no key is asked for.
            customers: parts.customers.unwrap_or_default(),
            limits: parts.limits,
            priorities,
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

    /// The priorities of requests.
    pub(crate) fn priorities(&self) -> &PriorityRanking {
        &self.priorities
    }

    /// The route of a host and path: of those that match, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests of routes that aren't public carry a key.
    pub(crate) fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// The customer that a key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// All services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}

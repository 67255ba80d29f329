//! The pools of all services on this VM, and the links to their endpoints.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::pools::endpoint_link::EndpointLink;
use crate::modules::serve::pools::handle::PoolHandle;
use arc_swap::ArcSwap;
use bridgevane_types::{EndpointId, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// The handles of the running pools and the links to their endpoints, read without locks.
#[derive(Default)]
pub struct PoolDirectory {
    pools: ArcSwap<HashMap<ServiceName, PoolHandle>>,
    links: ArcSwap<HashMap<(ServiceName, EndpointId), Arc<EndpointLink>>>,
}

impl PoolDirectory {
    /// Returns the pool of `service`.
    pub fn get(&self, service: &ServiceName) -> Option<PoolHandle> {
        self.pools.load().get(service).cloned()
    }

    /// Returns the link to an endpoint of `service`.
    pub fn link(&self, service: &ServiceName, engine: &EndpointId) -> Option<Arc<EndpointLink>> {
        let key = (service.clone(), engine.clone());
        self.links.load().get(&key).cloned()
    }

    /// Replaces all pools by those of a newer configuration.
    pub(super) fn replace(&self, pools: HashMap<ServiceName, PoolHandle>) {
        self.pools.store(Arc::new(pools));
    }

    /// Returns a copy of the pools by service, for changes.
    pub(super) fn cloned(&self) -> HashMap<ServiceName, PoolHandle> {
        HashMap::clone(&self.pools.load())
    }

    /// Returns all pools with their services.
    pub fn all(&self) -> Vec<(ServiceName, PoolHandle)> {
        let pools = self.pools.load();
        pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.clone()))
            .collect()
    }

    /// Updates the links to a configuration. Links whose name and address stay are kept, with their
    /// open connections.
    pub(super) fn update_links(&self, in_force: &InForce) {
        let known = self.links.load();
        let mut links = HashMap::new();
        for (service, config) in &in_force.document.service {
            for (name, engine) in &config.engine {
                let key = (service.clone(), name.clone());
                let same = known
                    .get(&key)
                    .filter(|link| link.address == engine.address);
                let link = match same {
                    Some(link) => link.clone(),
                    None => Arc::new(EndpointLink::new(name.clone(), engine.address)),
                };
                links.insert(key, link);
            }
        }
        self.links.store(Arc::new(links));
    }
}

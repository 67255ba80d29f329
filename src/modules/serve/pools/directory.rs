//! The pools of all services on this VM.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::pools::endpoint_link::EndpointLink;
use crate::modules::serve::pools::handle::PoolHandle;
use arc_swap::ArcSwap;
use bridgevane_types::{EndpointId, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// Handles of the running pools, read without locks.
#[derive(Default)]
pub struct PoolDirectory {
    pools: ArcSwap<HashMap<ServiceName, PoolHandle>>,
    links: ArcSwap<HashMap<(ServiceName, EndpointId), Arc<EndpointLink>>>,
}

impl PoolDirectory {
    /// The pool of `service`.
    pub fn get(&self, service: &ServiceName) -> Option<PoolHandle> {
        self.pools.load().get(service).cloned()
    }

    /// The link to a worker.
    pub fn link(&self, service: &ServiceName, engine: &EndpointId) -> Option<Arc<EndpointLink>> {
        let key = (service.clone(), engine.clone());
        self.links.load().get(&key).cloned()
    }

    /// Puts the pools of a newer configuration in place.
    pub(super) fn put(&self, pools: HashMap<ServiceName, PoolHandle>) {
        self.pools.store(Arc::new(pools));
    }

    /// All pools, to change a copy of them.
    pub(super) fn copy(&self) -> HashMap<ServiceName, PoolHandle> {
        HashMap::clone(&self.pools.load())
    }

    /// All pools.
    pub fn all(&self) -> Vec<(ServiceName, PoolHandle)> {
        let pools = self.pools.load();
        pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.clone()))
            .collect()
    }

    /// Keeps links, and so their open connections, while names and addresses stay.
    pub(super) fn follow_links(&self, in_force: &InForce) {
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

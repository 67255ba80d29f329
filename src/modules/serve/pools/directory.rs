//! The pools of all services on this VM.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::pools::actor;
use crate::modules::serve::pools::engine_link::EngineLink;
use crate::modules::serve::pools::handle::PoolHandle;
use arc_swap::ArcSwap;
use bridgevane_types::{EndpointId, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// Handles of the running pools, read without locks.
#[derive(Default)]
pub struct PoolDirectory {
    pools: ArcSwap<HashMap<ServiceName, PoolHandle>>,
    links: ArcSwap<HashMap<(ServiceName, EndpointId), Arc<EngineLink>>>,
}

impl PoolDirectory {
    /// The pool of `service`.
    pub fn get(&self, service: &ServiceName) -> Option<PoolHandle> {
        self.pools.load().get(service).cloned()
    }

    /// The link to a worker.
    pub fn link(&self, service: &ServiceName, engine: &EndpointId) -> Option<Arc<EngineLink>> {
        let key = (service.clone(), engine.clone());
        self.links.load().get(&key).cloned()
    }

    /// All pools.
    pub fn all(&self) -> Vec<(ServiceName, PoolHandle)> {
        let pools = self.pools.load();
        pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.clone()))
            .collect()
    }

    /// Follows a configuration: starts pools of new services, tells the others.
    pub fn follow(&self, context: &Arc<Context>, in_force: &Arc<InForce>) {
        self.follow_links(in_force);
        let mut pools = HashMap::clone(&self.pools.load());
        for name in in_force.document.service.keys() {
            match pools.get(name) {
                Some(pool) => pool.reconfigure(in_force.clone()),
                None => {
                    let pool = actor::spawn(context.clone(), name.clone(), in_force.clone());
                    pools.insert(name.clone(), pool);
                }
            }
        }
        self.pools.store(Arc::new(pools));
    }

    /// Keeps links, and so their open connections, while names and addresses stay.
    fn follow_links(&self, in_force: &InForce) {
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
                    None => Arc::new(EngineLink::new(name.clone(), engine.address)),
                };
                links.insert(key, link);
            }
        }
        self.links.store(Arc::new(links));
    }
}

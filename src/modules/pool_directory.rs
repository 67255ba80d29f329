//! The pools of all services on this VM.

use crate::context::Context;
use crate::modules::config_in_force::InForce;
use crate::modules::pool_actor::{self, PoolHandle};
use arc_swap::ArcSwap;
use bridgevane_types::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;

/// Handles of the running pools, read without locks.
#[derive(Default)]
pub struct PoolDirectory {
    pools: ArcSwap<HashMap<ServiceName, PoolHandle>>,
}

impl PoolDirectory {
    /// The pool of `service`.
    pub fn get(&self, service: &ServiceName) -> Option<PoolHandle> {
        self.pools.load().get(service).cloned()
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
        let mut pools = HashMap::clone(&self.pools.load());
        for name in in_force.document.service.keys() {
            match pools.get(name) {
                Some(pool) => pool.reconfigure(in_force.clone()),
                None => {
                    let pool = pool_actor::spawn(context.clone(), name.clone(), in_force.clone());
                    pools.insert(name.clone(), pool);
                }
            }
        }
        self.pools.store(Arc::new(pools));
    }
}

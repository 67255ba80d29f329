//! Starts the pools of new services when the configuration changes, and reconfigures the others.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::pools::actor;
use std::sync::Arc;

/// Applies a configuration to the pools.
pub fn apply_to_pools(context: &Arc<Context>, in_force: &Arc<InForce>) {
    context.pools.update_links(in_force);
    let mut pools = context.pools.cloned();
    for name in in_force.document.service.keys() {
        match pools.get(name) {
            Some(pool) => pool.reconfigure(in_force.clone()),
            None => {
                let pool = actor::spawn(context.clone(), name.clone(), in_force.clone());
                pools.insert(name.clone(), pool);
            }
        }
    }
    context.pools.replace(pools);
}

//! Starts pools of new services when the configuration changes, and tells the others of it.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::pools::actor;
use std::sync::Arc;

/// Follows a configuration.
pub fn follow(context: &Arc<Context>, in_force: &Arc<InForce>) {
    context.pools.follow_links(in_force);
    let mut pools = context.pools.copy();
    for name in in_force.document.service.keys() {
        match pools.get(name) {
            Some(pool) => pool.reconfigure(in_force.clone()),
            None => {
                let pool = actor::spawn(context.clone(), name.clone(), in_force.clone());
                pools.insert(name.clone(), pool);
            }
        }
    }
    context.pools.put(pools);
}

//! Accepts a version of the configuration from any source: stores it in the replica, activates it
//! and announces it to other daemons.
//!
//! Versions only rise; a version that isn't newer changes nothing.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::peers::membership;
use crate::modules::serve::pools::configure;
use bridgevane_config::{Document, SectionChange, Sections};
use bridgevane_events::{Event, event};
use bridgevane_types::ConfigVersion;
use std::sync::Arc;

/// Accepts a complete document, from the platform or an operator's change.
pub(crate) fn accept_document(context: &Arc<Context>, version: ConfigVersion, document: Document) {
    let sections = match Sections::from_document(&document) {
        Ok(sections) => sections,
        Err(error) => {
            event!(Event::ConfigRejected, version = version, cause = error);
            return;
        }
    };
    let accepted = context.replica.lock().accept_snapshot(version, sections);
    if accepted.is_ok() {
        activate_and_announce(context, version, document);
    }
}

fn activate_and_announce(context: &Arc<Context>, version: ConfigVersion, document: Document) {
    activate(context, InForce::new(version, document));
    membership::announce(context);
}

/// Applies changes to the version in force and activates the result as `version`. If the version in
/// force isn't `from`, activates the version that the replica holds instead.
pub(super) fn activate_changes(
    context: &Arc<Context>,
    from: ConfigVersion,
    version: ConfigVersion,
    changes: &[SectionChange],
) {
    let in_force = context.in_force.load();
    let base = in_force.filter(|in_force| in_force.version == from);
    match base.and_then(|base| base.document.with_changes(changes).ok()) {
        Some(document) => activate_and_announce(context, version, document),
        None => activate_sections(context, version),
    }
}

/// Activates the version that the replica holds.
pub(super) fn activate_sections(context: &Arc<Context>, version: ConfigVersion) {
    let document = context.replica.lock().sections().to_document();
    match document {
        Ok(document) => activate_and_announce(context, version, document),
        Err(error) => event!(Event::ConfigRejected, version = version, cause = error),
    }
}

/// Activates a version if it is newer than the one in force, and applies it to the pools.
fn activate(context: &Arc<Context>, next: InForce) {
    let version = next.version;
    if !context.in_force.advance(next) {
        return;
    }
    event!(Event::ConfigInForce, version = version);
    if let Some(in_force) = context.in_force.load() {
        configure::apply_to_pools(context, &in_force);
    }
}

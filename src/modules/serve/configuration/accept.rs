//! Accepting a version of the configuration, wherever it came from: into the replica, in force, and
//! on to others.
//!
//! Versions only rise; one that isn't newer changes nothing.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::peers::membership;
use crate::modules::serve::pools::start;
use bridgevane_config::{Document, SectionChange, Sections};
use bridgevane_events::{Event, event};
use bridgevane_types::ConfigVersion;
use std::sync::Arc;

/// Takes a version that came whole, from the platform or an operator's change.
pub(crate) fn accept_document(context: &Arc<Context>, version: ConfigVersion, document: Document) {
    let sections = match Sections::of(&document) {
        Ok(sections) => sections,
        Err(error) => {
            event!(Event::ConfigRejected, version = version, cause = error);
            return;
        }
    };
    let accepted = context.replica.lock().accept_snapshot(version, sections);
    if accepted.is_ok() {
        take_over(context, version, document);
    }
}

fn take_over(context: &Arc<Context>, version: ConfigVersion, document: Document) {
    put_in_force(context, InForce::new(version, document));
    membership::announce(context);
}

/// Reads what changed on top of the version in force, or all when that is another one.
pub(super) fn take_over_changes(
    context: &Arc<Context>,
    from: ConfigVersion,
    version: ConfigVersion,
    changes: &[SectionChange],
) {
    let in_force = context.in_force.load();
    let base = in_force.filter(|in_force| in_force.version == from);
    match base.and_then(|base| base.document.changed_by(changes).ok()) {
        Some(document) => take_over(context, version, document),
        None => take_over_sections(context, version),
    }
}

/// Puts what the replica holds in force.
pub(super) fn take_over_sections(context: &Arc<Context>, version: ConfigVersion) {
    let document = context.replica.lock().sections().document();
    match document {
        Ok(document) => take_over(context, version, document),
        Err(error) => event!(Event::ConfigRejected, version = version, cause = error),
    }
}

/// Puts a version in force if it is newer, and tells the pools.
fn put_in_force(context: &Arc<Context>, next: InForce) {
    let version = next.version;
    if !context.in_force.advance(next) {
        return;
    }
    event!(Event::ConfigInForce, version = version);
    if let Some(in_force) = context.in_force.load() {
        start::apply_to_pools(context, &in_force);
    }
}

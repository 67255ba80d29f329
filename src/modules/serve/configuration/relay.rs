//! Replicates the configuration between daemons: heartbeats carry versions, changes are sent as
//! deltas on request.

use crate::modules::serve::configuration::accept::{activate_changes, activate_sections};
use crate::modules::serve::context::Context;
use crate::modules::serve::peers::links::LinkHandle;
use bridgevane_config::{Delta, SectionChange, Sections};
use bridgevane_coordination::{ConfigAnswer, NotAccepted};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{ConfigDelta, ConfigSnapshot, ConfigWanted, SectionChange as WireChange};
use bridgevane_types::ConfigVersion;
use std::sync::Arc;

/// Answers a daemon that has an older version with a delta or a snapshot.
pub(crate) fn on_wanted(context: &Arc<Context>, link: &LinkHandle, wanted: &ConfigWanted) {
    let answer = context
        .replica
        .lock()
        .answer_for(ConfigVersion(wanted.have_version));
    let body = match answer {
        ConfigAnswer::Current => return,
        ConfigAnswer::Delta(delta) => Body::ConfigDelta(ConfigDelta {
            from_version: delta.from.0,
            to_version: delta.to.0,
            changes: delta.changes.into_iter().map(to_wire).collect(),
            digest: delta.digest,
        }),
        ConfigAnswer::Snapshot(version, sections) => {
            let digest = sections.digest();
            let entry = |(path, text)| WireChange {
                path,
                text: Some(text),
            };
            Body::ConfigSnapshot(ConfigSnapshot {
                version: version.0,
                sections: sections.0.into_iter().map(entry).collect(),
                digest,
            })
        }
    };
    link.send(body);
}

fn to_wire(change: SectionChange) -> WireChange {
    WireChange {
        path: change.path,
        text: change.text,
    }
}

/// Applies another daemon's delta to the replica, and activates its version.
pub(crate) fn on_delta(context: &Arc<Context>, link: &LinkHandle, delta: ConfigDelta) {
    let version = ConfigVersion(delta.to_version);
    let from_wire = |change: WireChange| SectionChange {
        path: change.path,
        text: change.text,
    };
    let delta = Delta {
        from: ConfigVersion(delta.from_version),
        to: version,
        changes: delta.changes.into_iter().map(from_wire).collect(),
        digest: delta.digest,
    };
    let (from, changes) = (delta.from, delta.changes.clone());
    let accepted = context.replica.lock().accept_delta(delta);
    match accepted {
        Ok(()) => activate_changes(context, from, version, &changes),
        Err(NotAccepted::NotNewer { .. }) => {}
        Err(NotAccepted::InvalidDelta(error)) => {
            event!(Event::ConfigRejected, version = version, cause = error);
            // The local version has changed meanwhile, or differs: request a full snapshot.
            link.send(Body::ConfigWanted(ConfigWanted { have_version: 0 }));
        }
    }
}

/// Replaces the replica by another daemon's snapshot, and activates its version.
pub(crate) fn on_snapshot(context: &Arc<Context>, snapshot: ConfigSnapshot) {
    let version = ConfigVersion(snapshot.version);
    let entry = |section: WireChange| Some((section.path, section.text?));
    let sections = Sections(snapshot.sections.into_iter().filter_map(entry).collect());
    if sections.digest() != snapshot.digest {
        event!(Event::ConfigRejected, version = version, cause = "digest");
        return;
    }
    let accepted = context.replica.lock().accept_snapshot(version, sections);
    if accepted.is_ok() {
        activate_sections(context, version);
    }
}

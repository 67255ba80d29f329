//! The configuration between daemons: versions in heartbeats, changes as deltas on demand.

use crate::modules::serve::configuration::follow::put_in_force;
use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::peers::members;
use bridgevane_adapters::KvError;
use bridgevane_config::{Delta, Document, SectionChange, Sections};
use bridgevane_coordination::configs::CallBudgetConfig;
use bridgevane_coordination::{CallBudget, CallKind, ConfigAnswer, ConfigReplica, NotAccepted};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    ConfigDelta, ConfigSnapshot, ConfigWanted, Heartbeat, SectionChange as WireChange,
};
use bridgevane_types::{ConfigVersion, DurationMs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// This daemon's copy, and its budget of calls for it.
pub struct Replica {
    replica: Mutex<ConfigReplica>,
    budget: Mutex<CallBudget>,
    /// Some peer or the platform has answered since the start.
    has_contact: AtomicBool,
    /// Requests are taken; from then on a newer version is put in force as it comes.
    has_served: AtomicBool,
}

impl Replica {
    /// An empty copy.
    pub fn new(seed: u64) -> Self {
        Self {
            replica: Mutex::default(),
            budget: Mutex::new(CallBudget::new(CallBudgetConfig::default(), seed)),
            has_contact: AtomicBool::new(false),
            has_served: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, CallBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version at hand and the highest one heard of.
    pub fn versions(&self) -> (ConfigVersion, ConfigVersion) {
        let replica = self.lock();
        (replica.version(), replica.highest_heard())
    }

    /// Notes that someone who knows versions has answered.
    pub fn note_contact(&self) {
        self.has_contact.store(true, Ordering::Release);
    }

    /// Whether requests may be taken: not before someone was asked for the newest version,
    /// and at first not under an older one than any peer holds.
    pub fn may_serve(&self) -> bool {
        if self.has_served.load(Ordering::Acquire) {
            return true;
        }
        let replica = self.lock();
        let is_ready = replica.version().0 > 0
            && !replica.is_behind()
            && self.has_contact.load(Ordering::Acquire);
        if is_ready {
            self.has_served.store(true, Ordering::Release);
        }
        is_ready
    }

    /// Takes a read of the platform's service from the budget.
    pub fn may_call(&self, context: &Context) -> bool {
        self.budget().take(context.now(), CallKind::Read).is_ok()
    }

    /// Notes that the platform's service answered.
    pub fn call_succeeded(&self) {
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.succeeded();
            was_failing
        };
        if was_failing {
            event!(Event::PlatformBack);
        }
    }

    /// Whether the latest call of the platform's service failed.
    pub fn is_platform_away(&self) -> bool {
        self.budget().is_failing()
    }

    /// Notes that a call of the platform's service failed.
    pub fn call_failed(&self, context: &Context, error: &KvError) {
        let retry_after_ms = match error {
            KvError::RateLimited { retry_after_ms } => *retry_after_ms,
            _ => DurationMs(0),
        };
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.failed(context.now(), retry_after_ms);
            was_failing
        };
        if !was_failing {
            event!(Event::PlatformAway, cause = error);
        }
    }
}

/// Takes a version that came whole, from the platform or an operator's change.
pub fn accept_document(context: &Arc<Context>, version: ConfigVersion, document: Document) {
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
    members::announce(context);
}

/// A heartbeat tells its sender's versions: ask it for what is missing here.
pub fn hear(context: &Arc<Context>, link: &LinkHandle, heartbeat: &Heartbeat) {
    let mut replica = context.replica.lock();
    replica.hear(ConfigVersion(heartbeat.highest_config_version));
    replica.hear(ConfigVersion(heartbeat.config_version));
    let have = replica.version();
    drop(replica);
    if heartbeat.config_version > have.0 {
        let have_version = have.0;
        link.send(Body::ConfigWanted(ConfigWanted { have_version }));
    }
}

/// A daemon that is behind asks for what is missing.
pub fn on_wanted(context: &Arc<Context>, link: &LinkHandle, wanted: &ConfigWanted) {
    let answer = context
        .replica
        .lock()
        .answer(ConfigVersion(wanted.have_version));
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

/// A change came.
pub fn on_delta(context: &Arc<Context>, link: &LinkHandle, delta: ConfigDelta) {
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
        Ok(()) => take_over_changes(context, from, version, &changes),
        Err(NotAccepted::NotNewer { .. }) => {}
        Err(NotAccepted::Unfit(error)) => {
            event!(Event::ConfigRejected, version = version, cause = error);
            // What was at hand moved meanwhile, or differs: ask again from scratch.
            link.send(Body::ConfigWanted(ConfigWanted { have_version: 0 }));
        }
    }
}

/// A whole version came.
pub fn on_snapshot(context: &Arc<Context>, snapshot: ConfigSnapshot) {
    let version = ConfigVersion(snapshot.version);
    let entry = |section: WireChange| Some((section.path, section.text?));
    let sections = Sections(snapshot.sections.into_iter().filter_map(entry).collect());
    if sections.digest() != snapshot.digest {
        event!(Event::ConfigRejected, version = version, cause = "digest");
        return;
    }
    let accepted = context.replica.lock().accept_snapshot(version, sections);
    if accepted.is_ok() {
        take_over_sections(context, version);
    }
}

/// Reads what changed on top of the version in force, or all when that is another one.
fn take_over_changes(
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

fn take_over_sections(context: &Arc<Context>, version: ConfigVersion) {
    let document = context.replica.lock().sections().document();
    match document {
        Ok(document) => take_over(context, version, document),
        Err(error) => event!(Event::ConfigRejected, version = version, cause = error),
    }
}

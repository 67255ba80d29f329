//! Keeps the source's records of the software versions at which streams of each service may have begun.
//!
//! Every daemon runs it; those that follow the source themselves write, and those whose requests wait
//! in vain for a registration. Of several writes of one record the source carries out one, and the
//! others learn of it with its changes. The rule is
//! [`crate::decisions::eligibility::version_registration`].

use crate::control::source::Revision;
use crate::control::version_registry::{VersionRecordWrite, VersionStore, VersionWrite};
use crate::decisions::eligibility::stream_version::{ServiceHash, VersionHash};
use crate::decisions::eligibility::version_registration::{
    VersionSight, contact_delay, next_record,
};
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::requests::attempt::CONNECT_TIMEOUT;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, ServiceName, TimeMs};
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time after which records are checked though nothing has changed: versions are retired and
/// removed by time.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while endpoints of a version haven't accepted a connection.
const CONTACT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for a write. The users' slowest store takes 0.24 s.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest time between two writes of one revision of a record: the first one's change may be
/// under way.
const WRITE_INTERVAL: DurationMs = DurationMs(500);
/// The delay after a round with writes, in which the source's changes arrive.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of endpoints of a version to which connections are opened at a time.
const MAX_CONTACTS: usize = 3;

/// Keeps the records until the daemon ends.
pub async fn run<S: VersionStore>(gateway: Arc<Gateway>, store: S) {
    let mut registrar = Registrar {
        progress_pause: CHECK_INTERVAL,
        contacts: HashMap::new(),
        writes: HashMap::new(),
        gateway: gateway.clone(),
        store,
    };
    let mut progress = gateway.control.progress();
    loop {
        // After a timeout the records are checked by time.
        let _ = timeout(registrar.progress_pause, progress.changed()).await;
        if gateway.fleet.follows_source() || gateway.control.versions().was_missed() {
            registrar.check().await;
        }
    }
}

/// The connections that were tried to endpoints of a version.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    was_accepted: bool,
    /// The number of tries in a row of which none was accepted.
    failures: u32,
    next_at: TimeMs,
}

struct Registrar<S> {
    gateway: Arc<Gateway>,
    store: S,
    /// The longest time until the next check.
    progress_pause: Duration,
    contacts: HashMap<(ServiceHash, VersionHash), Contact>,
    /// The newest write of each service's record: the revision that it expected, and when it was made.
    writes: HashMap<ServiceHash, (Revision, TimeMs)>,
}

impl<S: VersionStore> Registrar<S> {
    /// Checks the record of each service, and writes those that have to change.
    async fn check(&mut self) {
        let Some(table) = self.gateway.control.routing_table() else {
            return;
        };
        let services: Vec<ServiceName> = table.resumable_services().cloned().collect();
        self.contact_new_versions(&services).await;
        let mut has_written = false;
        for service in &services {
            let Some(write) = self.due_write(service) else {
                continue;
            };
            let now = self.gateway.clock.now();
            let before = self.writes.get(&write.service);
            let is_under_way = |(expected, at): &(Revision, TimeMs)| {
                *expected == write.expected && now.since(*at) < WRITE_INTERVAL
            };
            if before.is_some_and(is_under_way) {
                continue;
            }
            self.writes.insert(write.service, (write.expected, now));
            self.write(service, &write).await;
            has_written = true;
        }
        if has_written {
            sleep(WRITE_PAUSE).await;
        }
    }

    /// Opens connections to endpoints of versions that aren't active, where that is due.
    async fn contact_new_versions(&mut self, services: &[ServiceName]) {
        let now = self.gateway.clock.now();
        let gateway = &self.gateway;
        let mut unreached = Vec::new();
        for service in services {
            let registered = gateway
                .control
                .versions()
                .versions(service)
                .unwrap_or_default();
            for (version, seen) in gateway.control.versions().last_seen(service) {
                let key = (ServiceHash::new(service), version);
                if !seen.is_present {
                    self.contacts.remove(&key);
                } else if !registered.active.contains(&version) {
                    let contact = self.contacts.entry(key).or_default();
                    if !contact.was_accepted {
                        unreached.push((service, version, contact.next_at));
                    }
                }
            }
        }
        let has_unreached = !unreached.is_empty();
        unreached.retain(|(_, _, next_at)| now >= *next_at);
        let tries = unreached
            .into_iter()
            .map(|(service, version, _)| async move {
                let is_accepted = accepts_connection(gateway, service, version).await;
                ((ServiceHash::new(service), version), is_accepted)
            });
        for (key, is_accepted) in join_all(tries).await {
            let contact = self.contacts.entry(key).or_default();
            contact.was_accepted = is_accepted;
            contact.failures += 1;
            contact.next_at = now + contact_delay(contact.failures);
        }
        self.progress_pause = if has_unreached {
            CONTACT_INTERVAL
        } else {
            CHECK_INTERVAL
        };
    }

    /// Returns the write of a service's record that is due.
    fn due_write(&self, service: &ServiceName) -> Option<VersionRecordWrite> {
        let control = &self.gateway.control;
        let now = self.gateway.clock.now();
        let record = control.versions().record(service);
        let registered = record.versions.unwrap_or_default();
        let seen = control.versions().last_seen(service);
        let hash = ServiceHash::new(service);
        let known: BTreeSet<VersionHash> = registered.all().chain(seen.keys().copied()).collect();
        let sights: Vec<VersionSight> = (known.into_iter())
            .map(|version| {
                let last = seen.get(&version);
                let is_present = last.is_some_and(|last| last.is_present);
                let absent_since = last.map_or(record.applied_at, |last| last.at);
                let contact = self.contacts.get(&(hash, version));
                VersionSight {
                    version,
                    absent_for: (!is_present).then(|| now.since(absent_since)),
                    was_reached: contact.is_some_and(|contact| contact.was_accepted),
                    retired_for: now.since(record.applied_at),
                }
            })
            .collect();
        let versions = next_record(&registered, &sights, control.version_memory())?;
        let expected = if record.exists {
            record.revision
        } else {
            Revision::new(control.source_era(), 0)
        };
        Some(VersionRecordWrite {
            service: hash,
            expected,
            versions,
        })
    }

    async fn write(&self, service: &ServiceName, write: &VersionRecordWrite) {
        let writing = timeout(WRITE_TIMEOUT, self.store.write_versions(write)).await;
        match writing {
            Ok(Ok(VersionWrite::Written)) => event!(
                Event::VersionsWritten,
                service = service,
                active = list(&write.versions.active),
                retired = list(&write.versions.retired),
                revision = write.expected
            ),
            // Another daemon was first.
            Ok(Ok(VersionWrite::Conflict)) => {}
            Ok(Err(error)) => {
                event!(Event::VersionsNotWritten, service = service, cause = error);
            }
            Err(_) => {
                let cause = "no answer in time";
                event!(Event::VersionsNotWritten, service = service, cause = cause);
            }
        }
    }
}

/// Returns the versions as text for logs.
fn list(versions: &[VersionHash]) -> String {
    let texts: Vec<String> = versions.iter().map(ToString::to_string).collect();
    texts.join(",")
}

/// Returns whether one of a version's endpoints accepts a connection, which is kept for a request.
async fn accepts_connection(
    gateway: &Gateway,
    service: &ServiceName,
    version: VersionHash,
) -> bool {
    let directory = gateway.control.directory();
    let Some(service) = directory.service(service) else {
        return false;
    };
    let of_version = service.all.iter().filter(|each| each.version == version);
    let mut endpoints: Vec<&Arc<Endpoint>> = of_version.collect();
    endpoints.shuffle(&mut rand::rng());
    endpoints.truncate(MAX_CONTACTS);
    let opening = endpoints.into_iter().map(|endpoint| async move {
        let address = endpoint.record.load().address;
        let opened = Connection::open(address, CONNECT_TIMEOUT).await;
        // A refused connection is tried again later.
        let connection = opened.ok()?;
        gateway.keep_idle(gateway.clock.now(), endpoint, connection);
        Some(())
    });
    join_all(opening)
        .await
        .into_iter()
        .flatten()
        .next()
        .is_some()
}

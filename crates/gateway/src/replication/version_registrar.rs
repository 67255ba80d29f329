//! Keeps the source's records of the software versions at which streams of each host's routes may have
//! begun.
//!
//! Every daemon runs it; those that follow the source themselves write, and those whose requests wait
//! in vain for a registration. Of several writes of one record the source carries out one, and the
//! others learn of it with its changes. The rule is
//! [`crate::decisions::eligibility::version_registration`].

use crate::control::routing_table::RoutingTable;
use crate::control::source::Revision;
use crate::control::version_registry::{
    LastSeen, VersionRecord, VersionRecordWrite, VersionStore, VersionWrite,
};
use crate::decisions::eligibility::stream_version::{HostHash, VersionHash};
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
use rand::RngExt;
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
/// The mean number of daemons that help at a time.
const HELPERS: u32 = 8;
/// The maximum number of endpoints of a version to which connections are opened at a time.
const MAX_CONTACTS: usize = 3;

/// Keeps the records until the daemon ends.
pub async fn run<S: VersionStore>(gateway: Arc<Gateway>, store: S) {
    let mut registrar = Registrar {
        progress_pause: CHECK_INTERVAL,
        hosts: HashMap::new(),
        contacts: HashMap::new(),
        writes: HashMap::new(),
        gateway: gateway.clone(),
        store,
    };
    let mut progress = gateway.control.progress();
    loop {
        // After a timeout the records are checked by time.
        let _ = timeout(registrar.progress_pause, progress.changed()).await;
        if gateway.fleet.follows_source() || is_helping(&gateway) {
            registrar.check().await;
        }
    }
}

/// Returns whether this daemon registers versions although it doesn't follow the source itself: its
/// requests wait in vain, and it is one of the few that are drawn.
fn is_helping(gateway: &Gateway) -> bool {
    let daemons = gateway.fleet_size().unwrap_or(1).max(1);
    let is_drawn = || rand::rng().random_ratio(HELPERS.min(daemons), daemons);
    gateway.control.versions().was_missed() && is_drawn()
}

/// The connections that were tried to endpoints of a version.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    was_accepted: bool,
    /// The number of tries in a row of which none was accepted.
    failures: u32,
    next_at: TimeMs,
}

/// The services to which resumable routes of a host lead.
#[derive(Clone, Debug)]
struct HostServices {
    services: BTreeSet<ServiceName>,
    /// When this daemon learned of them.
    since: TimeMs,
}

struct Registrar<S> {
    gateway: Arc<Gateway>,
    store: S,
    /// The longest time until the next check.
    progress_pause: Duration,
    hosts: HashMap<HostHash, HostServices>,
    contacts: HashMap<VersionHash, Contact>,
    /// The newest write of each host's record: the revision that it expected, and when it was made.
    writes: HashMap<HostHash, (Revision, TimeMs)>,
}

impl<S: VersionStore> Registrar<S> {
    /// Checks the record of each host, and writes those that have to change.
    async fn check(&mut self) {
        let Some(table) = self.gateway.control.routing_table() else {
            return;
        };
        self.refresh_hosts(&table);
        self.contact_new_versions().await;
        let due: Vec<VersionRecordWrite> = (self.hosts.iter())
            .filter_map(|(host, services)| self.due_write(*host, services))
            .collect();
        let mut has_written = false;
        for write in due {
            let now = self.gateway.clock.now();
            let before = self.writes.get(&write.host);
            let is_under_way = |(expected, at): &(Revision, TimeMs)| {
                *expected == write.expected && now.since(*at) < WRITE_INTERVAL
            };
            if before.is_some_and(is_under_way) {
                continue;
            }
            self.writes.insert(write.host, (write.expected, now));
            self.write(&write).await;
            has_written = true;
        }
        if has_written {
            sleep(WRITE_PAUSE).await;
        }
    }

    /// Updates the services of all hosts that have resumable routes, or had some.
    fn refresh_hosts(&mut self, table: &RoutingTable) {
        let now = self.gateway.clock.now();
        let routes = table.resumable_services().iter();
        let mut current: HashMap<HostHash, BTreeSet<ServiceName>> = routes
            .map(|(host, services)| (HostHash::new(host), services.clone()))
            .collect();
        for host in self.gateway.control.versions().hosts() {
            current.entry(host).or_default();
        }
        self.hosts.retain(|host, _| current.contains_key(host));
        for (host, services) in current {
            let known = self.hosts.get(&host);
            if known.is_none_or(|known| known.services != services) {
                let since = now;
                self.hosts.insert(host, HostServices { services, since });
            }
        }
    }

    /// Opens connections to endpoints of versions that aren't active, where that is due.
    async fn contact_new_versions(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let versions = gateway.control.versions();
        let is_active_for = |host: &HostHash, version: VersionHash| {
            let registered = versions.record(*host).versions;
            registered.is_some_and(|registered| registered.active.contains(&version))
        };
        let mut unreached = Vec::new();
        for (version, seen) in versions.last_seen() {
            let mut of_service = (self.hosts.iter())
                .filter(|(_, known)| seen.is_present && known.services.contains(&seen.service));
            if of_service.all(|(host, _)| is_active_for(host, version)) {
                self.contacts.remove(&version);
                continue;
            }
            let contact = self.contacts.entry(version).or_default();
            if !contact.was_accepted {
                unreached.push((seen.service, version, contact.next_at));
            }
        }
        let has_unreached = !unreached.is_empty();
        unreached.retain(|(_, _, next_at)| now >= *next_at);
        let tries = unreached
            .into_iter()
            .map(|(service, version, _)| async move {
                let is_accepted = accepts_connection(gateway, &service, version).await;
                (version, is_accepted)
            });
        for (version, is_accepted) in join_all(tries).await {
            let contact = self.contacts.entry(version).or_default();
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

    /// Returns the write of a host's record that is due.
    fn due_write(&self, host: HostHash, known: &HostServices) -> Option<VersionRecordWrite> {
        let control = &self.gateway.control;
        let record = control.versions().record(host);
        let registered = record.versions.clone().unwrap_or_default();
        let seen = control.versions().last_seen();
        let of_host = (seen.iter()).filter(|(_, last)| known.services.contains(&last.service));
        let versions: BTreeSet<VersionHash> = (registered.all())
            .chain(of_host.map(|(version, _)| *version))
            .collect();
        let sights: Vec<VersionSight> = (versions.into_iter())
            .map(|version| self.sight(version, seen.get(&version), known, &record))
            .collect();
        let versions = next_record(&registered, &sights, control.version_memory())?;
        let expected = if record.exists {
            record.revision
        } else {
            Revision::new(control.source_era(), 0)
        };
        Some(VersionRecordWrite {
            host,
            expected,
            versions,
        })
    }

    /// Returns what this daemon knows of a version for one host.
    fn sight(
        &self,
        version: VersionHash,
        last: Option<&LastSeen>,
        known: &HostServices,
        record: &VersionRecord,
    ) -> VersionSight {
        let now = self.gateway.clock.now();
        let leads_there = last.is_some_and(|last| known.services.contains(&last.service));
        let is_present = leads_there && last.is_some_and(|last| last.is_present);
        let mut absent_since = last.map_or(record.applied_at, |last| last.at);
        if !leads_there {
            absent_since = absent_since.max(known.since);
        }
        let contact = self.contacts.get(&version);
        VersionSight {
            version,
            absent_for: (!is_present).then(|| now.since(absent_since)),
            was_reached: contact.is_some_and(|contact| contact.was_accepted),
            retired_for: now.since(record.applied_at),
        }
    }

    async fn write(&self, write: &VersionRecordWrite) {
        let writing = timeout(WRITE_TIMEOUT, self.store.write_versions(write)).await;
        match writing {
            Ok(Ok(VersionWrite::Written)) => event!(
                Event::VersionsWritten,
                host = write.host,
                active = list(&write.versions.active),
                retired = list(&write.versions.retired),
                revision = write.expected
            ),
            // Another daemon was first.
            Ok(Ok(VersionWrite::Conflict)) => {}
            Ok(Err(error)) => {
                event!(Event::VersionsNotWritten, host = write.host, cause = error);
            }
            Err(_) => {
                let cause = "no answer in time";
                event!(Event::VersionsNotWritten, host = write.host, cause = cause);
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

//! What this daemon believes: the routing table in force, the endpoints, and how fresh it is.

use crate::control::routing::RoutingTable;
use crate::control::source::{Change, ChangeAt, Revision};
use crate::endpoints::directory::{Directory, Endpoint};
use arc_swap::{ArcSwap, ArcSwapOption};
use bridgevane_decisions::EndpointIx;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, EndpointId, TimeMs};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// An endpoint and the revision of its newest record.
#[derive(Debug)]
struct Known {
    revision: Revision,
    endpoint: Arc<Endpoint>,
}

/// What only the follower of the source touches.
#[derive(Debug, Default)]
struct Ledger {
    endpoints: HashMap<EndpointId, Known>,
    next_index: u32,
}

/// What becomes of an endpoint whose record is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It gets nothing more.
    AtOnce,
    /// The source was away: the record may have lapsed while its endpoint lives, and come
    /// back. It is used until then.
    LapsesAt(TimeMs),
}

/// What this daemon believes. Requests read it without locks.
#[derive(Debug, Default)]
pub struct View {
    table: ArcSwapOption<RoutingTable>,
    directory: ArcSwap<Directory>,
    /// When the newest proof of freshness was asked for, plus one; 0: never.
    proved_at_ms: AtomicU64,
    ledger: Mutex<Ledger>,
}

impl View {
    /// The routing table in force.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// The endpoints that may get work.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Endpoints that may get work.
    pub fn endpoint_count(&self) -> usize {
        self.directory.load().endpoint_count()
    }

    /// Notes that what is believed was the newest at `asked_at`.
    pub fn prove(&self, asked_at: TimeMs) {
        self.proved_at_ms
            .fetch_max(asked_at.0 + 1, Ordering::AcqRel);
    }

    /// When the newest proof of freshness was asked for.
    pub fn proved_at(&self) -> Option<TimeMs> {
        let proved_at = self.proved_at_ms.load(Ordering::Acquire).checked_sub(1)?;
        Some(TimeMs(proved_at))
    }

    /// How old the newest proof of freshness is.
    pub fn proof_age(&self, now: TimeMs) -> Option<DurationMs> {
        Some(now.since(self.proved_at()?))
    }

    /// Takes in everything as it stood at a revision: endpoints that are not listed are gone.
    pub fn replace(&self, at: Revision, records: Vec<ChangeAt>, removal: Removal) {
        let mut ledger = self.ledger.lock().expect("no panic under this lock");
        let listed: Vec<EndpointId> = records
            .iter()
            .filter_map(|record| match &record.change {
                Change::Endpoint(endpoint) => Some(endpoint.id.clone()),
                _ => None,
            })
            .collect();
        let gone = ledger
            .endpoints
            .iter()
            .filter(|(id, known)| known.revision <= at && !listed.contains(id));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.remove(&mut ledger, &id, at, removal);
        }
        self.take_in(&mut ledger, records, removal);
    }

    /// Takes in changes.
    pub fn apply(&self, changes: Vec<ChangeAt>, removal: Removal) {
        if changes.is_empty() {
            return;
        }
        let mut ledger = self.ledger.lock().expect("no panic under this lock");
        self.take_in(&mut ledger, changes, removal);
    }

    /// Drops endpoints whose records went while the source was away and did not come back.
    pub fn expire(&self, now: TimeMs) {
        let mut ledger = self.ledger.lock().expect("no panic under this lock");
        let known = ledger.endpoints.iter();
        let lapsed = known.filter(|(_, known)| known.endpoint.has_lapsed(now));
        let lapsed: Vec<EndpointId> = lapsed.map(|(id, _)| id.clone()).collect();
        if lapsed.is_empty() {
            return;
        }
        for id in lapsed {
            drop_endpoint(&mut ledger, &id);
        }
        self.refresh(&ledger);
    }

    fn refresh(&self, ledger: &Ledger) {
        let endpoints = ledger.endpoints.values().map(|known| &known.endpoint);
        self.directory.store(Arc::new(Directory::new(endpoints)));
    }

    fn take_in(&self, ledger: &mut Ledger, changes: Vec<ChangeAt>, removal: Removal) {
        for ChangeAt { revision, change } in changes {
            match change {
                Change::Routing(table) => self.put_in_force(table, revision),
                Change::Endpoint(record) => self.upsert(ledger, record, revision),
                Change::EndpointGone(id) => self.remove(ledger, &id, revision, removal),
                Change::Unreadable(what) => {
                    event!(Event::ConfigRejected, what = what, revision = revision);
                }
            }
        }
        self.refresh(ledger);
    }

    /// A version never goes back.
    fn put_in_force(&self, table: Arc<RoutingTable>, revision: Revision) {
        let current = self.table.load();
        if current
            .as_ref()
            .is_some_and(|current| current.version() >= table.version())
        {
            return;
        }
        event!(
            Event::ConfigInForce,
            version = table.version(),
            revision = revision
        );
        self.table.store(Some(table));
    }

    fn upsert(
        &self,
        ledger: &mut Ledger,
        record: crate::endpoints::directory::EndpointRecord,
        revision: Revision,
    ) {
        if let Some(known) = ledger.endpoints.get_mut(&record.id) {
            if known.revision >= revision {
                return;
            }
            known.revision = revision;
            known.endpoint.renew();
            let was = known.endpoint.record.load();
            if was.is_draining != record.is_draining {
                log_endpoint(&record, revision);
            }
            known.endpoint.record.store(Arc::new(record));
            return;
        }
        log_endpoint(&record, revision);
        let index = EndpointIx(ledger.next_index);
        ledger.next_index += 1;
        let id = record.id.clone();
        let endpoint = Arc::new(Endpoint::new(index, record));
        let known = Known { revision, endpoint };
        ledger.endpoints.insert(id, known);
    }

    fn remove(&self, ledger: &mut Ledger, id: &EndpointId, revision: Revision, removal: Removal) {
        let Some(known) = ledger.endpoints.get_mut(id) else {
            return;
        };
        if known.revision >= revision {
            return;
        }
        known.revision = revision;
        match removal {
            // One that said that it leaves is not expected back.
            Removal::LapsesAt(at) if !known.endpoint.record.load().is_draining => {
                known.endpoint.lapse_at(at);
                event!(Event::EndpointLapsed, endpoint = id, revision = revision);
            }
            _ => drop_endpoint(ledger, id),
        }
    }
}

fn drop_endpoint(ledger: &mut Ledger, id: &EndpointId) {
    if let Some(known) = ledger.endpoints.remove(id) {
        known.endpoint.connections.close();
        let revision = known.revision;
        event!(Event::EndpointGone, endpoint = id, revision = revision);
    }
}

fn log_endpoint(record: &crate::endpoints::directory::EndpointRecord, revision: Revision) {
    event!(
        Event::EndpointSeen,
        endpoint = record.id,
        service = record.service,
        address = record.address,
        draining = record.is_draining,
        revision = revision
    );
}

//! The daemons that requests may be forwarded to: where they are, what they declined, and idle
//! connections to them.
//!
//! Owns this state behind one short lock, which requests take only while they are forwarded. It is
//! lost with the process, and learned again from the seeds and from other daemons.

use crate::clock::AtomicTime;
use crate::counter::{CountGuard, Counter};
use crate::decisions::forwarding::{ForwardingCandidate, choose, decline_time};
use crate::endpoints::connection::Connection;
use crate::endpoints::idle_connections::IdleConnections;
use bridgevane_types::{DataCentreId, DurationMs, ServiceName, TimeMs};
use rand::seq::IteratorRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The maximum number of known daemons; those heard of the longest ago are forgotten first.
const MAX_DAEMONS: usize = 64;
/// How long a daemon counts as one that serves a service, after it last did.
const SERVED_LIFETIME: DurationMs = DurationMs(5_000);
/// How long an idle connection to a daemon is kept.
const IDLE_TIMEOUT: DurationMs = DurationMs(2_000);
/// The maximum number of idle connections to one daemon.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// What a daemon did with the requests of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceRecord {
    declines_in_a_row: u32,
    declined_until: TimeMs,
    served_at: Option<TimeMs>,
}

impl ServiceRecord {
    fn is_backed_off(&self, now: TimeMs) -> bool {
        now < self.declined_until
    }

    fn has_served(&self, now: TimeMs) -> bool {
        self.served_at
            .is_some_and(|at| now.since(at) < SERVED_LIFETIME)
    }
}

#[derive(Debug)]
struct KnownDaemon {
    data_centre: Option<DataCentreId>,
    heard_of_at: TimeMs,
    by_service: HashMap<ServiceName, ServiceRecord>,
    connections: Arc<DaemonConnections>,
}

impl KnownDaemon {
    fn record(&self, service: &ServiceName) -> ServiceRecord {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    fn has_served_any(&self, now: TimeMs) -> bool {
        self.by_service
            .values()
            .any(|record| record.has_served(now))
    }
}

/// What the known daemons show of their data centres, for one request.
#[derive(Debug)]
struct Places<'a> {
    /// Those of the daemons that the request has asked.
    asked: Vec<&'a DataCentreId>,
    /// Those with a daemon that is backed off.
    declined: Vec<&'a DataCentreId>,
    /// Those with a daemon that has served the service lately.
    served: Vec<&'a DataCentreId>,
}

impl<'a> Places<'a> {
    fn new(
        known: &'a HashMap<SocketAddr, KnownDaemon>,
        now: TimeMs,
        service: &ServiceName,
        asked: &[SocketAddr],
    ) -> Self {
        let mut places = Self {
            asked: Vec::new(),
            declined: Vec::new(),
            served: Vec::new(),
        };
        for (address, daemon) in known {
            let Some(place) = &daemon.data_centre else {
                continue;
            };
            let record = daemon.record(service);
            for (is_in, list) in [
                (asked.contains(address), &mut places.asked),
                (record.is_backed_off(now), &mut places.declined),
                (record.has_served(now), &mut places.served),
            ] {
                if is_in && !list.contains(&place) {
                    list.push(place);
                }
            }
        }
        places
    }

    fn has_declined(&self, place: &DataCentreId) -> bool {
        self.declined.contains(&place) && !self.served.contains(&place)
    }
}

/// The connections to one daemon.
#[derive(Debug, Default)]
pub(crate) struct DaemonConnections {
    idle: IdleConnections,
    in_progress: Counter,
    last_activity_at: AtomicTime,
}

impl DaemonConnections {
    /// Counts a request that is in progress there until the guard is dropped.
    pub(crate) fn begin_request(&self) -> CountGuard {
        self.in_progress.hold(1)
    }

    /// Returns when bytes last arrived from the daemon.
    pub(crate) fn last_activity_at(&self) -> Option<TimeMs> {
        self.last_activity_at.get()
    }

    /// Records that bytes arrived from the daemon.
    pub(crate) fn on_activity(&self, now: TimeMs) {
        self.last_activity_at.set(now);
    }

    /// Takes an idle connection.
    pub(crate) fn take_idle(&self, now: TimeMs) -> Option<Connection> {
        self.idle.take(now)
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put_idle(&self, now: TimeMs, connection: Connection) {
        self.idle
            .put(connection, now + IDLE_TIMEOUT, MAX_IDLE_CONNECTIONS);
    }
}

/// A daemon that was chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenDaemon {
    /// Its peer address.
    pub address: SocketAddr,
    pub(crate) connections: Arc<DaemonConnections>,
}

/// The known daemons.
#[derive(Debug)]
pub struct Daemons {
    own_address: Option<SocketAddr>,
    own_data_centre: DataCentreId,
    known: Mutex<HashMap<SocketAddr, KnownDaemon>>,
}

impl Daemons {
    /// Creates the set of a daemon that knows the seeds.
    pub fn new(
        own_address: Option<SocketAddr>,
        own_data_centre: DataCentreId,
        seeds: &[SocketAddr],
    ) -> Self {
        let daemons = Self {
            own_address,
            own_data_centre,
            known: Mutex::default(),
        };
        for seed in seeds {
            daemons.on_heard_of(TimeMs(0), *seed, None);
        }
        daemons
    }

    fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, KnownDaemon>> {
        self.known.lock().expect("no panic under this lock")
    }

    /// Records that a daemon exists, and its data centre if that is known.
    pub fn on_heard_of(
        &self,
        now: TimeMs,
        address: SocketAddr,
        data_centre: Option<&DataCentreId>,
    ) {
        if Some(address) == self.own_address {
            return;
        }
        let mut known = self.known();
        let daemon = known.entry(address).or_insert_with(|| KnownDaemon {
            data_centre: None,
            heard_of_at: now,
            by_service: HashMap::new(),
            connections: Arc::default(),
        });
        daemon.heard_of_at = now;
        if let Some(data_centre) = data_centre {
            daemon.data_centre = Some(data_centre.clone());
        }
        if known.len() > MAX_DAEMONS
            && let Some(oldest) = oldest(&known, now)
        {
            known.remove(&oldest);
        }
    }

    /// Returns up to `count` daemons with known data centres, at random.
    pub fn sample(&self, count: usize) -> Vec<(SocketAddr, DataCentreId)> {
        let known = self.known();
        let placed = known
            .iter()
            .filter_map(|(address, daemon)| Some((*address, daemon.data_centre.clone()?)));
        placed.sample(&mut rand::rng(), count)
    }

    /// Chooses the daemon that a request is forwarded to, without those already asked for it.
    pub fn choose(
        &self,
        now: TimeMs,
        service: &ServiceName,
        asked: &[SocketAddr],
    ) -> Option<ChosenDaemon> {
        let known = self.known();
        let places = Places::new(&known, now, service, asked);
        let candidates = known
            .iter()
            .filter(|(address, _)| !asked.contains(address))
            .map(|(address, daemon)| {
                let chosen = ChosenDaemon {
                    address: *address,
                    connections: daemon.connections.clone(),
                };
                (chosen, self.candidate(now, service, daemon, &places))
            });
        choose(candidates)
    }

    fn candidate(
        &self,
        now: TimeMs,
        service: &ServiceName,
        daemon: &KnownDaemon,
        places: &Places<'_>,
    ) -> ForwardingCandidate {
        let record = daemon.record(service);
        let place = daemon.data_centre.as_ref();
        ForwardingCandidate {
            is_backed_off: record.is_backed_off(now),
            has_served: record.has_served(now),
            is_place_asked: place.is_some_and(|place| places.asked.contains(&place)),
            has_place_declined: place.is_some_and(|place| places.has_declined(place)),
            is_local: place == Some(&self.own_data_centre),
            in_progress: daemon.connections.in_progress.get(),
            tie_break: rand::random(),
        }
    }

    /// Records that a daemon declined a request of the service, or could not be reached.
    pub fn on_declined(&self, now: TimeMs, daemon: SocketAddr, service: &ServiceName) {
        self.update(daemon, service, |record| {
            record.declines_in_a_row += 1;
            record.declined_until = now + decline_time(record.declines_in_a_row);
            record.served_at = None;
        });
    }

    /// Records that an endpoint answered a request of the service through a daemon.
    pub fn on_served(&self, now: TimeMs, daemon: SocketAddr, service: &ServiceName) {
        self.update(daemon, service, |record| {
            *record = ServiceRecord {
                served_at: Some(now),
                ..ServiceRecord::default()
            };
        });
    }

    fn update(
        &self,
        daemon: SocketAddr,
        service: &ServiceName,
        update: impl FnOnce(&mut ServiceRecord),
    ) {
        let mut known = self.known();
        if let Some(daemon) = known.get_mut(&daemon) {
            update(daemon.by_service.entry(service.clone()).or_default());
        }
    }
}

/// Returns the daemon that is forgotten first: of those that have served no service lately, the one
/// heard of the longest ago.
fn oldest(known: &HashMap<SocketAddr, KnownDaemon>, now: TimeMs) -> Option<SocketAddr> {
    let oldest = known
        .iter()
        .min_by_key(|(_, daemon)| (daemon.has_served_any(now), daemon.heard_of_at));
    oldest.map(|(address, _)| *address)
}

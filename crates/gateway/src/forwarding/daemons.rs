//! The daemons that requests may be forwarded to: where they are, what they declined, and idle
//! connections to them.
//!
//! Owns this state behind one short lock, which requests take only while they are forwarded. It is
//! lost with the process, and learned again from the seeds and from other daemons.

use crate::clock::AtomicTime;
use crate::counter::{CountGuard, Counter};
use crate::decisions::eligibility::region_limits::RegionLimits;
use crate::decisions::forwarding::{
    Experience, ForwardingCandidate, choose, decline_time, may_ask,
};
use crate::endpoints::connection::Connection;
use crate::endpoints::idle_connections::IdleConnections;
use bridgevane_types::{DataCentreId, DurationMs, ServiceName, TimeMs};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The maximum number of known daemons; those heard of the longest ago are forgotten first.
const MAX_DAEMONS: usize = 64;
/// How long a daemon counts as one that serves a service, after it last did. One that no longer does
/// declines, which costs a round trip.
const SERVED_LIFETIME: DurationMs = DurationMs(30_000);
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
    /// When another daemon last named it as one that serves.
    named_at: Option<TimeMs>,
}

impl ServiceRecord {
    fn is_backed_off(&self, now: TimeMs) -> bool {
        now < self.declined_until
    }

    fn has_served(&self, now: TimeMs) -> bool {
        is_recent(self.served_at, now)
    }

    fn experience(&self, now: TimeMs) -> Experience {
        if self.has_served(now) {
            Experience::Served
        } else if is_recent(self.named_at, now) {
            Experience::NamedAsServing
        } else {
            Experience::Unknown
        }
    }
}

#[derive(Debug)]
struct KnownDaemon {
    data_centre: Option<DataCentreId>,
    heard_of_at: TimeMs,
    by_service: HashMap<ServiceName, ServiceRecord>,
    connections: Arc<DaemonConnections>,
}

fn is_recent(at: Option<TimeMs>, now: TimeMs) -> bool {
    at.is_some_and(|at| now.since(at) < SERVED_LIFETIME)
}

impl KnownDaemon {
    fn record(&self, service: &ServiceName) -> ServiceRecord {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    fn serves_any(&self, now: TimeMs) -> bool {
        let mut records = self.by_service.values();
        records.any(|record| record.experience(now) != Experience::Unknown)
    }

    /// Records its data centre. If that was another one, the address belongs to another daemon now, and the
    /// connections may lead to the earlier one.
    fn set_data_centre(&mut self, data_centre: &DataCentreId) {
        let earlier = self.data_centre.replace(data_centre.clone());
        if earlier.is_some_and(|earlier| earlier != *data_centre) {
            self.connections = Arc::default();
        }
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
        known: &'a BTreeMap<SocketAddr, KnownDaemon>,
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
    /// Its data centre, if that is known.
    pub data_centre: Option<DataCentreId>,
    pub(crate) connections: Arc<DaemonConnections>,
}

/// The known daemons.
#[derive(Debug)]
pub struct Daemons {
    own_address: Option<SocketAddr>,
    own_data_centre: DataCentreId,
    known: Mutex<Known>,
}

#[derive(Debug)]
struct Known {
    daemons: BTreeMap<SocketAddr, KnownDaemon>,
    /// Draws the order of equals, so that daemons that are cut off together don't all ask the same.
    random: StdRng,
}

impl Daemons {
    /// Creates the set of a daemon that knows the seeds; `random_seed` determines the order of equals.
    pub fn new(
        own_address: Option<SocketAddr>,
        own_data_centre: DataCentreId,
        seeds: &[SocketAddr],
        random_seed: u64,
    ) -> Self {
        let daemons = Self {
            own_address,
            own_data_centre,
            known: Mutex::new(Known {
                daemons: BTreeMap::new(),
                random: StdRng::seed_from_u64(random_seed),
            }),
        };
        for seed in seeds {
            daemons.on_heard_of(TimeMs(0), *seed, None);
        }
        daemons
    }

    fn known(&self) -> MutexGuard<'_, Known> {
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
        let known = &mut self.known().daemons;
        let daemon = known.entry(address).or_insert_with(|| KnownDaemon {
            data_centre: None,
            heard_of_at: now,
            by_service: HashMap::new(),
            connections: Arc::default(),
        });
        daemon.heard_of_at = now;
        if let Some(data_centre) = data_centre {
            daemon.set_data_centre(data_centre);
        }
        if known.len() > MAX_DAEMONS
            && let Some(oldest) = oldest(known, now)
        {
            known.remove(&oldest);
        }
    }

    /// Returns up to `count` daemons with known data centres, at random.
    pub fn sample(&self, count: usize) -> Vec<(SocketAddr, DataCentreId)> {
        let mut known = self.known();
        let Known { daemons, random } = &mut *known;
        let placed = daemons
            .iter()
            .filter_map(|(address, daemon)| Some((*address, daemon.data_centre.clone()?)));
        placed.sample(random, count)
    }

    /// Chooses the daemon that a request with these limits is forwarded to, without those already asked
    /// for it.
    pub fn choose(
        &self,
        now: TimeMs,
        service: &ServiceName,
        asked: &[SocketAddr],
        limits: &RegionLimits<'_>,
    ) -> Option<ChosenDaemon> {
        let mut known = self.known();
        let Known { daemons, random } = &mut *known;
        let places = Places::new(daemons, now, service, asked);
        let candidates = daemons
            .iter()
            .filter(|(address, _)| !asked.contains(address))
            .map(|(address, daemon)| {
                let chosen = ChosenDaemon {
                    address: *address,
                    data_centre: daemon.data_centre.clone(),
                    connections: daemon.connections.clone(),
                };
                let candidate = self.candidate(now, service, daemon, &places, limits);
                (
                    chosen,
                    ForwardingCandidate {
                        tie_break: random.random(),
                        ..candidate
                    },
                )
            });
        choose(candidates)
    }

    fn candidate(
        &self,
        now: TimeMs,
        service: &ServiceName,
        daemon: &KnownDaemon,
        places: &Places<'_>,
        limits: &RegionLimits<'_>,
    ) -> ForwardingCandidate {
        let record = daemon.record(service);
        let place = daemon.data_centre.as_ref();
        ForwardingCandidate {
            is_allowed: may_ask(limits, place),
            is_backed_off: record.is_backed_off(now),
            experience: record.experience(now),
            is_place_asked: place.is_some_and(|place| places.asked.contains(&place)),
            has_place_declined: place.is_some_and(|place| places.has_declined(place)),
            is_local: place == Some(&self.own_data_centre),
            in_progress: daemon.connections.in_progress.get(),
            tie_break: 0,
        }
    }

    /// Records that another daemon named this one as serving requests of the service.
    pub fn on_named_as_serving(
        &self,
        now: TimeMs,
        daemon: SocketAddr,
        data_centre: &DataCentreId,
        service: &ServiceName,
    ) {
        self.on_heard_of(now, daemon, Some(data_centre));
        self.update(daemon, service, |record| record.named_at = Some(now));
    }

    /// Returns whether a daemon is known that serves requests of the service.
    pub fn knows_serving(&self, now: TimeMs, service: &ServiceName) -> bool {
        let known = self.known();
        let mut records = known.daemons.values().map(|daemon| daemon.record(service));
        records.any(|record| {
            record.experience(now) != Experience::Unknown && !record.is_backed_off(now)
        })
    }

    /// Returns up to `count` daemons that have served requests of the service lately, at random.
    pub fn serving(
        &self,
        now: TimeMs,
        service: &ServiceName,
        count: usize,
    ) -> Vec<(SocketAddr, DataCentreId)> {
        let mut known = self.known();
        let Known { daemons, random } = &mut *known;
        let serving = daemons
            .iter()
            .filter(|(_, daemon)| daemon.record(service).has_served(now))
            .filter_map(|(address, daemon)| Some((*address, daemon.data_centre.clone()?)));
        serving.sample(random, count)
    }

    /// Records that a daemon declined a request of the service, or could not be reached.
    pub fn on_declined(&self, now: TimeMs, daemon: SocketAddr, service: &ServiceName) {
        self.update(daemon, service, |record| {
            record.declines_in_a_row += 1;
            record.declined_until = now + decline_time(record.declines_in_a_row);
            record.served_at = None;
            record.named_at = None;
        });
    }

    /// Records the end of a handshake that no request waits for: an accepted connection is kept for the
    /// next request.
    pub(crate) fn on_handshake(
        &self,
        now: TimeMs,
        daemon: ChosenDaemon,
        service: &ServiceName,
        accepted: Option<Connection>,
    ) {
        let Some(connection) = accepted else {
            return self.on_declined(now, daemon.address, service);
        };
        self.update(daemon.address, service, |record| {
            *record = ServiceRecord {
                served_at: record.served_at,
                named_at: Some(now),
                ..ServiceRecord::default()
            };
        });
        daemon.connections.on_activity(now);
        daemon.connections.put_idle(now, connection);
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
        let known = &mut self.known().daemons;
        if let Some(daemon) = known.get_mut(&daemon) {
            update(daemon.by_service.entry(service.clone()).or_default());
        }
    }
}

/// Returns the daemon that is forgotten first: of those that aren't known to serve, the one heard of
/// the longest ago.
fn oldest(known: &BTreeMap<SocketAddr, KnownDaemon>, now: TimeMs) -> Option<SocketAddr> {
    let oldest = known
        .iter()
        .min_by_key(|(_, daemon)| (daemon.serves_any(now), daemon.heard_of_at));
    oldest.map(|(address, _)| *address)
}

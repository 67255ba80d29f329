//! One endpoint: its record from the control source, and its state on this daemon.
//!
//! Owns load, health and idle connections, each behind its own lock or atomics. Its record is
//! replaced as a whole by [`crate::control::endpoint_registry`]; requests hold the endpoint by
//! reference count while they need it.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::leaving::EndpointLife;
use crate::endpoints::cold_state::ColdState;
use crate::endpoints::health::EndpointHealth;
use crate::endpoints::idle_connections::IdleConnections;
use crate::endpoints::load::EndpointLoad;
use crate::endpoints::lost_requests::LostRequests;
use crate::endpoints::rate_limit::RateLimitState;
use crate::work_by_endpoint::EndpointHash;
use arc_swap::ArcSwap;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DataCentreId, DurationMs, EndpointId, ServiceName, TimeMs, WallTimeMs};
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// An endpoint as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint: a worker.
    pub id: EndpointId,
    /// When its process started, by its own VM's time of day: it may start again under its id, and then
    /// knows nothing of before. None: it doesn't say.
    pub born: Option<WallTimeMs>,
    /// Counts what its process wrote of itself; none: it doesn't say.
    pub sequence: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens. Another endpoint may get the address later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave: it gets nothing new.
    pub is_draining: bool,
    /// Whether the platform may take it back at any time.
    pub is_reclaimable: bool,
    /// How much longer it is cold; 0: it isn't, or doesn't say.
    pub cold_remaining_ms: DurationMs,
}

/// One life of an endpoint with its state on this daemon.
#[derive(Debug)]
pub struct Endpoint {
    /// A small number in place of its id.
    pub index: EndpointIx,
    /// The name of this life of it in messages between daemons.
    pub hash: EndpointHash,
    /// Its newest record.
    pub record: ArcSwap<EndpointRecord>,
    /// Requests there.
    pub load: EndpointLoad,
    /// What became of requests there.
    pub health: EndpointHealth,
    /// Open connections without a request.
    pub(crate) idle_connections: IdleConnections,
    /// Until when it is cold, and what it got meanwhile.
    pub(crate) cold: ColdState,
    /// The limit of its requests that it names.
    pub rate_limit: RateLimitState,
    /// Whether it has said that it leaves.
    is_leaving: AtomicBool,
    /// Until when it wants nothing from this daemon.
    resting_until: AtomicTime,
    /// Made when a connection breaks for the first time: most endpoints never need it, and a daemon may
    /// know thousands.
    lost_requests: OnceLock<Box<LostRequests>>,
    /// When it counts as gone, since its record went during an outage of the source.
    expires_at: AtomicTime,
}

impl Endpoint {
    /// An endpoint whose record has just been seen.
    pub fn new(index: EndpointIx, record: EndpointRecord) -> Self {
        Self {
            index,
            hash: EndpointHash::of_life(&record.id, record.born),
            record: ArcSwap::from_pointee(record),
            load: EndpointLoad::default(),
            health: EndpointHealth::default(),
            idle_connections: IdleConnections::default(),
            cold: ColdState::default(),
            rate_limit: RateLimitState::default(),
            is_leaving: AtomicBool::new(false),
            resting_until: AtomicTime::default(),
            lost_requests: OnceLock::new(),
            expires_at: AtomicTime::default(),
        }
    }

    /// It says in an answer that it leaves; false when that was known. There is no way back in this life.
    pub(crate) fn leave(&self) -> bool {
        let is_news = !self.is_leaving.swap(true, Ordering::AcqRel);
        if is_news {
            // What is open carries no new request.
            self.idle_connections.close();
        }
        is_news
    }

    /// Whether it has said that it leaves, in an answer or in its record.
    pub(crate) fn is_leaving(&self) -> bool {
        self.has_said_it_leaves() || self.record.load().is_draining
    }

    /// Whether it has said in an answer that it leaves.
    pub(crate) fn has_said_it_leaves(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// This life of it.
    pub(crate) fn life(&self) -> EndpointLife {
        let record = self.record.load();
        EndpointLife {
            id: record.id.clone(),
            born: record.born,
        }
    }

    /// Whether an endpoint of the directory is in use still: its record has not expired, and it has not said that it
    /// leaves.
    pub(crate) fn is_in_use(&self, now: TimeMs) -> bool {
        !self.has_expired(now) && !self.has_said_it_leaves()
    }

    /// It wants nothing from this daemon for so long; false when it was resting already.
    pub(crate) fn rest(&self, now: TimeMs, rest: DurationMs) -> bool {
        let was_resting = self.rest_left(now).is_some();
        self.resting_until.set_if_later(now + rest);
        !was_resting
    }

    /// How much longer it wants nothing from this daemon; none: it rests no more.
    pub(crate) fn rest_left(&self, now: TimeMs) -> Option<DurationMs> {
        let until = self.resting_until.get()?;
        (now < until).then(|| until.since(now))
    }

    /// Requests that were under way when a connection broke.
    pub(crate) fn lost_requests(&self) -> &LostRequests {
        self.lost_requests.get_or_init(Box::default)
    }

    /// Its record is gone; it is used until `at` nonetheless, or until an earlier moment set
    /// before.
    pub(crate) fn expire_at(&self, at: TimeMs) {
        self.expires_at.set_if_unset(at);
    }

    /// Its record is back.
    pub(crate) fn renew(&self) {
        self.expires_at.unset();
    }

    /// Whether its record went and did not come back in time.
    pub(crate) fn has_expired(&self, now: TimeMs) -> bool {
        self.expires_at.get().is_some_and(|at| now >= at)
    }
}

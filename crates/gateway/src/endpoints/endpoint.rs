//! An endpoint: its record from the control source, and its state on this daemon.
//!
//! Owns load, health and idle connections, each behind its own lock or atomics. Its record is
//! replaced as a whole by [`crate::control::endpoint_registry`]; requests hold the endpoint by
//! reference count while they need it.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::brittle::{BrittleLoad, has_room};
use crate::decisions::eligibility::leaving::EndpointIncarnation;
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::endpoints::brittle_state::BrittleState;
use crate::endpoints::cold_state::ColdState;
use crate::endpoints::health::EndpointHealth;
use crate::endpoints::idle_connections::IdleConnections;
use crate::endpoints::load::EndpointLoad;
use crate::endpoints::lost_requests::LostRequests;
use crate::endpoints::pace_state::PaceState;
use crate::endpoints::rate_limit::RateLimitState;
use crate::work_by_endpoint::EndpointHash;
use arc_swap::ArcSwap;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{
    DataCentreId, DurationMs, EndpointId, ServiceName, SoftwareVersion, TimeMs, WallTimeMs,
};
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// The record that an endpoint publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The id of the endpoint, which is a worker.
    pub id: EndpointId,
    /// When its process started, by the clock of its own VM: it may start again with the same id,
    /// and then has no state of its predecessor. `None` if not reported.
    pub started_at: Option<WallTimeMs>,
    /// The number of records that its process has written; `None` if not reported.
    pub sequence: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// The address where it listens. Another endpoint may get the address later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of its software; `None` if not reported.
    pub version: Option<SoftwareVersion>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave, and gets no new requests.
    pub is_draining: bool,
    /// Whether the platform may reclaim it at any time.
    pub is_reclaimable: bool,
    /// How much longer it is cold; 0 if it isn't, or doesn't report it.
    pub cold_remaining_ms: DurationMs,
}

/// One incarnation of an endpoint with its state on this daemon.
#[derive(Debug)]
pub struct Endpoint {
    /// A small number that stands for its id.
    pub index: EndpointIx,
    /// The hash that identifies this incarnation in messages between daemons.
    pub hash: EndpointHash,
    /// The version of its software; an endpoint with another version is another incarnation.
    pub version: VersionHash,
    /// Its newest record.
    pub record: ArcSwap<EndpointRecord>,
    /// The load of requests there.
    pub load: EndpointLoad,
    /// The outcomes of requests there.
    pub health: EndpointHealth,
    /// How long work takes there.
    pub pace: PaceState,
    /// The open connections without a request.
    pub(crate) idle_connections: IdleConnections,
    /// Until when it is cold, and the requests that it got meanwhile.
    pub(crate) cold: ColdState,
    /// The limit that it announces for its requests.
    pub rate_limit: RateLimitState,
    /// Whether it announces that it is brittle.
    pub brittle: BrittleState,
    /// Whether it has announced in an answer that it is leaving.
    is_leaving: AtomicBool,
    /// When the back-off ends that it asked this daemon for.
    backoff_until: AtomicTime,
    /// Created when a connection breaks for the first time: most endpoints never need it, and a
    /// daemon may know thousands.
    lost_requests: OnceLock<Box<LostRequests>>,
    /// When it counts as gone, if its record was removed during an outage of the source.
    expires_at: AtomicTime,
}

impl Endpoint {
    /// Creates an endpoint whose record has just been seen.
    pub fn new(index: EndpointIx, record: EndpointRecord) -> Self {
        Self {
            index,
            hash: EndpointHash::of_incarnation(&record.id, record.started_at),
            version: VersionHash::new(&record.service, record.version.as_ref()),
            record: ArcSwap::from_pointee(record),
            load: EndpointLoad::default(),
            health: EndpointHealth::default(),
            pace: PaceState::default(),
            idle_connections: IdleConnections::default(),
            cold: ColdState::default(),
            rate_limit: RateLimitState::default(),
            brittle: BrittleState::default(),
            is_leaving: AtomicBool::new(false),
            backoff_until: AtomicTime::default(),
            lost_requests: OnceLock::new(),
            expires_at: AtomicTime::default(),
        }
    }

    /// Records that it announced in an answer that it is leaving; returns false if that was known.
    /// An incarnation never returns to service.
    pub(crate) fn mark_leaving(&self) -> bool {
        let is_new = !self.is_leaving.swap(true, Ordering::AcqRel);
        if is_new {
            // Open connections carry no new request.
            self.idle_connections.close();
        }
        is_new
    }

    /// Returns whether it has announced that it is leaving, in an answer or in its record.
    pub(crate) fn is_leaving(&self) -> bool {
        self.has_announced_leaving() || self.record.load().is_draining
    }

    /// Returns whether it has announced in an answer that it is leaving.
    pub(crate) fn has_announced_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns the identity of this incarnation.
    pub(crate) fn incarnation(&self) -> EndpointIncarnation {
        let record = self.record.load();
        EndpointIncarnation {
            id: record.id.clone(),
            started_at: record.started_at,
        }
    }

    /// Returns whether an endpoint of the directory may still be used: its record has not expired,
    /// and it has not announced in an answer that it is leaving.
    pub(crate) fn is_usable(&self, now: TimeMs) -> bool {
        !self.has_expired(now) && !self.has_announced_leaving()
    }

    /// Returns whether a request needs one of the permits of a brittle endpoint.
    pub(crate) fn needs_brittle_permit(&self, now: TimeMs, daemons: Option<u32>) -> bool {
        if !self.brittle.permits.is_limited() {
            return false;
        }
        let load = self.load.snapshot(now);
        let load = BrittleLoad {
            slots: self.record.load().slots,
            daemons,
            own_running: load.own_running,
            running: load.fleet_running(),
            is_full: self.brittle.fullness().is_full(),
        };
        !has_room(load)
    }

    /// Starts a back-off of the length that it asked for; returns false if there already was one.
    pub(crate) fn start_backoff(&self, now: TimeMs, duration: DurationMs) -> bool {
        let was_backing_off = self.backoff_remaining(now).is_some();
        self.backoff_until.set_if_later(now + duration);
        !was_backing_off
    }

    /// Returns the remaining back-off; `None` if there is none.
    pub(crate) fn backoff_remaining(&self, now: TimeMs) -> Option<DurationMs> {
        let until = self.backoff_until.get()?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the requests that were in flight when a connection broke.
    pub(crate) fn lost_requests(&self) -> &LostRequests {
        self.lost_requests.get_or_init(Box::default)
    }

    /// Records that its record was removed: it may still be used until `at`, or until an earlier
    /// time set before.
    pub(crate) fn expire_at(&self, at: TimeMs) {
        self.expires_at.set_if_unset(at);
    }

    /// Records that its record has returned.
    pub(crate) fn renew(&self) {
        self.expires_at.clear();
    }

    /// Returns whether its record was removed and did not return in time.
    pub(crate) fn has_expired(&self, now: TimeMs) -> bool {
        self.expires_at.get().is_some_and(|at| now >= at)
    }
}

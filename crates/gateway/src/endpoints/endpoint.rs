//! An endpoint: its record from the control source, and its state on this daemon.
//!
//! Owns load, health and idle connections, each behind its own lock or atomics. Its record is
//! replaced as a whole by [`crate::control::endpoint_registry`]; requests hold the endpoint by
//! reference count while they need it.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::brittle::{BrittleLoad, has_room};
use crate::decisions::eligibility::leaving::EndpointIncarnation;
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::replication::record_expiry::LostRecord;
use crate::endpoints::brittle_state::BrittleState;
use crate::endpoints::cold_state::ColdState;
use crate::endpoints::health::EndpointHealth;
use crate::endpoints::idle_connections::IdleConnections;
use crate::endpoints::load::EndpointLoad;
use crate::endpoints::lost_requests::LostRequests;
use crate::endpoints::pace_state::PaceState;
use crate::endpoints::rate_limit::RateLimitState;
use crate::work_by_endpoint::EndpointHash;
use arc_swap::{ArcSwap, ArcSwapOption};
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{
    DataCentreId, DurationMs, EndpointId, ServiceName, SoftwareVersion, TimeMs, WallTimeMs,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

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
    /// The last time at which it showed that it isn't leaving.
    stayed_at: AtomicTime,
    /// Set while its record is gone and may be lost.
    lost_record: ArcSwapOption<LostRecord>,
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
            stayed_at: AtomicTime::default(),
            lost_record: ArcSwapOption::empty(),
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

    /// Records that it answered a request that was sent at `sent_at`, and didn't announce the end of its
    /// connection, as an endpoint that is leaving does.
    pub(crate) fn on_stays(&self, sent_at: TimeMs) {
        self.stayed_at.set_if_later(sent_at);
    }

    /// Records that its record is gone and may be lost, unless that is known.
    pub(crate) fn on_record_lost(&self, lost: LostRecord) {
        if self.lost_record.load().is_none() {
            self.lost_record.store(Some(Arc::new(lost)));
        }
    }

    /// Returns whether its record is there.
    pub(crate) fn has_record(&self) -> bool {
        self.lost_record.load().is_none()
    }

    /// Records that its record has returned.
    pub(crate) fn renew(&self) {
        self.lost_record.store(None);
    }

    /// Returns whether its record is gone, and it may not be used without one any more.
    pub(crate) fn has_expired(&self, now: TimeMs) -> bool {
        let expires_at = self.expires_at();
        expires_at.is_some_and(|expires_at| now >= expires_at)
    }

    /// Returns how much longer it may be used without its record; 0 if its record isn't lost.
    pub(crate) fn usable_without_record(&self, now: TimeMs) -> DurationMs {
        let expires_at = self.expires_at();
        expires_at.map_or(DurationMs(0), |expires_at| expires_at.since(now))
    }

    fn expires_at(&self) -> Option<TimeMs> {
        let lost = self.lost_record.load();
        let lost = lost.as_ref()?;
        Some(lost.expires_at(self.stayed_at.get()))
    }

    /// Returns whether its record was lost and is not expected back any more. Until then what is known of
    /// it is kept, also while it isn't used.
    pub(crate) fn is_record_overdue(&self, now: TimeMs) -> bool {
        let lost = self.lost_record.load();
        lost.as_ref().is_some_and(|lost| now >= lost.restored_by)
    }
}

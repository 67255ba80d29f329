//! Endpoints of all services, and what this daemon knows of each.

use crate::endpoints::health::Health;
use crate::endpoints::idle_connections::IdleConnections;
use crate::endpoints::load::EndpointLoad;
use crate::replication::work::EndpointHash;
use arc_swap::ArcSwap;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DataCentreId, EndpointId, ServiceName, TimeMs};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use xxhash_rust::xxh3::xxh3_64;

/// An endpoint as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint: one start of a worker.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// An endpoint with its state on this daemon.
#[derive(Debug)]
pub struct Endpoint {
    /// A small number in place of its name.
    pub index: EndpointIx,
    /// What it is called between daemons.
    pub hash: EndpointHash,
    /// Its newest record.
    pub record: ArcSwap<EndpointRecord>,
    /// Work under way.
    pub load: EndpointLoad,
    /// Whether it is in use.
    pub health: Health,
    /// Open connections that rest.
    pub connections: IdleConnections,
    /// When it is to be taken as gone, since its record went while the source was away; 0: it
    /// has a record.
    lapses_at_ms: AtomicU64,
}

impl Endpoint {
    /// An endpoint that was just seen.
    pub fn new(index: EndpointIx, record: EndpointRecord) -> Self {
        Self {
            index,
            hash: EndpointHash::of(&record.id),
            record: ArcSwap::from_pointee(record),
            load: EndpointLoad::default(),
            health: Health::default(),
            connections: IdleConnections::default(),
            lapses_at_ms: AtomicU64::new(0),
        }
    }

    /// Its record is gone, and it is used until then nonetheless; said again, the first counts.
    pub fn lapse_at(&self, at: TimeMs) {
        let has_record = 0;
        let lapses = &self.lapses_at_ms;
        let _ = lapses.compare_exchange(has_record, at.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Its record is back.
    pub fn renew(&self) {
        self.lapses_at_ms.store(0, Ordering::Relaxed);
    }

    /// Whether its record went and did not come back in time.
    pub fn has_lapsed(&self, now: TimeMs) -> bool {
        let at = self.lapses_at_ms.load(Ordering::Relaxed);
        at > 0 && now.0 >= at
    }
}

/// The part of a service's endpoints that is kept for streams that bear no pauses.
const STREAM_SHARE: f64 = 0.3;

/// The endpoints of one service that may get work.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
    /// All of them.
    pub all: Vec<Arc<Endpoint>>,
    /// Those kept for streams that bear no pauses: long prompts go elsewhere while they can.
    pub for_streams: HashSet<EndpointIx>,
}

impl ServiceEndpoints {
    /// Every daemon that sees the same endpoints keeps the same ones for streams: in each data
    /// centre, those with the lowest hash.
    pub fn new(mut all: Vec<Arc<Endpoint>>) -> Self {
        all.sort_by_key(|endpoint| endpoint.index);
        let mut by_data_centre: HashMap<DataCentreId, Vec<(u64, EndpointIx)>> = HashMap::new();
        for endpoint in &all {
            let record = endpoint.record.load();
            let there = by_data_centre
                .entry(record.data_centre.clone())
                .or_default();
            there.push((xxh3_64(record.id.as_str().as_bytes()), endpoint.index));
        }
        let mut for_streams = HashSet::new();
        for there in by_data_centre.values_mut() {
            there.sort_unstable();
            let count = (STREAM_SHARE * there.len() as f64).round() as usize;
            for_streams.extend(there.iter().take(count).map(|(_, index)| *index));
        }
        Self { all, for_streams }
    }
}

/// All endpoints that may get work, by service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_service: HashMap<ServiceName, ServiceEndpoints>,
}

impl Directory {
    /// Sorts endpoints by service; those that leave are left out.
    pub fn new<'a>(endpoints: impl Iterator<Item = &'a Arc<Endpoint>>) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<Arc<Endpoint>>> = HashMap::new();
        for endpoint in endpoints {
            let record = endpoint.record.load();
            if record.is_draining {
                continue;
            }
            let service = by_service.entry(record.service.clone()).or_default();
            service.push(endpoint.clone());
        }
        let services = by_service.into_iter();
        Self {
            by_service: services
                .map(|(name, all)| (name, ServiceEndpoints::new(all)))
                .collect(),
        }
    }

    /// The endpoints of a service that may get work.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceEndpoints> {
        self.by_service.get(service)
    }

    /// The endpoints of all services.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_service.values().flat_map(|service| &service.all)
    }

    /// Endpoints of all services.
    pub fn endpoint_count(&self) -> usize {
        let services = self.by_service.values();
        services.map(|service| service.all.len()).sum()
    }
}

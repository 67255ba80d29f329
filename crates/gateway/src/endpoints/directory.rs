//! Endpoints of all services, and what this daemon knows of each.

use crate::endpoints::endpoint::Endpoint;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DataCentreId, ServiceName};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

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
    pub(crate) fn new<'a>(endpoints: impl Iterator<Item = &'a Arc<Endpoint>>) -> Self {
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

    /// How many endpoints may get work.
    pub(crate) fn len(&self) -> usize {
        let services = self.by_service.values();
        services.map(|service| service.all.len()).sum()
    }
}

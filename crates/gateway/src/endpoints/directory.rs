//! The directory: all endpoints that may get requests, by service.
//!
//! It is immutable and read without locks; [`crate::control::state`] builds a new one on each
//! change.

use crate::decisions::eligibility::evacuation::Evacuations;
use crate::decisions::endpoint::stream_reservation::{self, ReservationMember};
use crate::endpoints::endpoint::Endpoint;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::ServiceName;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The endpoints of one service that may get requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
    /// All of them, by index.
    pub all: Vec<Arc<Endpoint>>,
    /// Whether each of them is reserved for streams.
    is_reserved: Vec<bool>,
}

impl ServiceEndpoints {
    /// Creates the set of endpoints of one service.
    pub fn new(mut all: Vec<Arc<Endpoint>>) -> Self {
        all.sort_by_key(|endpoint| endpoint.index);
        let records: Vec<_> = all.iter().map(|endpoint| endpoint.record.load()).collect();
        let members = all
            .iter()
            .zip(&records)
            .map(|(endpoint, record)| ReservationMember {
                index: endpoint.index,
                id: record.id.as_str(),
                data_centre: &record.data_centre,
            });
        let reserved = stream_reservation::reserve(members);
        drop(records);
        let is_reserved = all
            .iter()
            .map(|endpoint| reserved.contains(&endpoint.index));
        Self {
            is_reserved: is_reserved.collect(),
            all,
        }
    }

    /// Returns all of them, each with whether it is reserved for streams.
    pub(crate) fn with_reservations(&self) -> impl Iterator<Item = (&Arc<Endpoint>, bool)> {
        self.all.iter().zip(self.is_reserved.iter().copied())
    }

    /// Returns those that are reserved for streams.
    pub fn reserved_for_streams(&self) -> HashSet<EndpointIx> {
        let all = self.with_reservations();
        let reserved = all.filter(|(_, is_reserved)| *is_reserved);
        reserved.map(|(endpoint, _)| endpoint.index).collect()
    }
}

/// All endpoints that may get requests, by service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_service: HashMap<ServiceName, ServiceEndpoints>,
    /// Endpoints of evacuated data centres, where running requests are completed.
    evacuated: Vec<Arc<Endpoint>>,
}

impl Directory {
    /// Groups endpoints by service, without those that are leaving or in an evacuated data centre.
    pub(crate) fn new<'a>(
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
        evacuations: &Evacuations,
    ) -> Self {
        let mut evacuated = Vec::new();
        let mut by_service: HashMap<ServiceName, Vec<Arc<Endpoint>>> = HashMap::new();
        for endpoint in endpoints {
            let record = endpoint.record.load();
            if endpoint.is_leaving() {
                continue;
            }
            if evacuations.contains(&record.data_centre) {
                evacuated.push(endpoint.clone());
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
            evacuated,
        }
    }

    /// Returns the endpoints of a service that may get requests; `None` if there is none.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceEndpoints> {
        self.by_service.get(service)
    }

    /// Returns the endpoints of all services, including those of evacuated data centres.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let working = self.by_service.values().flat_map(|service| &service.all);
        working.chain(&self.evacuated)
    }

    /// Returns the number of endpoints that may get requests.
    pub(crate) fn len(&self) -> usize {
        let services = self.by_service.values();
        services.map(|service| service.all.len()).sum()
    }
}

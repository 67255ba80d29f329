//! Endpoints of all services, and what this daemon knows of each.

use crate::health::Health;
use crate::load::EndpointLoad;
use crate::pool::IdleConnections;
use arc_swap::ArcSwap;
use bridgevane_decisions::EngineIx;
use bridgevane_types::{DataCentreId, EngineId, ServiceName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An endpoint as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint: one start of a worker.
    pub id: EngineId,
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
    pub index: EngineIx,
    /// Its newest record.
    pub record: ArcSwap<EndpointRecord>,
    /// Work under way.
    pub load: EndpointLoad,
    /// Whether it is in use.
    pub health: Health,
    /// Open connections that rest.
    pub connections: IdleConnections,
}

impl Endpoint {
    /// An endpoint that was just seen.
    pub fn new(index: EngineIx, record: EndpointRecord) -> Self {
        Self {
            index,
            record: ArcSwap::from_pointee(record),
            load: EndpointLoad::default(),
            health: Health::default(),
            connections: IdleConnections::default(),
        }
    }
}

/// All endpoints that may get work, by service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_service: HashMap<ServiceName, Vec<Arc<Endpoint>>>,
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
        for endpoints in by_service.values_mut() {
            endpoints.sort_by_key(|endpoint| endpoint.index);
        }
        Self { by_service }
    }

    /// The endpoints of a service that may get work.
    pub fn endpoints(&self, service: &ServiceName) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether any service has an endpoint.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}

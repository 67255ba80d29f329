//! The directory: all endpoints that may get requests, by service.
//!
//! It is read without locks; [`crate::control::state`] builds a new one on each change. Only which
//! engines are quiet changes between two of them.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::evacuation::Evacuations;
use crate::decisions::endpoint::quiet_engines::{self, EngineRole, GroupMember};
use crate::endpoints::endpoint::Endpoint;
use arc_swap::ArcSwap;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DurationMs, ServiceName, TimeMs};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The endpoints of one service that may get requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
    /// All of them, by index.
    pub all: Vec<Arc<Endpoint>>,
    /// What each of them is kept for.
    roles: Arc<ArcSwap<Vec<EngineRole>>>,
    /// When paces and quiet engines were last refreshed.
    refreshed_at: Arc<AtomicTime>,
}

impl ServiceEndpoints {
    /// Creates the set of endpoints of one service.
    pub fn new(mut all: Vec<Arc<Endpoint>>) -> Self {
        all.sort_by_key(|endpoint| endpoint.index);
        let service = Self {
            all,
            roles: Arc::default(),
            refreshed_at: Arc::default(),
        };
        service.choose_quiet(quiet_engines::UNDIVIDED_SHARE);
        service
    }

    /// Chooses the quiet engines again, by their paces; returns their number.
    pub fn choose_quiet(&self, share: f64) -> usize {
        let records: Vec<_> = self.all.iter().map(|each| each.record.load()).collect();
        let members = self.all.iter().zip(&records);
        let members = members.map(|(endpoint, record)| GroupMember {
            index: endpoint.index,
            id: record.id.as_str(),
            data_centre: &record.data_centre,
            pace: endpoint.pace.pace(),
        });
        let chosen = quiet_engines::choose(members, share);
        let role = |endpoint: &Arc<Endpoint>| chosen.get(&endpoint.index).copied();
        let roles = self.all.iter().map(|each| role(each).unwrap_or_default());
        self.roles.store(Arc::new(roles.collect()));
        chosen.len()
    }

    /// Returns whether a refresh is due, and records that it was made.
    pub(crate) fn begin_refresh(&self, now: TimeMs, interval: DurationMs) -> bool {
        let refreshed_at = self.refreshed_at.get();
        let is_due = refreshed_at.is_none_or(|at| now.since(at) >= interval);
        if is_due {
            self.refreshed_at.set(now);
        }
        is_due
    }

    /// Returns the number of slots of all of them.
    pub(crate) fn slots(&self) -> u64 {
        let slots = self.all.iter().map(|each| each.record.load().slots);
        slots.map(u64::from).sum()
    }

    /// Returns what each of them is kept for, in their order.
    pub(crate) fn roles(&self) -> Arc<Vec<EngineRole>> {
        self.roles.load_full()
    }

    /// Returns the quiet ones.
    pub fn quiet_engines(&self) -> HashSet<EndpointIx> {
        let roles = self.roles();
        let all = self.all.iter().zip(roles.iter());
        let quiet = all.filter(|(_, role)| role.is_quiet());
        quiet.map(|(endpoint, _)| endpoint.index).collect()
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

//! The reach of each service on this daemon, behind a lock.
//!
//! The rule is [`crate::decisions::endpoint::reachability`]. Lost with the process, and learned
//! again with the first requests.

use crate::decisions::endpoint::reachability::{Contact, Loss, ProbeVerdict, Reach, ServiceReach};
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DurationMs, ServiceName, TimeMs};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The reach of all services.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    services: Mutex<HashMap<ServiceName, ServiceReach>>,
    /// Notified when a service is found out of reach.
    out_of_reach: Notify,
}

impl Reachability {
    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceReach>> {
        self.services.lock().expect("no panic under this lock")
    }

    fn update<T>(&self, service: &ServiceName, update: impl FnOnce(&mut ServiceReach) -> T) -> T {
        let mut services = self.services();
        // Services are few and stay; only the first request of each clones the name.
        if let Some(known) = services.get_mut(service) {
            return update(known);
        }
        update(services.entry(service.clone()).or_default())
    }

    /// Returns whether a service is in reach.
    pub(crate) fn reach(&self, service: &ServiceName) -> Reach {
        let services = self.services();
        services
            .get(service)
            .map(ServiceReach::reach)
            .unwrap_or_default()
    }

    /// Returns what this daemon's contact with a service shows.
    pub(crate) fn contact(&self, now: TimeMs, service: &ServiceName) -> Contact {
        let services = self.services();
        let reach = services.get(service);
        reach.map_or(Contact::Unknown, |reach| reach.contact(now))
    }

    /// Records that no endpoint of the service accepted a connection; returns true if a probe has to
    /// start.
    pub(crate) fn suspect(&self, service: &ServiceName) -> bool {
        self.update(service, ServiceReach::suspect)
    }

    /// Records that a connection to an endpoint of the service was opened.
    pub(crate) fn on_opened(&self, now: TimeMs, service: &ServiceName) {
        self.update(service, |reach| reach.on_opened(now));
    }

    /// Records that an endpoint of the service answered.
    pub(crate) fn on_answered(&self, now: TimeMs, service: &ServiceName) {
        self.update(service, |reach| reach.on_answered(now));
    }

    /// Records a lost endpoint of a service with `endpoints` endpoints; returns true if a probe has
    /// to start.
    pub(crate) fn on_lost(
        &self,
        now: TimeMs,
        service: &ServiceName,
        endpoint: EndpointIx,
        loss: Loss,
        endpoints: usize,
    ) -> bool {
        self.update(service, |reach| {
            reach.on_lost(now, endpoint, loss, endpoints)
        })
    }

    /// Records that bytes arrived from an endpoint of the service.
    pub(crate) fn on_heard(&self, now: TimeMs, service: &ServiceName) {
        self.update(service, |reach| reach.on_heard(now));
    }

    /// Returns whether a request that waits for an endpoint has to check the reach of its service.
    pub(crate) fn is_check_due(
        &self,
        now: TimeMs,
        service: &ServiceName,
        limit: DurationMs,
    ) -> bool {
        self.update(service, |reach| reach.is_check_due(now, limit))
    }

    /// Waits until a service is found out of reach.
    pub(crate) fn found_out_of_reach(&self) -> Notified<'_> {
        self.out_of_reach.notified()
    }

    /// Records the result of a probe: whether an endpoint accepted a connection.
    pub(crate) fn on_probed(
        &self,
        now: TimeMs,
        service: &ServiceName,
        is_accepted: bool,
    ) -> ProbeVerdict {
        let verdict = self.update(service, |reach| reach.on_probed(now, is_accepted));
        if verdict == ProbeVerdict::Lost {
            self.out_of_reach.notify_waiters();
        }
        verdict
    }
}

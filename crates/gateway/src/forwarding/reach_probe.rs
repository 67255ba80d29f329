//! The probe of a service that may be out of reach: opens connections to a few of its endpoints
//! until one is accepted.
//!
//! One task for each such service; it ends when the service is in reach.

use crate::decisions::endpoint::reachability::{PROBE_INTERVAL, ProbeVerdict, probe_targets};
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::requests::attempt::CONNECT_TIMEOUT;
use bridgevane_events::{Event, event};
use bridgevane_types::{DataCentreId, ServiceName};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use std::sync::Arc;
use tokio::time::sleep;

/// Starts to probe a service.
pub(crate) fn start(gateway: &Arc<Gateway>, service: &ServiceName) {
    tokio::spawn(run(gateway.clone(), service.clone()));
}

async fn run(gateway: Arc<Gateway>, service: ServiceName) {
    loop {
        let is_accepted = probe(&gateway, &service).await;
        let now = gateway.clock.now();
        match gateway.reachability.on_probed(now, &service, is_accepted) {
            ProbeVerdict::InReach => return,
            ProbeVerdict::Regained => return on_regained(&gateway, &service),
            ProbeVerdict::Lost => {
                gateway.metrics.out_of_reach(&service, true);
                event!(Event::ServiceOutOfReach, service = service);
            }
            ProbeVerdict::StillLost => {}
        }
        sleep(PROBE_INTERVAL).await;
    }
}

/// Ends the ejections of the service's endpoints: they showed nothing but that this daemon was cut
/// off.
fn on_regained(gateway: &Gateway, service: &ServiceName) {
    gateway.metrics.out_of_reach(service, false);
    event!(Event::ServiceInReach, service = service);
    let directory = gateway.control.directory();
    if let Some(service) = directory.service(service) {
        for endpoint in &service.all {
            endpoint.health.end_ejection();
        }
    }
}

/// Returns whether one of the service's endpoints accepts a connection.
async fn probe(gateway: &Gateway, service: &ServiceName) -> bool {
    let mut connecting: FuturesUnordered<_> = targets(gateway, service)
        .into_iter()
        .map(|endpoint| async move {
            let address = endpoint.record.load().address;
            Connection::open(address, CONNECT_TIMEOUT).await.is_ok()
        })
        .collect();
    while let Some(is_accepted) = connecting.next().await {
        if is_accepted {
            return true;
        }
    }
    false
}

/// Returns the endpoints to probe, at random.
fn targets(gateway: &Gateway, service: &ServiceName) -> Vec<Arc<Endpoint>> {
    let directory = gateway.control.directory();
    let Some(service) = directory.service(service) else {
        return Vec::new();
    };
    let mut endpoints: Vec<&Arc<Endpoint>> = service.all.iter().collect();
    endpoints.shuffle(&mut rand::rng());
    let data_centres: Vec<DataCentreId> = endpoints
        .iter()
        .map(|endpoint| endpoint.record.load().data_centre.clone())
        .collect();
    let targets = probe_targets(&data_centres).into_iter();
    targets.map(|at| endpoints[at].clone()).collect()
}

//! The probe of a service that may be out of reach: opens connections to a few of its endpoints
//! until one is accepted. Meanwhile it searches for a daemon that serves the service, so that this
//! doesn't take as long as the next requests.
//!
//! One task for each such service; it ends when the service is in reach.

use crate::decisions::eligibility::region_limits::RegionLimits;
use crate::decisions::endpoint::reachability::{
    CHECK_TIMEOUT, Contact, PROBE_INTERVAL, ProbeVerdict, probe_targets,
};
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::forwarding::connection;
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
    let (gateway, service) = (gateway.clone(), service.clone());
    tokio::spawn(async move {
        let is_accepted = probe(&gateway, &service).await;
        run(gateway, service, is_accepted).await;
    });
}

/// Checks whether an endpoint accepts a connection, which is kept for the next request; if it doesn't,
/// its service is probed.
pub(crate) fn check(gateway: &Arc<Gateway>, service: &ServiceName, endpoint: &Arc<Endpoint>) {
    let (gateway, service, endpoint) = (gateway.clone(), service.clone(), endpoint.clone());
    tokio::spawn(async move {
        let address = endpoint.record.load().address;
        let opened = Connection::open(address, CHECK_TIMEOUT).await;
        let now = gateway.clock.now();
        match opened {
            Ok(connection) => {
                gateway.reachability.on_opened(now, &service);
                gateway.keep_idle(now, &endpoint, connection);
            }
            Err(_) if gateway.reachability.suspect(&service) => start(&gateway, &service),
            Err(_) => {}
        }
    });
}

/// Returns whether this daemon reaches a service, for another daemon that wants to forward requests.
/// Probes the service if it wasn't in contact with it lately; if that fails, the probe goes on.
pub(crate) async fn reaches(gateway: &Arc<Gateway>, service: &ServiceName) -> bool {
    match gateway.reachability.contact(gateway.clock.now(), service) {
        Contact::Recent => return true,
        Contact::None => return false,
        Contact::Unknown => {}
    }
    if gateway.control.directory().service(service).is_none() {
        return false;
    }
    let is_accepted = probe(gateway, service).await;
    if is_accepted {
        let now = gateway.clock.now();
        gateway.reachability.on_opened(now, service);
    } else if gateway.reachability.suspect(service) {
        tokio::spawn(run(gateway.clone(), service.clone(), false));
    }
    is_accepted
}

/// Probes a service until it is in reach; `is_accepted` is the result of the first probe.
async fn run(gateway: Arc<Gateway>, service: ServiceName, mut is_accepted: bool) {
    loop {
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
        tokio::spawn(search(gateway.clone(), service.clone()));
        sleep(PROBE_INTERVAL).await;
        is_accepted = probe(&gateway, &service).await;
    }
}

/// Asks another daemon whether it serves the service, unless one is known that does. A later request
/// finds the connection open. No request is sent, so that no region limits apply.
async fn search(gateway: Arc<Gateway>, service: ServiceName) {
    let daemons = &gateway.daemons;
    let now = gateway.clock.now();
    if daemons.knows_serving(now, &service) {
        return;
    }
    let Some(daemon) = daemons.choose(now, &service, &[], &RegionLimits::EVERYWHERE) else {
        return;
    };
    let opened = connection::open(&gateway, daemon.address, &service).await;
    let connection = opened.map(|opened| opened.connection);
    daemons.on_handshake(gateway.clock.now(), daemon, &service, connection);
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

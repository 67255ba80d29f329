//! Services with idle endpoints, as one daemon knows them, for tests of the rules.

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::{Endpoint, EndpointRecord, ServiceEndpoints, Work};
use bridgevane_types::{DurationMs, TimeMs};
use std::sync::Arc;

/// Returns the record of endpoint number `at` with the given number of slots.
pub fn endpoint_record(at: u32, data_centre: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        started_at: None,
        sequence: None,
        id: format!("e-{at}").as_str().into(),
        service: "model".into(),
        // Each endpoint has its own port.
        address: format!("127.0.0.1:{}", at + 1).parse().expect("an address"),
        data_centre: data_centre.into(),
        version: None,
        slots,
        is_draining: false,
        is_reclaimable: false,
        cold_remaining_ms: DurationMs(0),
    }
}

/// Returns a service of idle endpoints; `data_centre_of` returns the data centre of each.
pub fn idle_service(
    endpoints: u32,
    slots: u32,
    data_centre_of: impl Fn(u32) -> String,
) -> ServiceEndpoints {
    let endpoints = (0..endpoints).map(|at| {
        let record = endpoint_record(at, &data_centre_of(at), slots);
        Arc::new(Endpoint::new(EndpointIx(at), record))
    });
    ServiceEndpoints::new(endpoints.collect())
}

/// Reports to the daemon of a view what all daemons have in flight at each endpoint.
pub fn report_work(now: TimeMs, view: &ServiceEndpoints, work: &[Work]) {
    for (endpoint, work) in view.all.iter().zip(work) {
        endpoint.load.on_peers_report(now, *work);
    }
}

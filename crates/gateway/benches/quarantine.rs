//! The cost of the quarantine of requests that crash endpoints: for each request, and when an engine
//! crashes.
#![allow(missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use bridgevane_gateway::{EndpointHash, Gateway};
use bridgevane_types::{CrashSuspect, RequestFingerprint};
use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::sync::Arc;

/// The number of requests that an engine runs at once.
const SLOTS: u64 = 64;
/// The maximum number of requests under quarantine.
const QUARANTINED: u64 = 4_096;
/// The maximum number of suspect requests.
const SUSPECTS: u64 = 1_024;

fn request(content: u64) -> CrashSuspect {
    CrashSuspect::Request(RequestFingerprint {
        customer: 7,
        content,
    })
}

fn gateway() -> Arc<Gateway> {
    let meter = opentelemetry::global::meter("bench");
    Gateway::new(support::settings(), support::names(), &meter)
}

/// Returns a gateway whose quarantine has its maximum size.
fn full_gateway() -> Arc<Gateway> {
    let gateway = gateway();
    for endpoint in 0..3 {
        let quarantined: Vec<_> = (0..QUARANTINED).map(request).collect();
        gateway
            .quarantine
            .on_crashed(EndpointHash(endpoint), &quarantined);
        // Crashes at the same moment would count as one.
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
    let suspects: Vec<_> = (0..SUSPECTS).map(|at| request(1 << 32 | at)).collect();
    gateway.quarantine.on_crashed(EndpointHash(9), &suspects);
    gateway
}

fn fingerprint(path: &str, body: &Bytes) -> RequestFingerprint {
    let customer = "customer-1".into();
    RequestFingerprint::new(Some(&customer), "POST", path, body)
}

fn for_each_request(bench: &mut Criterion) {
    let path = "/reports/draft";
    for kilobytes in [1, 16] {
        let body = Bytes::from(vec![b'x'; kilobytes << 10]);
        bench.bench_function(&format!("fingerprint of {kilobytes} KB"), |bench| {
            bench.iter(|| fingerprint(black_box(path), black_box(&body)));
        });
        for (name, gateway) in [("empty", gateway()), ("full", full_gateway())] {
            let name = format!("check of {kilobytes} KB, {name} quarantine");
            bench.bench_function(&name, |bench| {
                bench.iter(|| {
                    let quarantine = &gateway.quarantine;
                    quarantine.is_any_quarantined(|| {
                        [fingerprint(black_box(path), black_box(&body)).into()]
                    })
                });
            });
        }
    }
}

fn when_an_engine_crashes(bench: &mut Criterion) {
    let mut next = 1 << 40;
    for (name, gateway) in [("empty", gateway()), ("full", full_gateway())] {
        bench.bench_function(
            &format!("{SLOTS} requests lost, {name} quarantine"),
            |bench| {
                bench.iter(|| {
                    let lost: Vec<_> = (next..next + SLOTS).map(request).collect();
                    next += SLOTS;
                    gateway
                        .quarantine
                        .on_crashed(EndpointHash((next >> 6) as u32), &lost);
                });
            },
        );
    }
}

criterion_group!(benches, for_each_request, when_an_engine_crashes);
criterion_main!(benches);

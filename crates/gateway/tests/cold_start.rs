//! Tests of the requests that cold endpoints get from all daemons together, and of requests that
//! have found an endpoint lost.
//!
//! The load: endpoints of a data centre that return together, cold and idle, so that each daemon
//! considers them the best ones, with more concurrent requests than they can handle.

mod support;

use bridgevane_gateway::decisions::eligibility::cold_start::{ColdLimits, ColdQuota};
use bridgevane_gateway::decisions::eligibility::region_limits::RegionLimits;
use bridgevane_gateway::decisions::endpoint::engine_rates::EngineRates;
use bridgevane_gateway::{
    Endpoint, EndpointHash, Prompt, PromptLocations, SelectionRequest, ServiceEndpoints,
    VersionFilter, select_endpoint,
};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::sync::Arc;
use support::records;
use xxhash_rust::xxh3::xxh3_64;

const LIMITS: ColdLimits = ColdLimits {
    requests_per_s: 11.0,
    duration_ms: DurationMs(3_000),
};
/// The number of requests in any second above which an endpoint ends: half as many again as it can
/// handle, plus 5.
const MAX_IN_A_SECOND: f64 = 11.0 * 1.5 + 5.0;
const NOW: TimeMs = TimeMs(10_000);

fn quota(daemon: u32, daemons: u32) -> ColdQuota {
    ColdQuota {
        limits: LIMITS,
        daemon: xxh3_64(&daemon.to_le_bytes()),
        process_age: DurationMs(60_000),
        daemons: Some(daemons),
    }
}

/// Returns the requests that an endpoint gets in one window if all daemons, which have run for
/// `process_age`, send as much as they may.
fn sent_by(daemons: u32, process_age: DurationMs, endpoint: EndpointHash, window: u64) -> u32 {
    let quotas = (0..daemons).map(|at| ColdQuota {
        process_age,
        ..quota(at, daemons)
    });
    quotas
        .map(|quota| quota.requests_in(endpoint, window))
        .sum()
}

/// Returns the same for daemons that have been running for long.
fn sent_by_all(daemons: u32, endpoint: EndpointHash, window: u64) -> u32 {
    sent_by(daemons, DurationMs(60_000), endpoint, window)
}

/// Guards against overload in a second that overlaps two windows.
#[test]
fn two_consecutive_windows_stay_within_the_limit_of_a_second() {
    for daemons in [1, 6, 61, 985, 2_000] {
        let mut seconds = 0;
        let mut exceeded = 0;
        let mut sent = 0;
        for endpoint in 0..100 {
            let endpoint = EndpointHash(endpoint * 7_919);
            for window in 0..3 {
                let first = sent_by_all(daemons, endpoint, window);
                let next = sent_by_all(daemons, endpoint, window + 1);
                seconds += 1;
                sent += first;
                exceeded += u32::from(f64::from(first + next) > MAX_IN_A_SECOND);
            }
        }
        assert_eq!(exceeded, 0, "of {seconds} with {daemons} daemons");
        let mean = f64::from(sent) / f64::from(seconds);
        let planned = LIMITS.requests_per_s * 0.35;
        assert!(
            (mean - planned).abs() < 1.0,
            "{mean} with {daemons} daemons"
        );
    }
}

/// Guards against overload when all daemons are replaced at once: a new process draws its own
/// windows, in addition to the two of its predecessor. An endpoint that can handle 11 requests a
/// second then got more than half as many again plus 5 in 3 of 300 seconds, with 2,000 daemons. A
/// new process therefore sends nothing in its first second.
#[test]
fn daemons_that_are_all_replaced_stay_within_the_limit_of_a_second() {
    for daemons in [1, 6, 61, 985, 2_000] {
        let mut exceeded = 0;
        for endpoint in 0..100 {
            let endpoint = EndpointHash(endpoint * 7_919);
            for window in 0..3 {
                let before = sent_by_all(daemons, endpoint, window + 10)
                    + sent_by_all(daemons, endpoint, window + 11);
                let after = sent_by(daemons, DurationMs(999), endpoint, window);
                exceeded += u32::from(f64::from(before + after) > MAX_IN_A_SECOND);
            }
        }
        assert_eq!(exceeded, 0, "of 300 with {daemons} daemons");
    }
}

/// Guards against a daemon that takes the whole quota because it doesn't know of other daemons.
#[test]
fn a_daemon_that_does_not_know_the_fleet_size_sends_nothing() {
    let unknown = ColdQuota {
        daemons: None,
        ..quota(1, 1)
    };
    assert_eq!(unknown.requests_in(EndpointHash(1), 1), 0);
}

/// Returns a service with three endpoints in each of two data centres.
fn service() -> ServiceEndpoints {
    records::idle_service(6, 16, |at| format!("dc-{}", at / 3))
}

/// Returns the data centre that a request goes to which has found endpoints lost in some data
/// centres.
fn placed_after_loss(
    data_centres_with_lost_endpoints: &[DataCentreId],
    tried: &[Arc<Endpoint>],
) -> DataCentreId {
    let request = SelectionRequest {
        versions: &VersionFilter::Any,
        now: NOW,
        daemon: 1,
        data_centre: &DataCentreId::from("dc-0"),
        prompt: &Prompt::default(),
        tried,
        data_centres_with_lost_endpoints,
        region_limits: RegionLimits::EVERYWHERE,
        daemons: Some(1),
        cold: None,
        needs_quiet: false,
        rates: EngineRates::default(),
    };
    let selected = select_endpoint(&PromptLocations::default(), request, &service());
    let record = selected.expect("an endpoint").endpoint.record.load_full();
    record.data_centre.clone()
}

/// Guards against requests that spend all attempts in one data centre: endpoints that went down
/// together returned under new ids, and each old record led to a 421.
#[test]
fn a_request_that_found_an_endpoint_lost_tries_another_data_centre() {
    assert_eq!(
        placed_after_loss(&[], &[]).as_str(),
        "dc-0",
        "the nearest one"
    );
    let tried = [service().all[0].clone()];
    let data_centres_with_lost_endpoints = [DataCentreId::from("dc-0")];
    assert_eq!(
        placed_after_loss(&data_centres_with_lost_endpoints, &tried).as_str(),
        "dc-1"
    );
    let both = ["dc-0", "dc-1"].map(DataCentreId::from);
    assert_eq!(placed_after_loss(&both, &tried).as_str(), "dc-0");
}

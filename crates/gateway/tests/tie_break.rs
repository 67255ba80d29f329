//! Tests of where requests go if many idle endpoints have the same cost.
//!
//! The load: a data centre with 197 daemons, 58 plain endpoints and some hundred engines, and less
//! than one request a second for each daemon, so that no daemon knows of the others' requests when
//! it sends its own.

mod support;

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::decisions::eligibility::region_limits::RegionLimits;
use bridgevane_gateway::decisions::endpoint::engine_rates::EngineRates;
use bridgevane_gateway::decisions::endpoint::quiet_engines::is_stream_like;
use bridgevane_gateway::{
    Endpoint, Prompt, PromptLocations, PromptPart, SelectionRequest, ServiceEndpoints,
    VersionFilter, select_endpoint,
};
use bridgevane_types::{DataCentreId, TimeMs, Tokens};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use support::records;
use xxhash_rust::xxh3::xxh3_64;

const DAEMONS: u32 = 197;
const NOW: TimeMs = TimeMs(10_000);

/// Returns a service of one data centre with idle endpoints, as one daemon sees it.
fn service(endpoints: u32) -> ServiceEndpoints {
    service_in(endpoints, &["dc-0"])
}

fn engines_of_two_data_centres() -> ServiceEndpoints {
    service_in(400, &["dc-0", "dc-1"])
}

fn service_in(endpoints: u32, data_centres: &[&str]) -> ServiceEndpoints {
    let data_centre_of = |at: u32| data_centres[at as usize % data_centres.len()].to_owned();
    records::idle_service(endpoints, 6, data_centre_of)
}

/// Returns the endpoints to which a daemon sends `requests` concurrent requests, by index.
fn placed(
    service: &ServiceEndpoints,
    daemon: u32,
    prompt: &Prompt,
    requests: usize,
) -> Vec<EndpointIx> {
    let placed = (0..requests).map(|_| {
        let request = SelectionRequest {
            versions: &VersionFilter::Any,
            now: NOW,
            daemon: xxh3_64(&daemon.to_le_bytes()),
            data_centre: &DataCentreId::from("dc-0"),
            prompt,
            tried: &[],
            data_centres_with_lost_endpoints: &[],
            region_limits: RegionLimits::EVERYWHERE,
            daemons: Some(1),
            cold: None,
            needs_quiet: is_stream_like(prompt),
            rates: EngineRates::default(),
        };
        let selected = select_endpoint(&PromptLocations::default(), request, service);
        let endpoint = selected.expect("an endpoint").endpoint;
        endpoint.load.on_sent(0);
        endpoint
    });
    let placed: Vec<Arc<Endpoint>> = placed.collect();
    // The next daemon doesn't know of these requests.
    placed.iter().for_each(|endpoint| endpoint.load.on_ended());
    placed.iter().map(|endpoint| endpoint.index).collect()
}

/// Returns a short prompt, whose shared part is worth less than the cost of another data centre.
fn prompt(first_part: u64, session: u64) -> Prompt {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    Prompt {
        parts: vec![part(first_part, 100), part(session, 70), part(99_999, 370)],
        tokens: Tokens(540),
        max_answer_tokens: Tokens(300),
    }
}

/// Guards against daemons that all send to the same idle endpoint until they learn of each other's
/// requests, a second later.
#[test]
fn plain_requests_of_uncoordinated_daemons_are_spread_over_all_endpoints() {
    let mut counts: HashMap<EndpointIx, u32> = HashMap::new();
    let service = service(58);
    for daemon in 0..DAEMONS {
        for endpoint in placed(&service, daemon, &Prompt::default(), 1) {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    let busiest = counts.values().max().copied().unwrap_or_default();
    // The mean is 3.4; an endpoint runs 6 requests at once and queues 24.
    println!(
        "the busiest got {busiest}, {} of 58 were used",
        counts.len()
    );
    assert!(busiest <= 12, "{busiest}");
    assert!(counts.len() >= 50, "{} of 58 used", counts.len());
}

/// Guards against a daemon that opens a new connection for each request instead of reusing those it
/// has.
#[test]
fn one_daemon_keeps_the_same_order_of_endpoints() {
    let chosen: HashSet<EndpointIx> = (0..20)
        .flat_map(|_| placed(&service(58), 7, &Prompt::default(), 1))
        .collect();
    assert_eq!(chosen.len(), 1);
    let burst = placed(&service(58), 7, &Prompt::default(), 5);
    let used: HashSet<&EndpointIx> = burst.iter().collect();
    assert_eq!(used.len(), 5, "a burst is spread");
}

/// Guards against sessions that each go to another engine, which all read the same first part, if
/// their preferred engines are in another data centre.
#[test]
fn prompts_that_share_their_first_part_go_to_one_engine() {
    let mut shared_engines = HashSet::new();
    let service = engines_of_two_data_centres();
    for first_part in 0..8 {
        let mut counts: HashMap<EndpointIx, u32> = HashMap::new();
        for daemon in 0..DAEMONS {
            let session = u64::from(daemon) + 1_000;
            for engine in placed(&service, daemon, &prompt(first_part, session), 1) {
                *counts.entry(engine).or_default() += 1;
            }
        }
        let busiest = counts.iter().max_by_key(|(_, count)| **count);
        let (engine, count) = busiest.expect("an engine");
        // A quarter of the sessions have neither of their two preferred engines in this data
        // centre.
        assert!(*count >= DAEMONS / 6, "{count} at one engine");
        shared_engines.insert(*engine);
    }
    // Any of 60 engines may be the shared one, so 7 or 8 different ones are expected by chance.
    let shared_engines = shared_engines.len();
    assert!(shared_engines >= 5, "{shared_engines} of 8");
}

//! Tests that requests of routes and customers with region limits never reach another region,
//! whatever that costs.

mod support;

use bridgevane_gateway::decisions::eligibility::region_limits::{
    RegionLimits, RegionMap, RegionSet,
};
use bridgevane_gateway::decisions::endpoint::engine_rates::EngineRates;
use bridgevane_gateway::decisions::endpoint::quiet_engines::is_stream_like;
use bridgevane_gateway::{
    Prompt, PromptLocations, PromptPart, Selected, SelectionRequest, ServiceEndpoints,
    VersionFilter, select_endpoint,
};
use bridgevane_types::{DataCentreId, TimeMs, Tokens};
use support::records;

const NOW: TimeMs = TimeMs(10_000);

/// Returns two data centres in the north and one in the south; the region of the fourth is unknown.
fn regions() -> RegionMap {
    let entries = [("dc-0", "north"), ("dc-1", "north"), ("dc-2", "south")];
    let entries = entries.map(|(data_centre, region)| (data_centre.into(), region.into()));
    entries.into_iter().collect()
}

fn service() -> ServiceEndpoints {
    records::idle_service(16, 8, |at| format!("dc-{}", at % 4))
}

fn allowed(names: &[&str]) -> RegionSet {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns every endpoint that a request gets, one after the other, until none is left.
fn all_attempts(
    service: &ServiceEndpoints,
    route: Option<&RegionSet>,
    customer: Option<&RegionSet>,
    prompt: &Prompt,
) -> Vec<Selected> {
    let regions = regions();
    let mut tried = Vec::new();
    let mut selected = Vec::new();
    loop {
        let request = SelectionRequest {
            versions: &VersionFilter::Any,
            now: NOW,
            daemon: 1,
            data_centre: &DataCentreId::from("dc-2"),
            prompt,
            tried: &tried,
            data_centres_with_lost_endpoints: &[],
            region_limits: RegionLimits {
                regions: &regions,
                route,
                customer,
            },
            daemons: Some(1),
            cold: None,
            needs_quiet: is_stream_like(prompt),
            rates: EngineRates::default(),
        };
        let next = select_endpoint(&PromptLocations::default(), request, service);
        let Some(next) = next else {
            return selected;
        };
        tried.push(next.endpoint.clone());
        selected.push(next);
    }
}

fn data_centres(attempts: &[Selected]) -> Vec<String> {
    let mut names: Vec<String> = attempts
        .iter()
        .map(|selected| selected.endpoint.record.load().data_centre.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against endpoints that are left out although no limit applies.
#[test]
fn without_a_limit_every_endpoint_is_tried() {
    let attempts = all_attempts(&service(), None, None, &Prompt::default());
    assert_eq!(attempts.len(), 16);
}

/// Guards against retries outside of the allowed regions.
#[test]
fn all_attempts_of_a_limited_request_stay_in_its_regions() {
    let north = allowed(&["north"]);
    let service = service();
    let by_route = all_attempts(&service, Some(&north), None, &Prompt::default());
    assert_eq!(data_centres(&by_route), ["dc-0", "dc-1"]);
    let by_customer = all_attempts(&service, None, Some(&north), &Prompt::default());
    assert_eq!(data_centres(&by_customer), ["dc-0", "dc-1"]);
}

/// Guards against a limit that overrides the other one, and against endpoints of an unknown region.
#[test]
fn a_request_must_satisfy_the_limits_of_route_and_customer() {
    let service = service();
    let north = allowed(&["north"]);
    let both = allowed(&["north", "south"]);
    let attempts = all_attempts(&service, Some(&both), Some(&north), &Prompt::default());
    assert_eq!(data_centres(&attempts), ["dc-0", "dc-1"]);
    let south = allowed(&["south"]);
    let attempts = all_attempts(&service, Some(&south), Some(&north), &Prompt::default());
    assert!(attempts.is_empty());
    let unknown = allowed(&["nowhere"]);
    assert!(all_attempts(&service, Some(&unknown), None, &Prompt::default()).is_empty());
}

/// Guards against fetching cached parts of a prompt from an engine of another region, which would
/// move its content out of the allowed regions.
#[test]
fn no_part_of_a_limited_prompt_is_fetched_from_another_region() {
    let north = allowed(&["north"]);
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    for session in 0..200 {
        let prompt = Prompt {
            parts: vec![part(1, 3_000), part(session + 10, 3_000), part(99_999, 900)],
            tokens: Tokens(6_900),
            max_answer_tokens: Tokens(50),
        };
        for selected in all_attempts(&service(), Some(&north), None, &prompt) {
            let Some(source) = selected.cache_source else {
                continue;
            };
            let data_centre = (source.port() - 1) % 4;
            assert!(data_centre < 2, "from dc-{data_centre}");
        }
    }
}

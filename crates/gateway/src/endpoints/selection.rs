//! Selection: gathers what [`crate::decisions::endpoint::placement`] decides on, and carries it
//! out.
//!
//! Owns nothing. Takes two short locks an endpoint, for health and for the queue.

use crate::decisions::eligibility::cold_start::ColdQuota;
use crate::decisions::eligibility::region_limits::RegionLimits;
use crate::decisions::eligibility::rest::{self, EndpointWait};
use crate::decisions::endpoint::cache_fetch::CacheSource;
use crate::decisions::endpoint::ejection::Trust;
use crate::decisions::endpoint::placement::{self, Candidate, Estimate, Estimator};
use crate::decisions::endpoint::prompt_affinity::{self, PreferredEndpoints};
use crate::decisions::endpoint::tie_break::TieBreak;
use crate::decisions::endpoint::{silence, stream_reservation};
use crate::endpoints::directory::ServiceEndpoints;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::prompt_locations::PromptLocations;
use crate::prompt::Prompt;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Now.
    pub now: TimeMs,
    /// A hash of this daemon's name.
    pub daemon: u64,
    /// This daemon's data centre.
    pub data_centre: &'a DataCentreId,
    /// The prompt; empty for plain requests.
    pub prompt: &'a Prompt,
    /// Endpoints that the request was sent to before.
    pub tried: &'a [Arc<Endpoint>],
    /// Data centres in which the request has found an endpoint lost.
    pub lost_in: &'a [DataCentreId],
    /// Where the request may be served.
    pub region_limits: RegionLimits<'a>,
    /// How many daemons there are; none: this daemon doesn't know.
    pub daemons: Option<u32>,
    /// What this daemon may send to cold endpoints; none: as much as to others.
    pub cold: Option<ColdQuota>,
}

/// The endpoint that a request goes to, and the estimate that was the lowest.
#[derive(Clone, Debug)]
pub struct Selected {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What the request is expected to cost there.
    pub estimate: Estimate,
    /// Where the endpoint takes a part of the prompt from.
    pub cache_source: Option<SocketAddr>,
}

impl SelectionRequest<'_> {
    /// Whether an endpoint may get the request.
    fn may_use(&self, endpoint: &Endpoint) -> bool {
        let was_tried = |tried: &Arc<Endpoint>| tried.index == endpoint.index;
        endpoint.is_in_use(self.now)
            && endpoint.rest_left(self.now).is_none()
            && !self.tried.iter().any(was_tried)
            && self.may_serve_at(endpoint)
            && self.admits_cold(endpoint)
            && endpoint.rate_limit.admits(self.now, self.daemons)
    }

    /// Whether the request may be served where an endpoint is.
    fn may_serve_at(&self, endpoint: &Endpoint) -> bool {
        !self.region_limits.is_limited()
            || self
                .region_limits
                .allow(&endpoint.record.load().data_centre)
    }

    fn admits_cold(&self, endpoint: &Endpoint) -> bool {
        let cold = self.cold.as_ref();
        cold.is_none_or(|quota| endpoint.cold.admits(self.now, quota, endpoint.hash))
    }

    /// Takes the request out of what an endpoint that is limited or cold may get; false when another request took
    /// the last one.
    fn take_turn(&self, endpoint: &Endpoint) -> bool {
        let cold = self.cold.as_ref();
        endpoint.rate_limit.take(self.now, self.daemons)
            && cold.is_none_or(|quota| endpoint.cold.take(self.now, quota, endpoint.hash))
    }
}

/// Selects an endpoint among those of a service; none when all were tried, or bear no more while limited or cold.
pub fn select_endpoint(
    locations: &PromptLocations,
    request: SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> Option<Selected> {
    loop {
        let selected = lowest_estimate(locations, request, service)?;
        if request.take_turn(&selected.endpoint) {
            return Some(selected);
        }
    }
}

/// How long it is until a request that is refused now may be taken, when it comes back; none: time alone changes nothing.
pub fn earliest_use(
    request: &SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> Option<DurationMs> {
    let allowed = service.all.iter();
    let allowed = allowed
        .filter(|endpoint| endpoint.is_in_use(request.now) && request.may_serve_at(endpoint));
    rest::earliest_use(allowed.map(|endpoint| EndpointWait {
        rest: endpoint.rest_left(request.now),
        turn: endpoint.rate_limit.wait(request.now, request.daemons),
    }))
}

fn lowest_estimate(
    locations: &PromptLocations,
    request: SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> Option<Selected> {
    let mut estimator = Estimator {
        prompt: request.prompt,
        holders: locations.holders(request.now, request.prompt),
        preferred: preferred_endpoints(&request, service),
        sources: Vec::new(),
        tie_break: TieBreak::new(request.prompt, request.daemon),
    };
    estimator.sources = cache_sources(&request, service, &estimator);
    let usable = service.with_reservations();
    let usable = usable.filter(|(endpoint, _)| request.may_use(endpoint));
    let estimates = usable.map(|(endpoint, is_reserved)| {
        let candidate = candidate(&request, endpoint, is_reserved);
        (endpoint, estimator.estimate(&candidate))
    });
    let (endpoint, estimate) = placement::best(estimates)?;
    let source = estimate.fetch.map(|fetch| fetch.source);
    let address_of = |index| {
        let mut all = service.all.iter();
        let found = all.find(|endpoint| endpoint.index == index)?;
        Some(found.record.load().address)
    };
    Some(Selected {
        endpoint: endpoint.clone(),
        estimate,
        cache_source: source.and_then(address_of),
    })
}

/// Sound engines that are believed to keep a shared part of the prompt.
fn cache_sources(
    request: &SelectionRequest<'_>,
    service: &ServiceEndpoints,
    estimator: &Estimator<'_>,
) -> Vec<CacheSource> {
    if request.prompt.is_empty() {
        return Vec::new();
    }
    let sources = service.all.iter().filter_map(|endpoint| {
        let tokens = estimator.cached_tokens(endpoint.index);
        let is_usable = tokens > 0
            && endpoint.is_in_use(request.now)
            && endpoint.rest_left(request.now).is_none()
            && request.may_serve_at(endpoint)
            && endpoint.health.trust(request.now) == Trust::Sound;
        is_usable.then_some(CacheSource {
            endpoint: endpoint.index,
            tokens,
        })
    });
    sources.collect()
}

/// The preferred endpoints of a prompt's shared prefix: among the sound ones of its group.
fn preferred_endpoints(
    request: &SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> PreferredEndpoints {
    let mut preferred = PreferredEndpoints::default();
    let Some(prefix_id) = request.prompt.shared_prefix_id() else {
        return preferred;
    };
    let wants_reserved = stream_reservation::is_stream_like(request.prompt);
    for (endpoint, is_reserved) in service.with_reservations() {
        if is_reserved != wants_reserved
            || !endpoint.is_in_use(request.now)
            || endpoint.rest_left(request.now).is_some()
            || !request.may_serve_at(endpoint)
        {
            continue;
        }
        if endpoint.health.trust(request.now) == Trust::Sound {
            let weight = prompt_affinity::weight(endpoint.hash, prefix_id);
            preferred.offer(endpoint.index, weight);
        }
    }
    preferred
}

/// Where a prompt stands in an endpoint's order of prompts, from 0 to 1: the same on all daemons.
fn order(prompt: &Prompt, endpoint_id: &str) -> f64 {
    let own_part = prompt.parts.last();
    let weight = own_part.map_or(0, |part| xxh3_64_with_seed(endpoint_id.as_bytes(), part.id));
    weight as f64 / u64::MAX as f64
}

fn candidate(request: &SelectionRequest<'_>, endpoint: &Endpoint, is_reserved: bool) -> Candidate {
    let load = endpoint.load.snapshot(request.now);
    let record = endpoint.record.load();
    let max_silence_ms = silence::max_silence_ms(!request.prompt.is_empty());
    let queue = endpoint.load.queue_snapshot(request.now, max_silence_ms);
    Candidate {
        index: endpoint.index,
        hash: endpoint.hash,
        slots: record.slots,
        is_local: record.data_centre == *request.data_centre,
        is_reserved,
        order: if placement::may_be_crowded(record.slots, load) {
            order(request.prompt, record.id.as_str())
        } else {
            0.0
        },
        load,
        observed_queue_ms: queue.expected_ms,
        health: endpoint.health.snapshot(request.now),
        is_silent: queue.is_silent,
        is_beside_lost: request.lost_in.contains(&record.data_centre),
    }
}

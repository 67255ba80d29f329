//! Selection: gathers the inputs of [`crate::decisions::endpoint::placement`], and carries out its
//! decision.
//!
//! Owns nothing. Takes two short locks for each endpoint, for health and for the queue.

use crate::decisions::eligibility::backoff::{self, EndpointWait};
use crate::decisions::eligibility::cold_start::ColdQuota;
use crate::decisions::eligibility::region_limits::RegionLimits;
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::endpoint::cache_fetch::CacheSource;
use crate::decisions::endpoint::ejection::Trust;
use crate::decisions::endpoint::engine_rates::EngineRates;
use crate::decisions::endpoint::placement::{self, Candidate, Estimate, Estimator};
use crate::decisions::endpoint::prompt_affinity::{self, PreferredEndpoints, WeightedEndpoint};
use crate::decisions::endpoint::silence;
use crate::decisions::endpoint::tie_break::TieBreak;
use crate::endpoints::directory::ServiceEndpoints;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::prompt_locations::PromptLocations;
use crate::prompt::Prompt;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The software versions of endpoints that may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionFilter {
    /// All of them.
    #[default]
    Any,
    /// Some of them: a resumable stream may begin there.
    Among(Vec<VersionHash>),
    /// The one that began the stream.
    Only(VersionHash),
}

impl VersionFilter {
    fn allows(&self, version: VersionHash) -> bool {
        match self {
            Self::Any => true,
            Self::Among(versions) => versions.contains(&version),
            Self::Only(only) => version == *only,
        }
    }
}

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// The current time.
    pub now: TimeMs,
    /// A hash of this daemon's name.
    pub daemon: u64,
    /// This daemon's data centre.
    pub data_centre: &'a DataCentreId,
    /// The prompt; empty for plain requests.
    pub prompt: &'a Prompt,
    /// The endpoints that the request was sent to before.
    pub tried: &'a [Arc<Endpoint>],
    /// The data centres in which the request has found an endpoint lost.
    pub data_centres_with_lost_endpoints: &'a [DataCentreId],
    /// The regions in which the request may be served.
    pub region_limits: RegionLimits<'a>,
    /// The software versions at which it may run.
    pub versions: &'a VersionFilter,
    /// The number of daemons; `None` if this daemon doesn't know it.
    pub daemons: Option<u32>,
    /// This daemon's quota at cold endpoints; `None` if they get as many requests as others.
    pub cold: Option<ColdQuota>,
    /// Whether it needs a quiet engine.
    pub needs_quiet: bool,
    /// The rates of the service's engines.
    pub rates: EngineRates,
}

/// The endpoint that a request goes to, with its estimate, which was the lowest.
#[derive(Clone, Debug)]
pub struct Selected {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The expected cost of the request there.
    pub estimate: Estimate,
    /// The address that the endpoint fetches a part of the prompt from.
    pub cache_source: Option<SocketAddr>,
    /// Whether the request needs a quiet engine.
    pub needs_quiet: bool,
}

impl SelectionRequest<'_> {
    /// Returns whether an endpoint may get the request.
    fn may_use(&self, endpoint: &Endpoint) -> bool {
        let was_tried = |tried: &Arc<Endpoint>| tried.index == endpoint.index;
        endpoint.is_usable(self.now)
            && endpoint.backoff_remaining(self.now).is_none()
            && !self.tried.iter().any(was_tried)
            && self.may_serve_at(endpoint)
            && self.versions.allows(endpoint.version)
            && self.admits_cold(endpoint)
            && endpoint.rate_limit.admits(self.now, self.daemons)
            && self.admits_brittle(endpoint)
    }

    /// Returns whether the request may be served in the data centre of an endpoint.
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

    fn admits_brittle(&self, endpoint: &Endpoint) -> bool {
        !endpoint.needs_brittle_permit(self.now, self.daemons)
            || endpoint.brittle.permits.admits(self.now, self.daemons)
    }

    fn try_acquire_brittle(&self, endpoint: &Endpoint) -> bool {
        !endpoint.needs_brittle_permit(self.now, self.daemons)
            || endpoint.brittle.permits.try_acquire(self.now, self.daemons)
    }

    /// Counts the request against the limit or the cold quota of an endpoint; returns false if
    /// another request used the last one.
    fn try_acquire(&self, endpoint: &Endpoint) -> bool {
        let cold = self.cold.as_ref();
        endpoint.rate_limit.try_acquire(self.now, self.daemons)
            && self.try_acquire_brittle(endpoint)
            && cold.is_none_or(|quota| endpoint.cold.try_acquire(self.now, quota, endpoint.hash))
    }
}

/// Selects an endpoint among those of a service; `None` if all were tried, or none may get another
/// request for now.
pub fn select_endpoint(
    locations: &PromptLocations,
    request: SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> Option<Selected> {
    loop {
        let selected = lowest_estimate(locations, request, service)?;
        if request.try_acquire(&selected.endpoint) {
            return Some(selected);
        }
    }
}

/// Returns the time after which a request that is refused now may be accepted; `None` if waiting
/// alone doesn't help.
pub fn time_until_available(
    request: &SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> Option<DurationMs> {
    let allowed = service.all.iter();
    let allowed = allowed
        .filter(|endpoint| endpoint.is_usable(request.now) && request.may_serve_at(endpoint))
        .filter(|endpoint| request.versions.allows(endpoint.version));
    backoff::time_until_available(allowed.map(|endpoint| EndpointWait {
        backoff: endpoint.backoff_remaining(request.now),
        permit: permit_wait(request, endpoint),
    }))
}

/// Returns the time until this daemon's next permit; `None` if the endpoint needs none.
fn permit_wait(request: &SelectionRequest<'_>, endpoint: &Endpoint) -> Option<DurationMs> {
    let (now, daemons) = (request.now, request.daemons);
    let by_limit = endpoint.rate_limit.wait_time(now, daemons);
    if !endpoint.needs_brittle_permit(now, daemons) {
        return by_limit;
    }
    by_limit.max(endpoint.brittle.permits.wait_time(now, daemons))
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
        needs_quiet: request.needs_quiet,
        rates: request.rates,
        tie_break: TieBreak::new(request.prompt, request.daemon),
    };
    estimator.sources = cache_sources(&request, service, &estimator);
    let roles = service.roles();
    let usable = service.all.iter().zip(roles.iter());
    let usable = usable.filter(|(endpoint, _)| request.may_use(endpoint));
    let estimates = usable.map(|(endpoint, role)| {
        let candidate = candidate(&request, endpoint, role.is_quiet());
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
        needs_quiet: request.needs_quiet,
    })
}

/// Returns the healthy engines that are believed to cache a shared part of the prompt.
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
            && endpoint.is_usable(request.now)
            && endpoint.backoff_remaining(request.now).is_none()
            && request.may_serve_at(endpoint)
            && endpoint.health.trust(request.now) == Trust::Healthy;
        is_usable.then_some(CacheSource {
            endpoint: endpoint.index,
            tokens,
        })
    });
    sources.collect()
}

/// Returns the preferred endpoints of a prompt's shared prefix, among the healthy ones of its group.
fn preferred_endpoints(
    request: &SelectionRequest<'_>,
    service: &ServiceEndpoints,
) -> PreferredEndpoints {
    let mut preferred = PreferredEndpoints::default();
    let Some(prefix_id) = request.prompt.shared_prefix_id() else {
        return preferred;
    };
    for (endpoint, role) in service.all.iter().zip(service.roles().iter()) {
        if !role.may_hold_for(request.needs_quiet)
            || !endpoint.is_usable(request.now)
            || endpoint.backoff_remaining(request.now).is_some()
            || !request.may_serve_at(endpoint)
            || !request.versions.allows(endpoint.version)
        {
            continue;
        }
        if endpoint.health.trust(request.now) == Trust::Healthy {
            let weight = prompt_affinity::weight(endpoint.hash, prefix_id);
            preferred.offer(WeightedEndpoint {
                weight,
                index: endpoint.index,
                is_of_group: role.is_quiet() == request.needs_quiet,
            });
        }
    }
    preferred
}

/// Returns the position of a prompt in an endpoint's order of prompts, from 0 to 1, which is the
/// same on all daemons.
fn order_position(prompt: &Prompt, endpoint_id: &str) -> f64 {
    let own_part = prompt.parts.last();
    let weight = own_part.map_or(0, |part| xxh3_64_with_seed(endpoint_id.as_bytes(), part.id));
    weight as f64 / u64::MAX as f64
}

fn candidate(request: &SelectionRequest<'_>, endpoint: &Endpoint, is_quiet: bool) -> Candidate {
    let load = endpoint.load.snapshot(request.now);
    let record = endpoint.record.load();
    let max_silence_ms = silence::max_silence_ms(!request.prompt.is_empty());
    let queue = endpoint.load.queue_snapshot(request.now, max_silence_ms);
    Candidate {
        index: endpoint.index,
        hash: endpoint.hash,
        slots: record.slots,
        is_local: record.data_centre == *request.data_centre,
        is_quiet,
        pace: endpoint.pace.pace(),
        order_position: if placement::may_be_crowded(record.slots, load) {
            order_position(request.prompt, record.id.as_str())
        } else {
            0.0
        },
        load,
        observed_queue_ms: queue.expected_ms,
        health: endpoint.health.snapshot(request.now),
        is_silent: queue.is_silent,
        is_near_lost_endpoint: request
            .data_centres_with_lost_endpoints
            .contains(&record.data_centre),
    }
}

//! Rate limits and brittleness that endpoints announce, exchanged between daemons that follow each
//! other: with each poll and each answer, and between seeds. Each message carries the current state,
//! not changes, so daemons don't track what others know.
//!
//! Notices that don't fit into a message are left out. A notice on an endpoint that isn't known
//! here is ignored; it is sent again later.

use crate::decisions::eligibility::brittle::Fullness;
use crate::decisions::eligibility::rate_limit::{self, LimitObservation};
use crate::endpoints::directory::Directory;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::rate_limit::RateLimitState;
use crate::gateway::Gateway;
use crate::requests::endpoint_signals::{LimitObserver, on_brittle_changed, on_limit_changed};
use crate::work_by_endpoint::EndpointHash;
use bridgevane_protocol::EndpointNotice;
use bridgevane_types::{RequestsPerSecond, TimeMs};
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of notices per message; the newest ones are sent. At some 18 bytes each they
/// take 1.2 KB, and few endpoints of a fleet announce a limit at the same time.
const MAX_NOTICES: usize = 64;

/// Returns the current limits, as notices for another daemon.
pub(super) fn current(gateway: &Gateway) -> Vec<EndpointNotice> {
    notices(gateway, |endpoint| &endpoint.rate_limit)
}

/// Returns the permits of brittle endpoints, as notices for another daemon.
pub(super) fn current_brittle(gateway: &Gateway) -> Vec<EndpointNotice> {
    let mut messages = notices(gateway, |endpoint| &endpoint.brittle.permits);
    if messages.is_empty() {
        return messages;
    }
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let by_hash = endpoints_by_hash(&directory);
    let age_ms = |at: TimeMs| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
    for message in &mut messages {
        if let Some(endpoint) = by_hash.get(&EndpointHash(message.endpoint)) {
            let fullness = endpoint.brittle.fullness();
            message.turned_away_ms = fullness.turned_away_at.map(age_ms);
            message.had_room_ms = fullness.had_room_at.map(age_ms);
        }
    }
    messages
}

fn endpoints_by_hash(directory: &Directory) -> HashMap<EndpointHash, &Arc<Endpoint>> {
    let endpoints = directory.endpoints();
    endpoints
        .map(|endpoint| (endpoint.hash, endpoint))
        .collect()
}

fn notices(gateway: &Gateway, state: impl Fn(&Endpoint) -> &RateLimitState) -> Vec<EndpointNotice> {
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let mut known: Vec<(EndpointHash, LimitObservation)> = directory
        .endpoints()
        .filter_map(|endpoint| Some((endpoint.hash, state(endpoint).observation(now)?)))
        .collect();
    known.sort_unstable_by_key(|(_, observation)| std::cmp::Reverse(observation.at));
    known.truncate(MAX_NOTICES);
    let messages = known.into_iter();
    let messages = messages.map(|(endpoint, observation)| encode(now, endpoint, observation));
    messages.collect()
}

/// Applies another daemon's notices of limits.
pub(super) fn apply(gateway: &Gateway, messages: &[EndpointNotice]) {
    apply_to(
        gateway,
        messages,
        |endpoint| &endpoint.rate_limit,
        |endpoint, limit| {
            let metrics = &gateway.metrics;
            on_limit_changed(endpoint, metrics, limit, LimitObserver::OtherDaemons);
        },
    );
}

/// Applies another daemon's notices of brittle endpoints.
pub(super) fn apply_brittle(gateway: &Gateway, messages: &[EndpointNotice]) {
    apply_to(
        gateway,
        messages,
        |endpoint| &endpoint.brittle.permits,
        |endpoint, rate| on_brittle_changed(endpoint, rate, LimitObserver::OtherDaemons),
    );
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let by_hash = endpoints_by_hash(&directory);
    for message in messages {
        if let Some(endpoint) = by_hash.get(&EndpointHash(message.endpoint)) {
            let fullness = decode_fullness(now, message);
            endpoint.brittle.on_peer_observation(fullness);
        }
    }
}

fn apply_to(
    gateway: &Gateway,
    messages: &[EndpointNotice],
    state: impl Fn(&Endpoint) -> &RateLimitState,
    on_changed: impl Fn(&Endpoint, Option<RequestsPerSecond>),
) {
    if messages.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let by_hash = endpoints_by_hash(&directory);
    for message in messages {
        let endpoint = by_hash.get(&EndpointHash(message.endpoint));
        let Some((endpoint, observed)) = endpoint.zip(decode(now, message)) else {
            continue;
        };
        let draw = || rand::rng().random();
        let changed = state(endpoint).on_peer_observation(now, observed, draw);
        if let Some(limit) = changed {
            on_changed(endpoint, limit);
        }
    }
}

fn encode(now: TimeMs, endpoint: EndpointHash, observation: LimitObservation) -> EndpointNotice {
    let age_ms = now.since(observation.at).0;
    EndpointNotice {
        endpoint: endpoint.0,
        requests_per_s: observation.limit.map(|limit| limit.0),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        turned_away_ms: None,
        had_room_ms: None,
    }
}

/// Returns what the notice says of the room at a brittle endpoint. The time that the message took makes
/// both observations later by as much.
fn decode_fullness(now: TimeMs, message: &EndpointNotice) -> Fullness {
    let at = |age_ms: u32| now.0.checked_sub(u64::from(age_ms)).map(TimeMs);
    Fullness {
        turned_away_at: message.turned_away_ms.and_then(at),
        had_room_at: message.had_room_ms.and_then(at),
    }
}

/// Returns none for an observation from before the start of this daemon's clock, and for an invalid
/// limit.
fn decode(now: TimeMs, message: &EndpointNotice) -> Option<LimitObservation> {
    let at = TimeMs(now.0.checked_sub(u64::from(message.age_ms))?);
    let limit = match message.requests_per_s {
        Some(per_s) => Some(rate_limit::valid_limit(RequestsPerSecond(per_s))?),
        None => None,
    };
    Some(LimitObservation { limit, at })
}

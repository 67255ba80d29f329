//! Rate limits and brittleness that endpoints announce, exchanged between daemons that follow each
//! other: with each poll and each answer, and between seeds. Each message carries the current state,
//! not changes, so daemons don't track what others know.
//!
//! Notices that don't fit into a message are left out. A notice on an endpoint that isn't known
//! here is ignored; it is sent again later.

use crate::decisions::eligibility::brittle::Fullness;
use crate::decisions::eligibility::rate_limit::{self, LimitObservation};
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
    notices(gateway, |endpoint| &endpoint.rate_limit, encode)
}

/// Returns the permits of brittle endpoints, as notices for another daemon.
pub(super) fn current_brittle(gateway: &Gateway) -> Vec<EndpointNotice> {
    notices(
        gateway,
        |endpoint| &endpoint.brittle.permits,
        |now, endpoint, observation| {
            let fullness = endpoint.brittle.fullness();
            EndpointNotice {
                turned_away_ms: fullness.turned_away_at.map(|at| age_ms(now, at)),
                had_room_ms: fullness.had_room_at.map(|at| age_ms(now, at)),
                ..encode(now, endpoint, observation)
            }
        },
    )
}

fn notices(
    gateway: &Gateway,
    state: impl Fn(&Endpoint) -> &RateLimitState,
    encode: impl Fn(TimeMs, &Endpoint, LimitObservation) -> EndpointNotice,
) -> Vec<EndpointNotice> {
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let mut known: Vec<(&Arc<Endpoint>, LimitObservation)> = directory
        .endpoints()
        .filter_map(|endpoint| Some((endpoint, state(endpoint).observation(now)?)))
        .collect();
    known.sort_unstable_by_key(|(_, observation)| std::cmp::Reverse(observation.at));
    known.truncate(MAX_NOTICES);
    let messages = known.into_iter();
    let messages = messages.map(|(endpoint, observation)| encode(now, endpoint, observation));
    messages.collect()
}

/// Applies another daemon's notices of limits.
pub(super) fn apply(gateway: &Gateway, messages: &[EndpointNotice]) {
    let now = gateway.clock.now();
    for_known_endpoints(gateway, messages, |endpoint, message| {
        if let Some(limit) = apply_limit(now, &endpoint.rate_limit, message) {
            let metrics = &gateway.metrics;
            on_limit_changed(endpoint, metrics, limit, LimitObserver::OtherDaemons);
        }
    });
}

/// Applies another daemon's notices of brittle endpoints.
pub(super) fn apply_brittle(gateway: &Gateway, messages: &[EndpointNotice]) {
    let now = gateway.clock.now();
    for_known_endpoints(gateway, messages, |endpoint, message| {
        if let Some(rate) = apply_limit(now, &endpoint.brittle.permits, message) {
            on_brittle_changed(endpoint, rate, LimitObserver::OtherDaemons);
        }
        let fullness = decode_fullness(now, message);
        endpoint.brittle.on_peer_observation(fullness);
    });
}

/// Calls `apply` with each notice and its endpoint.
fn for_known_endpoints(
    gateway: &Gateway,
    messages: &[EndpointNotice],
    apply: impl Fn(&Endpoint, &EndpointNotice),
) {
    // Most messages carry none.
    if messages.is_empty() {
        return;
    }
    let directory = gateway.control.directory();
    let by_hash: HashMap<EndpointHash, &Arc<Endpoint>> = directory
        .endpoints()
        .map(|endpoint| (endpoint.hash, endpoint))
        .collect();
    for message in messages {
        if let Some(endpoint) = by_hash.get(&EndpointHash(message.endpoint)) {
            apply(endpoint, message);
        }
    }
}

/// Applies the limit of a notice. Returns the limit that now applies, if it is to be reported.
fn apply_limit(
    now: TimeMs,
    state: &RateLimitState,
    message: &EndpointNotice,
) -> Option<Option<RequestsPerSecond>> {
    let observed = decode(now, message)?;
    state.on_peer_observation(now, observed, || rand::rng().random())
}

fn encode(now: TimeMs, endpoint: &Endpoint, observation: LimitObservation) -> EndpointNotice {
    EndpointNotice {
        endpoint: endpoint.hash.0,
        requests_per_s: observation.limit.map(|limit| limit.0),
        age_ms: age_ms(now, observation.at),
        turned_away_ms: None,
        had_room_ms: None,
    }
}

fn age_ms(now: TimeMs, at: TimeMs) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
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

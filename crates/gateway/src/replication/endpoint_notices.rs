//! What endpoints ask for, told between daemons that follow each other: with each question and each answer, and between
//! seeds. It is told as it stands, not as changes, so that nothing is remembered of who knows what.
//!
//! Leaves out what doesn't fit; an endpoint that isn't known here is passed over, and told again.

use crate::decisions::eligibility::rate_limit::{self, LimitObservation};
use crate::endpoints::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::requests::endpoint_signals::{LimitHeardBy, on_limit_heard};
use crate::work_by_endpoint::EndpointHash;
use bridgevane_protocol::EndpointNotice;
use bridgevane_types::{RequestsPerSecond, TimeMs};
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;

/// Notices in one message at most, the newest ones. Chosen because at some 18 bytes each they take 1.2 KB, and a fleet has
/// few endpoints in need at once.
const MAX_NOTICES: usize = 64;

/// What this daemon knows, for another one.
pub(super) fn messages(gateway: &Gateway) -> Vec<EndpointNotice> {
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let mut known: Vec<(EndpointHash, LimitObservation)> = directory
        .endpoints()
        .filter_map(|endpoint| Some((endpoint.hash, endpoint.rate_limit.observation(now)?)))
        .collect();
    known.sort_unstable_by_key(|(_, observation)| std::cmp::Reverse(observation.at));
    known.truncate(MAX_NOTICES);
    let messages = known.into_iter();
    let messages = messages.map(|(endpoint, observation)| message(now, endpoint, observation));
    messages.collect()
}

/// Takes in what another daemon tells.
pub(super) fn take_in(gateway: &Gateway, messages: &[EndpointNotice]) {
    if messages.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let directory = gateway.control.directory();
    let by_hash: HashMap<EndpointHash, &Arc<Endpoint>> = directory
        .endpoints()
        .map(|endpoint| (endpoint.hash, endpoint))
        .collect();
    for message in messages {
        let endpoint = by_hash.get(&EndpointHash(message.endpoint));
        let Some((endpoint, told)) = endpoint.zip(observation(now, message)) else {
            continue;
        };
        let draw = || rand::rng().random();
        let heard = endpoint.rate_limit.on_told(now, told, draw);
        if let Some(limit) = heard {
            on_limit_heard(
                endpoint,
                &gateway.metrics,
                limit,
                LimitHeardBy::OtherDaemons,
            );
        }
    }
}

fn message(now: TimeMs, endpoint: EndpointHash, observation: LimitObservation) -> EndpointNotice {
    let age_ms = now.since(observation.at).0;
    EndpointNotice {
        endpoint: endpoint.0,
        requests_per_s: observation.limit.map(|limit| limit.0),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

/// None for an observation from before this daemon's clock, and for a limit that is none.
fn observation(now: TimeMs, message: &EndpointNotice) -> Option<LimitObservation> {
    let at = TimeMs(now.0.checked_sub(u64::from(message.age_ms))?);
    let limit = match message.requests_per_s {
        Some(per_s) => Some(rate_limit::checked(RequestsPerSecond(per_s))?),
        None => None,
    };
    Some(LimitObservation { limit, at })
}

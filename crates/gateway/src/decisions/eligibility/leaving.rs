//! Leaving: an endpoint that announces in an answer that it is leaving gets no new requests in this
//! incarnation.
//!
//! Inputs: the endpoint's own answers, and its incarnations as the control source lists them (id and
//! start time).
//!
//! Rules:
//! 1. From the first such answer on, no request goes there: no first attempt, retry, hedge or
//!    resumption of a stream, and no prompt is kept for it. Requests that run there are completed.
//! 2. Nothing revokes it: no record that says that the endpoint is ready, no configuration, no
//!    outage of the source, no lack of other endpoints. An incarnation whose record disappears and
//!    returns is still leaving.
//! 3. A later incarnation with the same id is another endpoint, and so is one that gets the address.
//!
//! Reason: the endpoint knows first. Its record can't say so while the source is unavailable, and
//! stale reads of the source may say the opposite for seconds.
//!
//! Tests: `endpoint_leaving.rs`.

use bridgevane_types::{EndpointId, WallTimeMs};
use std::collections::{HashSet, VecDeque};

/// The maximum number of incarnations that are remembered after their records are gone: more than all
/// endpoints of the largest fleet, at some 100 bytes each.
const MAX_REMEMBERED_INCARNATIONS: usize = 4_096;

/// One incarnation of an endpoint: its id may be used again by a later process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// The endpoint.
    pub id: EndpointId,
    /// When its process started; `None` if not reported.
    pub started_at: Option<WallTimeMs>,
}

/// The leaving incarnations whose records are gone but may return.
#[derive(Debug, Default)]
pub struct LeavingIncarnations {
    incarnations: HashSet<EndpointIncarnation>,
    oldest_first: VecDeque<EndpointIncarnation>,
}

impl LeavingIncarnations {
    /// Records that the record of a leaving incarnation is gone.
    pub fn remember(&mut self, incarnation: EndpointIncarnation) {
        if !self.incarnations.insert(incarnation.clone()) {
            return;
        }
        self.oldest_first.push_back(incarnation);
        if self.oldest_first.len() > MAX_REMEMBERED_INCARNATIONS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Returns whether an incarnation is known to be leaving.
    pub fn contains(&self, incarnation: &EndpointIncarnation) -> bool {
        self.incarnations.contains(incarnation)
    }
}

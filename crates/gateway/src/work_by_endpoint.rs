//! The work that daemons have in flight at endpoints: running requests, and prompt tokens that were
//! sent and whose prefill isn't done; and the lowest work time that each endpoint showed.
//!
//! In a large fleet each daemon sends an engine one request in some seconds, and knows little of the
//! engine's load. Together the daemons know all requests that were sent there: sums go up the tree
//! in which daemons follow each other, and the total goes down. See docs/design/14.

use crate::decisions::endpoint::engine_pace::WorkTime;
use bridgevane_types::{EndpointId, WallTimeMs};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of pending prompt tokens at one endpoint that makes daemons report sooner. Fewer are
/// less than 30 ms of prefill, which changes no selection; at half of it most reports would be sent
/// sooner.
const MIN_URGENT_TOKENS: u64 = 1_500;

/// The identifier of one incarnation of an endpoint in messages between daemons: the upper half of a
/// 64-bit hash of its id and start time. The index of an endpoint differs between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u32);

impl EndpointHash {
    /// Returns the hash of one incarnation of an endpoint, which started at `started_at`.
    pub(crate) fn of_incarnation(endpoint: &EndpointId, started_at: Option<WallTimeMs>) -> Self {
        // Without a start time the hash covers only the id.
        let seed = started_at.map_or(0, |started_at| started_at.0);
        let hash = xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed);
        Self((hash >> 32) as u32)
    }
}

/// The work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The prompt tokens that were sent and whose prefill isn't done.
    pub prefill_tokens: u64,
    /// The requests that were sent and have not ended.
    pub running: u32,
    /// Those of them that need a quiet engine.
    pub quiet_streams: u32,
    /// The lowest recent work time of the endpoint; `None` if unknown.
    pub work_time: Option<WorkTime>,
}

impl Work {
    /// Returns whether nothing is in flight. A work time alone isn't worth a report.
    pub(crate) fn is_zero(self) -> bool {
        self.prefill_tokens == 0 && self.running == 0
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            running: self.running.saturating_sub(other.running),
            quiet_streams: self.quiet_streams.saturating_sub(other.quiet_streams),
            work_time: self.work_time,
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.running = self.running.saturating_add(other.running);
        self.quiet_streams = self.quiet_streams.saturating_add(other.quiet_streams);
        self.work_time = lowest(self.work_time, other.work_time);
    }
}

/// Returns the lower of two work times, of which each may be unknown.
fn lowest(one: Option<WorkTime>, other: Option<WorkTime>) -> Option<WorkTime> {
    one.into_iter().chain(other).min()
}

/// The work at all endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkByEndpoint {
    by_endpoint: BTreeMap<EndpointHash, Work>,
}

impl WorkByEndpoint {
    /// Adds work at an endpoint.
    pub fn add(&mut self, endpoint: EndpointHash, work: Work) {
        if !work.is_zero() {
            *self.by_endpoint.entry(endpoint).or_default() += work;
        }
    }

    /// Adds the work of `other` at every endpoint.
    pub(crate) fn add_all(&mut self, other: &Self) {
        for (endpoint, work) in other.iter() {
            self.add(endpoint, work);
        }
    }

    /// Returns this work minus the work of `other`, at least 0 at every endpoint.
    pub fn minus(&self, other: &Self) -> Self {
        let mut rest = Self::default();
        for (endpoint, work) in self.iter() {
            rest.add(endpoint, work.saturating_sub(other.for_endpoint(endpoint)));
        }
        rest
    }

    /// Returns the work at an endpoint.
    pub(crate) fn for_endpoint(&self, endpoint: EndpointHash) -> Work {
        // No entry means no work.
        self.by_endpoint.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns whether there is no work.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Returns whether no endpoint has enough pending prompt tokens to report them sooner.
    pub fn has_no_urgent_prefill(&self) -> bool {
        self.iter()
            .all(|(_, work)| work.prefill_tokens < MIN_URGENT_TOKENS)
    }

    /// Returns all endpoints with work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointHash, Work)> {
        self.by_endpoint
            .iter()
            .map(|(endpoint, work)| (*endpoint, *work))
    }
}

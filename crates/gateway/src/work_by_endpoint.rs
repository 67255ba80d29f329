//! Work that daemons have under way at endpoints: requests that run, and prompt tokens that were
//! sent and not read yet.
//!
//! Where there are many daemons each sends an engine a request in some seconds, and knows little of
//! its load. Together they know all that was sent there: sums go up the tree in which daemons
//! follow each other, the total goes down (docs/design/14).

use bridgevane_types::{EndpointId, WallTimeMs};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fewer tokens to read than this, over all endpoints, don't hasten a report. Not measured (commit
/// cf81c29), chosen because it is 30 ms of reading, which decides nothing; half would make most
/// messages come sooner.
const MIN_URGENT_TOKENS: u64 = 1_500;

/// An endpoint's name in messages between daemons, whose indexes for it differ: the upper half of a
/// 64-bit hash of its id and birth. Each of its lives has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u32);

impl EndpointHash {
    /// The hash of one life of an endpoint.
    pub(crate) fn of_life(endpoint: &EndpointId, born: Option<WallTimeMs>) -> Self {
        // Where births aren't told the hash is that of the id.
        let seed = born.map_or(0, |born| born.0);
        let hash = xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed);
        Self((hash >> 32) as u32)
    }
}

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens that were sent and not read yet.
    pub prefill_tokens: u64,
    /// Requests that were sent and have not ended.
    pub running: u32,
}

impl Work {
    fn is_none(self) -> bool {
        self == Self::default()
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            running: self.running.saturating_sub(other.running),
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.running = self.running.saturating_add(other.running);
    }
}

/// Work at all endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkByEndpoint {
    by_endpoint: BTreeMap<EndpointHash, Work>,
}

impl WorkByEndpoint {
    /// Adds work at an endpoint.
    pub fn add(&mut self, endpoint: EndpointHash, work: Work) {
        if !work.is_none() {
            *self.by_endpoint.entry(endpoint).or_default() += work;
        }
    }

    /// Adds all of another's.
    pub(crate) fn add_all(&mut self, other: &Self) {
        for (endpoint, work) in other.iter() {
            self.add(endpoint, work);
        }
    }

    /// What is left without another's.
    pub fn without(&self, other: &Self) -> Self {
        let mut rest = Self::default();
        for (endpoint, work) in self.iter() {
            rest.add(endpoint, work.saturating_sub(other.at(endpoint)));
        }
        rest
    }

    /// Work at an endpoint.
    pub(crate) fn at(&self, endpoint: EndpointHash) -> Work {
        // No entry means no work.
        self.by_endpoint.get(&endpoint).copied().unwrap_or_default()
    }

    /// Whether there is no work.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Whether no prompts wait that the others should hear of soon.
    pub fn is_small(&self) -> bool {
        self.iter()
            .all(|(_, work)| work.prefill_tokens < MIN_URGENT_TOKENS)
    }

    /// All endpoints with work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointHash, Work)> {
        self.by_endpoint
            .iter()
            .map(|(endpoint, work)| (*endpoint, *work))
    }
}

//! Pending prefill: prompt tokens that were sent to endpoints and not read yet, by endpoint.
//!
//! Where there are many daemons each sends an engine a request in some seconds, and knows little of
//! its queue. Together they know all that was sent there: sums go up the tree in which daemons
//! follow each other, the total goes down (docs/design/14).

use bridgevane_types::EndpointId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Less than this at an endpoint is not reported. Not measured (commit cf81c29), chosen because it
/// is 30 ms of reading, which decides nothing; half would make most messages longer.
pub(crate) const MIN_REPORTED_TOKENS: u64 = 1_500;

/// An endpoint's name in messages between daemons, whose indexes for it differ: the upper half of a
/// 64-bit hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u32);

impl EndpointHash {
    /// The hash of an endpoint's id.
    pub(crate) fn of_id(endpoint: &EndpointId) -> Self {
        let hash = xxh3_64(endpoint.as_str().as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// Prompt tokens that were sent and not read yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingPrefill {
    tokens: BTreeMap<EndpointHash, u64>,
}

impl PendingPrefill {
    /// Adds tokens at an endpoint.
    pub fn add(&mut self, endpoint: EndpointHash, tokens: u64) {
        if tokens > 0 {
            *self.tokens.entry(endpoint).or_default() += tokens;
        }
    }

    /// Adds all of another's.
    pub(crate) fn add_all(&mut self, other: &Self) {
        for (endpoint, tokens) in other.iter() {
            self.add(endpoint, tokens);
        }
    }

    /// What is left without another's.
    pub fn without(&self, other: &Self) -> Self {
        let mut rest = Self::default();
        for (endpoint, tokens) in self.iter() {
            rest.add(endpoint, tokens.saturating_sub(other.at(endpoint)));
        }
        rest
    }

    /// Tokens at an endpoint.
    pub(crate) fn at(&self, endpoint: EndpointHash) -> u64 {
        // No entry means no tokens.
        self.tokens.get(&endpoint).copied().unwrap_or(0)
    }

    /// Whether nothing is worth reporting.
    pub fn is_small(&self) -> bool {
        self.iter().all(|(_, tokens)| tokens < MIN_REPORTED_TOKENS)
    }

    /// All endpoints with tokens.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointHash, u64)> {
        self.tokens
            .iter()
            .map(|(endpoint, tokens)| (*endpoint, *tokens))
    }
}

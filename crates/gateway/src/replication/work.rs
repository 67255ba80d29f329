//! What daemons have under way at endpoints, told along the tree in which they follow each
//! other.
//!
//! Where there are many daemons each sends an engine a request in some seconds, and knows
//! nothing of its line. Together they know all that was sent there: sums go up the tree, the
//! total goes down.

use bridgevane_protocol::EndpointWork;
use bridgevane_types::{DurationMs, EndpointId, TimeMs};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Less than this is not worth telling.
const MIN_TOKENS: u64 = 1_500;
/// Endpoints that are told of in a message at most, those with the most work.
const MAX_TOLD: usize = 64;
/// What was told is believed so long.
const LIFETIME: DurationMs = DurationMs(1_200);

/// An endpoint in messages between daemons, whose own numbers for it differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u32);

impl EndpointHash {
    /// The hash of an endpoint's name.
    pub fn of(endpoint: &EndpointId) -> Self {
        Self((xxh3_64(endpoint.as_str().as_bytes()) >> 32) as u32)
    }
}

/// Prompt tokens under way by endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    prompt_tokens: BTreeMap<EndpointHash, u64>,
}

impl Work {
    /// Adds tokens that are under way at an endpoint.
    pub fn add(&mut self, endpoint: EndpointHash, prompt_tokens: u64) {
        if prompt_tokens > 0 {
            *self.prompt_tokens.entry(endpoint).or_default() += prompt_tokens;
        }
    }

    /// Adds all of another's.
    pub fn add_all(&mut self, other: &Self) {
        for (endpoint, tokens) in &other.prompt_tokens {
            self.add(*endpoint, *tokens);
        }
    }

    /// The same without what another counts.
    pub fn without(&self, other: &Self) -> Self {
        let rest = |(endpoint, tokens): (&EndpointHash, &u64)| {
            let rest = tokens.saturating_sub(other.at(*endpoint));
            (rest > 0).then_some((*endpoint, rest))
        };
        let prompt_tokens = self.prompt_tokens.iter().filter_map(rest).collect();
        Self { prompt_tokens }
    }

    /// Tokens under way at an endpoint.
    pub fn at(&self, endpoint: EndpointHash) -> u64 {
        self.prompt_tokens.get(&endpoint).copied().unwrap_or(0)
    }

    /// Whether there is nothing worth telling.
    pub fn is_small(&self) -> bool {
        self.prompt_tokens
            .values()
            .all(|tokens| *tokens < MIN_TOKENS)
    }

    /// What is worth telling.
    pub(super) fn messages(&self) -> Vec<EndpointWork> {
        let large = |(_, tokens): &(&EndpointHash, &u64)| **tokens >= MIN_TOKENS;
        let mut large: Vec<(&EndpointHash, &u64)> =
            self.prompt_tokens.iter().filter(large).collect();
        if large.len() > MAX_TOLD {
            large.sort_unstable_by_key(|(_, tokens)| std::cmp::Reverse(**tokens));
            large.truncate(MAX_TOLD);
        }
        large
            .into_iter()
            .map(|(endpoint, tokens)| EndpointWork {
                endpoint: endpoint.0,
                prompt_tokens: u32::try_from(*tokens).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// What was told.
    pub(super) fn of_messages(messages: &[EndpointWork]) -> Self {
        let mut work = Self::default();
        for message in messages {
            let endpoint = EndpointHash(message.endpoint);
            work.add(endpoint, u64::from(message.prompt_tokens));
        }
        work
    }
}

#[derive(Debug)]
struct Told {
    at: TimeMs,
    work: Work,
}

/// What this daemon knows of the others' work.
#[derive(Debug, Default)]
pub struct WorkBoard {
    /// By the upstream: the total, with this daemon's tree in it.
    total: Option<Told>,
    /// By other seeds: their trees.
    seeds: HashMap<SocketAddr, Told>,
}

impl WorkBoard {
    /// The upstream told the total.
    pub fn total_told(&mut self, now: TimeMs, work: Work) {
        self.total = Some(Told { at: now, work });
    }

    /// Another seed told the work of its tree.
    pub fn tree_told(&mut self, now: TimeMs, seed: SocketAddr, work: Work) {
        self.seeds.insert(seed, Told { at: now, work });
    }

    /// The work of all daemons, where `tree` is that of this one's tree.
    pub fn total(&self, now: TimeMs, tree: &Work) -> Work {
        let is_new = |told: &&Told| now.since(told.at) < LIFETIME;
        if let Some(total) = self.total.as_ref().filter(is_new) {
            return total.work.clone();
        }
        let mut total = tree.clone();
        for told in self.seeds.values().filter(is_new) {
            total.add_all(&told.work);
        }
        total
    }
}

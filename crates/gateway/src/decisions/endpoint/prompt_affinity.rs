//! Prompt affinity: prompts that share a prefix go to the same engines, which keep it cached.
//!
//! Inputs: the id of the shared prefix, and the healthy endpoints that may hold it, each with whether
//! it is of the request's group at present ([`super::quiet_engines`]).
//!
//! Rule: rendezvous hashing over all data centres. The two endpoints with the highest weight for
//! the prefix hold it, so that all daemons agree without communication. A prefix of
//! `MIN_EXCLUSIVE_TOKENS` or more goes to no third endpoint while one of the two is trusted:
//! another copy of a widely shared prefix takes cache from every request on that engine. An engine
//! may cache parts that this daemon has not seen it read, because of other daemons' requests: a
//! share of the prefix counts as cached at the holders. An engine that is of the other group at
//! present still has what it held, and is a source for others ([`super::cache_fetch`]).
//!
//! Reason: with two engines for a prefix instead of any number, the shared tokens read again fell
//! from 1,115 to 238 thousand. See docs/design/13.
//!
//! Tests: `decisions.rs::daemons_of_all_data_centres_place_a_session_at_the_same_engine`,
//! `a_session_uses_two_engines_and_no_third_while_they_are_healthy`.

use super::hash_mix::hash_with_seed;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::EndpointIx;

/// The number of shared tokens from which a prompt goes to its preferred endpoints only. It lies
/// between the shared tokens of chats (some 200 to 600) and of reports (6,300).
const MIN_EXCLUSIVE_TOKENS: u64 = 1_000;
/// The share of the shared prefix that counts as cached at the first and the second preferred
/// endpoint. Lower values spread sessions sooner; with higher ones a cold engine looks as good as a
/// warm one.
const LIKELY_CACHED_SHARES: [f64; HOLDERS] = [0.8, 0.3];
/// The number of endpoints that hold a prefix.
const HOLDERS: usize = 2;

/// An endpoint with its weight for a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WeightedEndpoint {
    pub(crate) weight: u64,
    pub(crate) index: EndpointIx,
    /// Whether it is of the group that the request prefers at present.
    pub(crate) is_of_group: bool,
}

/// The number of endpoints that are ranked: some may be of the other group at present, and still have
/// the prefix cached.
const RANKED: usize = HOLDERS + 2;

/// The endpoints where all daemons place prompts with one shared prefix.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PreferredEndpoints {
    by_rank: [Option<WeightedEndpoint>; RANKED],
}

impl PreferredEndpoints {
    /// Adds an endpoint if its weight is among the highest.
    pub(crate) fn offer(&mut self, endpoint: WeightedEndpoint) {
        let mut next = Some(endpoint);
        for best in &mut self.by_rank {
            if next > *best {
                std::mem::swap(&mut next, best);
            }
        }
    }

    /// Returns whether an endpoint holds the prefix.
    pub(crate) fn is_holder(&self, endpoint: EndpointIx) -> bool {
        self.rank_in_group(endpoint)
            .is_some_and(|rank| rank < HOLDERS)
    }

    /// Returns the rank of an endpoint among those of the request's group.
    fn rank_in_group(&self, endpoint: EndpointIx) -> Option<usize> {
        let ranked = self.by_rank.iter().flatten();
        let mut of_group = ranked.filter(|ranked| ranked.is_of_group);
        of_group.position(|ranked| ranked.index == endpoint)
    }

    /// Returns the number of tokens of the prompt that other daemons' requests likely left in an
    /// endpoint's cache.
    pub(crate) fn likely_cached_tokens(&self, endpoint: EndpointIx, prompt: &Prompt) -> u64 {
        let mut ranked = self.by_rank.iter().flatten();
        // An endpoint of the other group keeps what it held before.
        let rank = self
            .rank_in_group(endpoint)
            .or_else(|| ranked.position(|ranked| ranked.index == endpoint));
        let share = rank.and_then(|rank| LIKELY_CACHED_SHARES.get(rank));
        share.map_or(0, |share| (share * prompt.shared_tokens() as f64) as u64)
    }
}

/// Returns an endpoint's weight for a shared prefix, which is the same on all daemons.
pub(crate) fn weight(endpoint: EndpointHash, prefix_id: u64) -> u64 {
    hash_with_seed(prefix_id, endpoint)
}

/// Returns whether a prompt goes to its preferred endpoints only while one of them is trusted.
pub(crate) fn is_exclusive(prompt: &Prompt) -> bool {
    prompt.shared_tokens() >= MIN_EXCLUSIVE_TOKENS
}

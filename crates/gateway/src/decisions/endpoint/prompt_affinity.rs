//! Prompt affinity: prompts that share a prefix go to the same engines, which keep it cached.
//!
//! Inputs: the id of the shared prefix, and the sound endpoints of the request's group (reserved
//! for streams, or not).
//!
//! Rule: rendezvous hashing over all data centres; the two endpoints with the highest weight for
//! the prefix are its preferred ones, so that all daemons agree without a word. A prefix of
//! `MIN_EXCLUSIVE_TOKENS` or more goes to no third endpoint while one of them is trusted: a copy
//! more of what many share costs everyone on that engine. What a daemon has not seen an engine read
//! may be cached there nonetheless, from other daemons' requests: a share of the prefix counts as
//! cached at the preferred endpoints.
//!
//! Measured: commit e941a2e (one engine for a session on all daemons), commit a131a28 (two, and no
//! third: ravaton 0.683 to 0.778, solcata 0.786 to 0.863; shared parts read again on a quiet day
//! 1,115 to 238 thousand tokens, docs/design/13).
//!
//! Tests: `decisions.rs::daemons_of_all_data_centres_place_a_session_at_the_same_engine`,
//! `a_session_has_two_engines_and_no_third_while_they_live`.

use super::hash_mix::mix;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::EndpointIx;

/// Shared tokens from which a prompt goes to its preferred endpoints only. Not measured by itself:
/// chosen because it lies between the shared tokens of chats (some 200 to 600) and of reports
/// (6,300).
const MIN_EXCLUSIVE_TOKENS: u64 = 1_000;
/// The share of the shared prefix that counts as cached at the first and the second preferred
/// endpoint. Not measured by themselves (commit e941a2e). Lower ones spread sessions sooner; with
/// higher ones a cold engine looks as good as a warm one.
const LIKELY_CACHED_SHARES: [f64; 2] = [0.8, 0.3];

/// The endpoints where all daemons place prompts of one shared prefix, the first choice first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PreferredEndpoints {
    by_rank: [Option<(u64, EndpointIx)>; LIKELY_CACHED_SHARES.len()],
}

impl PreferredEndpoints {
    /// Takes an endpoint in, if its weight is among the highest.
    pub(crate) fn offer(&mut self, endpoint: EndpointIx, weight: u64) {
        let mut next = Some((weight, endpoint));
        for best in &mut self.by_rank {
            if next > *best {
                std::mem::swap(&mut next, best);
            }
        }
    }

    fn rank(&self, endpoint: EndpointIx) -> Option<usize> {
        let is_endpoint = |best: &Option<(u64, EndpointIx)>| {
            best.is_some_and(|(_, preferred)| preferred == endpoint)
        };
        self.by_rank.iter().position(is_endpoint)
    }

    /// Whether an endpoint is one of them.
    pub(crate) fn contains(&self, endpoint: EndpointIx) -> bool {
        self.rank(endpoint).is_some()
    }

    /// Tokens of the prompt that other daemons' requests likely left in an endpoint's cache.
    pub(crate) fn likely_cached_tokens(&self, endpoint: EndpointIx, prompt: &Prompt) -> u64 {
        let share = self.rank(endpoint).map(|rank| LIKELY_CACHED_SHARES[rank]);
        share.map_or(0, |share| (share * prompt.shared_tokens() as f64) as u64)
    }
}

/// An endpoint's weight for a shared prefix: the same on all daemons.
pub(crate) fn weight(endpoint: EndpointHash, prefix_id: u64) -> u64 {
    mix(prefix_id, endpoint)
}

/// Whether a prompt goes to its preferred endpoints only, while one of them is trusted.
pub(crate) fn is_exclusive(prompt: &Prompt) -> bool {
    prompt.shared_tokens() >= MIN_EXCLUSIVE_TOKENS
}

//! Cache fetch: an engine copies a shared prefix from another engine's cache instead of computing
//! it again.
//!
//! Inputs: the number of shared tokens of the prompt that the chosen engine and each possible
//! source are believed to cache ([`super::placement`]).
//!
//! Rule: the source is the engine that caches the most tokens, if that is at least
//! `MIN_FETCHED_TOKENS` more than the chosen engine caches. Only engines that are neither ejected
//! nor failing are sources. A source that no longer has the prefix does no harm: the engine
//! computes what it doesn't get.
//!
//! Reason: prefill delays all other requests on an engine, while a fetch uses only part of the
//! network links between engines. When a source exists, another copy of a prefix costs little, so
//! requests needn't queue for the engines that already have it.
//!
//! Tests: `cache_fetch.rs`.

use bridgevane_decisions::EndpointIx;

/// The smallest number of shared tokens that is fetched: an engine computes this many in some 20
/// ms, about the time to set up a fetch.
const MIN_FETCHED_TOKENS: u64 = 1_000;

/// An engine that may cache a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// The engine.
    pub endpoint: EndpointIx,
    /// The number of tokens of the prompt that it is believed to cache.
    pub tokens: u64,
}

/// A part of a prompt that the chosen engine fetches from another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFetch {
    /// The engine that it is fetched from.
    pub source: EndpointIx,
    /// The number of tokens that need not be computed.
    pub tokens: u64,
}

/// Chooses the source from which an engine that caches `cached_tokens` of a prompt fetches more;
/// `None` if no fetch is worth it.
pub fn choose(
    engine: EndpointIx,
    cached_tokens: u64,
    sources: &[CacheSource],
) -> Option<CacheFetch> {
    let others = sources.iter().filter(|source| source.endpoint != engine);
    let most = others.max_by_key(|source| source.tokens)?;
    let tokens = most.tokens.saturating_sub(cached_tokens);
    (tokens >= MIN_FETCHED_TOKENS).then_some(CacheFetch {
        source: most.endpoint,
        tokens,
    })
}

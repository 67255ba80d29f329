//! A hash of an endpoint and a seed, cheap enough to compute for every endpoint on every request.

use crate::work_by_endpoint::EndpointHash;

/// 2^64 divided by the golden ratio: odd, with bits spread over the whole word, so that a
/// multiplication by it moves each bit into the upper half.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the hash, which is the same on all daemons.
pub(crate) fn hash_with_seed(seed: u64, endpoint: EndpointHash) -> u64 {
    let mixed = (seed ^ u64::from(endpoint.0)).wrapping_mul(MULTIPLIER);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 29)
}

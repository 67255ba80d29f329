//! A hash of an endpoint and something else, cheap enough for each request to ask it of each endpoint.

use crate::work_by_endpoint::EndpointHash;

/// Odd, with bits all over the word: a multiplication by it moves each bit into the upper half. 2^64
/// divided by the golden ratio.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The hash, the same on all daemons. Measured against hashing the endpoint's name: `fleet_state` (benches).
pub(crate) fn mix(seed: u64, endpoint: EndpointHash) -> u64 {
    let mixed = (seed ^ u64::from(endpoint.0)).wrapping_mul(MULTIPLIER);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 29)
}

//! The hash by which names are identified in messages between daemons.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the upper half of a 64-bit hash, the same on every daemon and in every version.
pub fn short_hash(bytes: &[u8]) -> u32 {
    (xxh3_64(bytes) >> 32) as u32
}

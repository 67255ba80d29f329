//! Rendezvous hashing: each node has a score for each key, and the node with the highest score is
//! the key's home.
//!
//! When a node is removed, only its own keys move. Nodes need to agree only on the membership.

use bridgevane_types::VmId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(key: &str, vm: &VmId) -> u64 {
    let seed = xxh3_64_with_seed(vm.as_str().as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}

/// Returns the home of `key` among `vms`, or `None` if `vms` is empty.
pub fn home_of<'a>(key: &str, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    vms.max_by_key(|vm| (score(key, vm), *vm))
}

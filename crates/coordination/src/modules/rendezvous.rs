//! Rendezvous hashing: each node gives each key a score, the highest is the key's home.
//!
//! A node that goes moves only its own keys; nothing has to be agreed but who is there.

use bridgevane_types::VmId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(key: &str, vm: &VmId) -> u64 {
    let seed = xxh3_64_with_seed(vm.as_str().as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}

/// The home of `key` among `vms`; none when there are none.
pub fn home_of<'a>(key: &str, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    vms.max_by_key(|vm| (score(key, vm), *vm))
}

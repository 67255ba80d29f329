//! Settings of the memory and the descriptors that clients may use.

use crate::configs::settings_reader::{SettingReader, SettingSource};
use bridgevane_client_limits::{ClientPlan, ClientShares, descriptor_limit};
use bridgevane_types::Bytes;

/// The number of bytes in a megabyte, the unit of the settings.
const BYTES_PER_MB: u64 = 1 << 20;
/// The default of `--memory-mb`, for the VM size that the product is designed for. See
/// docs/CAPACITY.md.
const DEFAULT_MEMORY: Bytes = Bytes(128 * BYTES_PER_MB);

/// Returns what clients may make a process hold that has the default memory.
pub(crate) fn default_plan(shares: ClientShares) -> ClientPlan {
    ClientPlan::new(DEFAULT_MEMORY, descriptor_limit(), shares)
}

/// Reads the memory and the descriptors of the process, and derives what clients may make it hold.
pub(crate) fn read_plan(
    reader: &mut SettingReader<'_, impl SettingSource>,
    shares: ClientShares,
) -> ClientPlan {
    let memory_mb: Option<u64> = reader.optional("memory-mb", "a number of megabytes");
    let max_descriptors = reader.optional("max-descriptors", "a number of descriptors");
    let memory = memory_mb.map_or(DEFAULT_MEMORY, |memory_mb| Bytes(memory_mb * BYTES_PER_MB));
    let descriptors = descriptor_limit().min(max_descriptors.unwrap_or(usize::MAX));
    ClientPlan::new(memory, descriptors, shares)
}

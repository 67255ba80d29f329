//! Version registration: which software versions does the source's record of a host name?
//!
//! Inputs: the record ([`RegisteredVersions`]), and what the daemon that keeps it knows of each version
//! ([`VersionSight`]): whether an endpoint accepted a connection, for how long no endpoint of a service
//! to which a resumable route of the host leads has been known, and for how long the version has been retired (ms of this daemon's clock); and the longest
//! timeout of a resumable route (ms).
//!
//! Rules:
//! - A version becomes active once one of its endpoints accepts a connection. A record of another
//!   writer, at whose address nobody listens, must not make a host one of several versions.
//! - A version without endpoints is retired after [`RETIRE_AFTER`]: no more streams begin there.
//! - A retired version is removed after [`version_memory`], in which all streams that it began have
//!   ended with all attempts of their clients.
//! - A retired version that has endpoints again becomes active like a new one.
//!
//! Reason: a version is removed in two steps because another daemon may know an endpoint that the daemon
//! which keeps the record doesn't know yet, or not any more.
//!
//! Tests: `version_registration.rs`.

use super::stream_version::{RegisteredVersions, VersionHash};
use bridgevane_types::DurationMs;

/// The time after which a version without endpoints is retired. Endpoints that crash are replaced
/// within seconds, and a record that expired in an outage comes back within two seconds.
pub const RETIRE_AFTER: DurationMs = DurationMs(10_000);
/// The shortest time for which a retired version stays registered.
const MIN_VERSION_MEMORY: DurationMs = DurationMs(60_000);
/// The number of timeouts of its route that a stream lasts at most, with all attempts of its client.
const TIMEOUTS_PER_STREAM: u64 = 4;
/// The first delay after an endpoint of a version didn't accept a connection; it doubles.
const FIRST_CONTACT_DELAY: DurationMs = DurationMs(250);
/// The longest delay between two connections to endpoints of a version that isn't registered.
const MAX_CONTACT_DELAY: DurationMs = DurationMs(8_000);

/// Returns for how long a retired version stays registered.
pub fn version_memory(longest_timeout: DurationMs) -> DurationMs {
    let longest_stream = longest_timeout.0.saturating_mul(TIMEOUTS_PER_STREAM);
    MIN_VERSION_MEMORY.max(DurationMs(longest_stream))
}

/// Returns the delay after so many connections in a row that weren't accepted.
pub fn contact_delay(failures: u32) -> DurationMs {
    let doubled = FIRST_CONTACT_DELAY
        .0
        .checked_shl(failures.saturating_sub(1));
    let delay = DurationMs(doubled.unwrap_or(MAX_CONTACT_DELAY.0));
    delay.clamp(FIRST_CONTACT_DELAY, MAX_CONTACT_DELAY)
}

/// What the daemon that keeps the record knows of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSight {
    /// The version.
    pub version: VersionHash,
    /// For how long no endpoint of it has been known; `None` while one is.
    pub absent_for: Option<DurationMs>,
    /// Whether one of its endpoints accepted a connection.
    pub was_reached: bool,
    /// For how long this daemon has known it as retired.
    pub retired_for: DurationMs,
}

/// Returns the record that replaces `registered`; `None` if that one is right. `sights` has each version
/// that is registered or has endpoints.
pub fn next_record(
    registered: &RegisteredVersions,
    sights: &[VersionSight],
    memory: DurationMs,
) -> Option<RegisteredVersions> {
    let mut next = RegisteredVersions::default();
    for sight in sights {
        let was_active = registered.active.contains(&sight.version);
        let was_retired = registered.retired.contains(&sight.version);
        let is_active = match sight.absent_for {
            None => was_active || sight.was_reached,
            Some(absent_for) => was_active && absent_for < RETIRE_AFTER,
        };
        let is_remembered = was_active || was_retired && sight.retired_for < memory;
        if is_active {
            next.active.push(sight.version);
        } else if is_remembered {
            next.retired.push(sight.version);
        }
    }
    next.active.sort_unstable();
    next.retired.sort_unstable();
    let is_same =
        same(&next.active, &registered.active) && same(&next.retired, &registered.retired);
    (!is_same).then_some(next)
}

/// Returns whether two lists have the same versions; the first one is sorted.
fn same(sorted: &[VersionHash], other: &[VersionHash]) -> bool {
    let mut other = other.to_vec();
    other.sort_unstable();
    other.dedup();
    sorted == other
}

//! Hold: how long a follower's poll is held (a long poll) while there is nothing new to return.
//!
//! Inputs: whether work is in progress that should be reported, and the age of the answering
//! daemon's proof (ms).
//!
//! Rule: `MAX_HOLD`, or `MAX_BUSY_HOLD` while there is work; but not beyond the time at which the
//! proof is so old that followers look for another upstream ([`ProofLimits::leave_from`]).
//!
//! Reason: a held poll is the cheapest way to pass on changes at once. But a follower doesn't look
//! for another upstream while its poll is held: without the limit by the proof's age, followers
//! noticed up to 0.6 s late that the source refused all seeds, and 2 of 20 runs of
//! `follow_tree.rs::a_change_is_in_force_in_time…` were over the bound by up to 0.3 s.
//!
//! Tests: `upstream.rs::a_poll_is_held_…`, `follow_tree.rs`.

use super::proof_limits::ProofLimits;
use bridgevane_types::DurationMs;

/// How long a poll is held when no work is in progress. A proof may be 1.6 s old, and each daemon
/// on the path may hold a poll for this time. Half of it doubles the messages.
const MAX_HOLD: DurationMs = DurationMs(600);
/// The same while the polling daemon's subtree has work in progress, or prompts wait anywhere: the
/// reported queue of an engine may be this stale at each level of the tree.
const MAX_BUSY_HOLD: DurationMs = DurationMs(200);

/// Returns how long a poll is held at most by a daemon whose proof has this age; `None`: it has no
/// proof.
pub fn max_hold(is_busy: bool, proof_age: Option<DurationMs>, limits: ProofLimits) -> DurationMs {
    let longest = if is_busy { MAX_BUSY_HOLD } else { MAX_HOLD };
    let left = proof_age.and_then(|age| limits.leave_from.0.checked_sub(age.0));
    match left {
        Some(left) if left > 0 => longest.min(DurationMs(left)),
        // Followers of such a daemon are already searching; answering at once would only add load.
        _ => longest,
    }
}

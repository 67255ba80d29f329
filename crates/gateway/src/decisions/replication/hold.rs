//! Hold: how long a follower's question is held while there is nothing new to answer.
//!
//! Inputs: whether work is under way that should be reported, and the age of the answering daemon's
//! proof (ms).
//!
//! Rule: `HOLD`, or `BUSY_HOLD` while there is work; but no longer than until the proof is so old that
//! followers look for another upstream ([`ProofLimits::leave_from`]).
//!
//! Reason: a held question is the cheapest way to hear of news at once. But who waits for an answer
//! doesn't look further: while the source turned all seeds away, followers noticed up to 0.6 s late.
//!
//! Measured: `follow_tree.rs::a_change_is_in_force_in_time…`: 2 of 20 runs over the bound by up to 0.3 s
//! without the limit.
//!
//! Tests: `upstream.rs::a_question_is_held_…`, `follow_tree.rs`.

use super::proof_limits::ProofLimits;
use bridgevane_types::DurationMs;

/// How long a question is held when nothing is under way. Not measured by itself (commit 19dad9b),
/// chosen because a proof may be 1.6 s old, and each daemon on the way may hold it so long. Half
/// doubles the messages.
const HOLD: DurationMs = DurationMs(600);
/// The same while the asking daemon's tree has work under way, or prompts wait anywhere. Not measured by
/// itself (commit cf81c29); it is how stale the reported queue of an engine may be at each step of the
/// tree.
const BUSY_HOLD: DurationMs = DurationMs(200);

/// How long a question is held at most, by a daemon whose proof is so old; none: it has no proof.
pub fn hold(is_busy: bool, proof_age: Option<DurationMs>, limits: ProofLimits) -> DurationMs {
    let longest = if is_busy { BUSY_HOLD } else { HOLD };
    let left = proof_age.and_then(|age| limits.leave_from.0.checked_sub(age.0));
    match left {
        Some(left) if left > 0 => longest.min(DurationMs(left)),
        // Followers of such a daemon are looking already; answering at once would only be more to do.
        _ => longest,
    }
}

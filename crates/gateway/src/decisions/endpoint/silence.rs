//! Silence: whether an endpoint that keeps a request waiting is busy or unreachable.
//!
//! Inputs: the request that has waited there the longest beyond the time to read its own prompt,
//! when bytes last arrived from the endpoint for any request, and whether requests there have
//! prompts.
//!
//! Rule: an endpoint is silent if that request has waited longer than allowed and no byte arrived
//! for any request since it was sent.
//!
//! Reason: an endpoint behind a network partition closes no connection; a busy one still sends
//! tokens to other requests, so moving work away from merely busy engines lost more than it gained.
//! In [`super::placement`] the cost of a silent endpoint is so high that others are chosen.
//!
//! Tests: `decisions.rs::an_endpoint_that_keeps_a_request_waiting_in_silence_is_avoided`.

use super::queue_delay::PendingRequest;
use bridgevane_types::TimeMs;

/// The longest allowed silence of a plain endpoint, in milliseconds. Plain requests take 15 to 30
/// ms at the users' sites and are late after 120 to 150 ms.
const MAX_PLAIN_SILENCE_MS: f64 = 120.0;
/// The longest allowed silence of an engine beyond the time to read the prompt, in milliseconds.
/// Half would treat engines that read one long prompt as unreachable; twice keeps sending to a dead
/// one for as long as a first token may take.
const MAX_ENGINE_SILENCE_MS: f64 = 400.0;

/// Returns the longest allowed silence in milliseconds.
pub(crate) fn max_silence_ms(has_prompt: bool) -> f64 {
    if has_prompt {
        MAX_ENGINE_SILENCE_MS
    } else {
        MAX_PLAIN_SILENCE_MS
    }
}

/// Returns whether an endpoint is silent, given when bytes last arrived from it.
pub(crate) fn is_silent(
    now: TimeMs,
    longest_waiting: Option<PendingRequest>,
    last_activity_at: Option<TimeMs>,
    max_silence_ms: f64,
) -> bool {
    longest_waiting.is_some_and(|pending| {
        let was_active =
            last_activity_at.is_some_and(|last_activity_at| last_activity_at > pending.sent_at);
        pending.waited_ms(now) > max_silence_ms && !was_active
    })
}

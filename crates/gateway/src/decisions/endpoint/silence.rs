//! Silence: is an endpoint that lets a request wait busy, or is it gone?
//!
//! Inputs: the request that has waited there the longest beyond the reading of its own prompt, when
//! bytes last came from the endpoint for any request, and whether requests there have prompts.
//!
//! Rule: silent when that request has waited longer than allowed and no byte came for anybody since
//! it was sent.
//!
//! Reason: an endpoint behind a cut closes no connection; a busy one gives others their tokens. A
//! silent endpoint costs so much in [`super::placement`] that others are taken.
//!
//! Measured: commits bfa3ac1 and 1e7c9c9 (cutting merely busy engines: ravaton 0.659 to 0.624; only
//! those that give nobody a token: 0.698; passed over in placement: failed requests of trouble-1
//! 0.066 to 0.057).
//!
//! Tests: `decisions.rs::an_endpoint_that_keeps_a_request_waiting_in_silence_is_passed_over`.

use super::queue_delay::PendingRequest;
use bridgevane_types::TimeMs;

/// How long a plain endpoint may be silent, in milliseconds. Not measured by itself; chosen because
/// plain requests take 15 to 30 ms at the users' sites and are late after 120 to 150 ms.
const MAX_PLAIN_SILENCE_MS: f64 = 120.0;
/// How long an engine may be silent beyond the reading of the prompt, in milliseconds. Not measured
/// by itself. Half would take engines for gone that read one long prompt; twice keeps sending to a
/// dead one for as long as a first token may take.
const MAX_ENGINE_SILENCE_MS: f64 = 400.0;

/// How long an endpoint may be silent, in milliseconds.
pub(crate) fn max_silence_ms(has_prompt: bool) -> f64 {
    if has_prompt {
        MAX_ENGINE_SILENCE_MS
    } else {
        MAX_PLAIN_SILENCE_MS
    }
}

/// Whether an endpoint is silent; `heard_at` is when bytes last came from it.
pub(crate) fn is_silent(
    now: TimeMs,
    longest_waiting: Option<PendingRequest>,
    heard_at: Option<TimeMs>,
    max_silence_ms: f64,
) -> bool {
    longest_waiting.is_some_and(|pending| {
        let was_heard = heard_at.is_some_and(|heard_at| heard_at > pending.sent_at);
        pending.waited_ms(now) > max_silence_ms && !was_heard
    })
}

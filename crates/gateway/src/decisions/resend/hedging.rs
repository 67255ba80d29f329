//! Hedging: when a second endpoint is asked while the first one is silent.
//!
//! Inputs: the route's target (ms), whether it answers with a stream, and whether the endpoint sent
//! bytes for any request since this one was sent.
//!
//! Rule: a second endpoint is asked after a share of the target without an answer, unless the
//! request is for a stream and the engine streams to others: then the engine is busy, not
//! unreachable, and reading the prompt a second time would cost more than it gains. Whether the
//! request may be sent a second time at all is decided by [`super::check`]; if so, the first
//! attempt is abandoned.
//!
//! Reason: hedging first attempts away from engines that were merely busy served requests worse
//! than no hedging, since prompts were read twice. Hedging only away from silent engines was better
//! than that; compared with no hedging, it was better in one fleet and worse in another.
//!
//! Tests: `exchange.rs::plain_requests_are_repeated_only_where_the_route_allows_it` ("is silent"),
//! `resend.rs`.

use bridgevane_types::DurationMs;
use std::time::Duration;

/// The share of the target after which a plain request is hedged; the rest is left for the second
/// endpoint.
const PLAIN_SHARE: f64 = 0.6;
/// The multiple of the target after which a stream is hedged, whose prompt the second endpoint
/// reads again. In a large fleet each daemon receives little from an engine and treats a busy one
/// as silent, so lower values hedge too often. Never hedging would leave streams at an engine whose
/// process hangs.
const STREAM_SHARE: f64 = 3.0;

/// Returns how long an endpoint may be silent before a second one is asked.
pub fn delay(target: DurationMs, is_stream: bool) -> Duration {
    let share = if is_stream { STREAM_SHARE } else { PLAIN_SHARE };
    target.as_std().mul_f64(share)
}

/// Returns whether an endpoint that sent no answer within the delay counts as silent; `was_active`
/// is whether it sent bytes for any request since this one was sent.
pub fn is_silent(is_stream: bool, was_active: bool) -> bool {
    !(is_stream && was_active)
}

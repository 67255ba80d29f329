//! Load shedding: refuse a request now instead of letting it miss its target in a queue.
//!
//! Inputs: the expected queue delay at the best endpoint (ms; [`super::super::endpoint::placement`]
//! computes it, with the prompts that other daemons report), the route's target for the first token
//! (ms), whether the request has the lowest priority of its service, whether it has a prompt, and
//! how often it may have run.
//!
//! Rules:
//! - A request is refused if the delay exceeds `MAX_QUEUE_SHARE` of the target. The answer is 503
//!   `overloaded`, with the excess as the time after which to retry.
//! - Only the lowest priority is shed, since engines let requests of other priorities overtake it
//!   anyway.
//! - A request that may have run isn't shed, since the refusal says that it has not.
//! - The request's own prompt doesn't count, so that long prompts are shed no more often than short
//!   ones.
//! - Plain requests are never shed: their endpoints report themselves when they are full.
//!
//! Tests: `admission.rs::only_the_lowest_priority_is_shed_and_only_while_it_has_not_run`,
//! `decisions.rs::reported_prompts_of_other_daemons_delay_a_request_but_do_not_move_it`.

use bridgevane_types::DurationMs;

/// The share of the target that a request may wait in a queue. With a higher share (0.5) more
/// requests wait and then miss the target; a lower one (0.2) refuses more requests without a gain.
const MAX_QUEUE_SHARE: f64 = 0.3;
/// The shortest time after which a client is asked to retry, in milliseconds: otherwise a queue
/// that is only slightly too long would bring its clients back at once.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// The inputs of load shedding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request's expected wait at the best endpoint before its prompt is read, in milliseconds.
    pub queue_ms: f64,
    /// The route's target for the time to the first token.
    pub target: DurationMs,
    /// Whether no request of its service has a lower priority.
    pub is_lowest_priority: bool,
    /// Whether it has a prompt; plain requests have none.
    pub has_prompt: bool,
    /// The number of attempts that ran or may have run.
    pub runs: u32,
}

/// The decision to shed a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// The longest queue delay that would have been accepted, in milliseconds.
    pub allowed_ms: f64,
    /// The time after which the client may retry.
    pub retry_after: DurationMs,
}

/// Decides whether a request is shed; `None` if it isn't.
pub fn check(request: QueuedRequest) -> Option<Shed> {
    let may_shed = request.has_prompt && request.is_lowest_priority && request.runs == 0;
    let allowed_ms = MAX_QUEUE_SHARE * request.target.0 as f64;
    let excess_ms = request.queue_ms - allowed_ms;
    if !may_shed || excess_ms <= 0.0 {
        return None;
    }
    Some(Shed {
        allowed_ms,
        retry_after: DurationMs((excess_ms as u64).max(MIN_RETRY_AFTER_MS)),
    })
}

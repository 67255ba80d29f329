//! Load shedding: refuse a request now rather than let it miss its target in a queue.
//!
//! Inputs: the expected queue delay at the best endpoint (ms; [`super::super::endpoint::placement`]
//! works it out, with the prompts that other daemons report), the route's target for the first
//! token (ms), whether the request has the lowest priority of its service, whether it has a prompt,
//! and how often it may have run.
//!
//! Rule: refuse when the delay exceeds `MAX_QUEUE_SHARE` of the target. Only the lowest priority is
//! shed, since engines let the others pass it anyway; a request that may have run isn't, since the
//! refusal says that it has not. The request's own prompt doesn't count, so that long prompts are
//! shed no more often than short ones. Plain requests are never shed: their endpoints say
//! themselves when they are full.
//!
//! Verdict: 503 `overloaded` with the excess as the time to come back.
//!
//! Measured: commit 9e57947, docs/BENCHMARKS.md ("lines over 0.3 of the target refused").
//!
//! Tests: `admission.rs::only_the_lowest_priority_is_shed…`,
//! `decisions.rs::work_that_others_told…`.

use bridgevane_types::DurationMs;

/// The part of the target that a request may wait in a queue. Measured in commit 9e57947: 0.8, 0.5,
/// 0.3, 0.2 gave ravaton scale-1 0.69, 0.74, 0.78, 0.80; the other scale days stayed within noise;
/// 0.2 refuses more for the same worth.
const MAX_QUEUE_SHARE: f64 = 0.3;
/// The soonest that a client is asked back, in milliseconds. Not measured, chosen because a queue
/// that is only just too long would otherwise bring its clients back at once.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// What decides on shedding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The expected wait before its prompt is read, at the best endpoint, in milliseconds.
    pub queue_ms: f64,
    /// The time in which its first token is in time.
    pub target: DurationMs,
    /// Whether no request of its service has a lower priority.
    pub is_lowest_priority: bool,
    /// Whether it has a prompt; plain requests have none.
    pub has_prompt: bool,
    /// Attempts that ran, or may have run.
    pub runs: u32,
}

/// The request is shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// The longest queue delay that would have been accepted, in milliseconds.
    pub allowed_ms: f64,
    /// When the client may come back.
    pub retry_after: DurationMs,
}

/// Decides whether a request is shed; none: it goes on.
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

//! The limit of requests that one endpoint names, as its newest answers say.
//!
//! Behind a lock that is taken only while there is a limit, or one is named.

use crate::decisions::eligibility::rate_limit::NamedLimit;
use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A limit that keeps changing is reported once in so long. Not measured, chosen because a line a second
/// shows how it changes, and thousands of endpoints may name one.
const REPORT_INTERVAL: DurationMs = DurationMs(1_000);

/// The limit that is in force.
#[derive(Clone, Copy, Debug)]
struct InForce {
    limit: RequestsPerSecond,
    /// When an answer named it last.
    heard_at: TimeMs,
}

#[derive(Debug, Default)]
struct State {
    in_force: Option<InForce>,
    /// What was reported last, and when.
    reported: Option<(Option<RequestsPerSecond>, TimeMs)>,
}

/// The state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct RateLimitState {
    is_limited: AtomicBool,
    state: Mutex<State>,
}

impl RateLimitState {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Whether the endpoint names a limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// An answer to a request that was sent at `sent_at` names this limit. Gives the limit that is in force
    /// now, where that is to be reported.
    pub(crate) fn on_answer(
        &self,
        now: TimeMs,
        sent_at: TimeMs,
        named: NamedLimit,
    ) -> Option<Option<RequestsPerSecond>> {
        if named == NamedLimit::None && !self.is_limited() {
            return None;
        }
        let mut state = self.state();
        match named {
            NamedLimit::Of(limit) => {
                state.in_force = Some(InForce {
                    limit,
                    heard_at: now,
                });
            }
            // Answers overtake each other: this one may be from before the limit was named.
            NamedLimit::None if state.was_named_after(sent_at) => {}
            NamedLimit::None => state.in_force = None,
            NamedLimit::Unreadable => {}
        }
        self.is_limited
            .store(state.in_force.is_some(), Ordering::Release);
        state.take_report(now)
    }
}

impl State {
    fn was_named_after(&self, at: TimeMs) -> bool {
        self.in_force.is_some_and(|limit| limit.heard_at > at)
    }

    /// The limit in force, if it is another than the one that was reported last, and time for a report.
    fn take_report(&mut self, now: TimeMs) -> Option<Option<RequestsPerSecond>> {
        let limit = self.in_force.map(|in_force| in_force.limit);
        let (reported, at) = self.reported.unwrap_or_default();
        let is_soon = self.reported.is_some() && now.since(at) < REPORT_INTERVAL;
        if limit == reported || is_soon && limit.is_some() {
            return None;
        }
        self.reported = Some((limit, now));
        Some(limit)
    }
}

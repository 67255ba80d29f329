//! The request limit that one endpoint announces in its newest answers, and this daemon's permits.
//!
//! Behind a lock that is taken only while there is a limit, or when one is announced. The rule is
//! [`crate::decisions::eligibility::rate_limit`].

use crate::decisions::eligibility::rate_limit::{
    AnnouncedLimit, END_REPORT_MS, LimitObservation, PacedPermits, daemon_rate,
};
use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The shortest time between two reports of a limit that keeps changing: a log line a second shows
/// how it changes, and thousands of endpoints may announce a limit.
const REPORT_INTERVAL: DurationMs = DurationMs(1_000);

/// The limit that currently applies.
#[derive(Clone, Copy, Debug)]
struct CurrentLimit {
    limit: RequestsPerSecond,
    /// When an answer last announced it.
    announced_at: TimeMs,
    /// The random position of the first permit in its period, from 0 to 1.
    draw: f64,
    /// This daemon's permits; `None` until the number of daemons is known.
    permits: Option<SharedPermits>,
}

/// This daemon's permits, and the number of daemons that share the limit.
#[derive(Clone, Copy, Debug)]
struct SharedPermits {
    daemons: u32,
    permits: PacedPermits,
}

/// The limit as last reported in the log.
#[derive(Clone, Copy, Debug)]
struct LimitReport {
    /// `None`: the limit had ended.
    limit: Option<RequestsPerSecond>,
    at: TimeMs,
}

#[derive(Debug, Default)]
struct State {
    current: Option<CurrentLimit>,
    /// When the request was sent that got the newest answer without a limit, since a limit ended.
    ended_at: Option<TimeMs>,
    reported: Option<LimitReport>,
}

/// The state of one endpoint's limit.
#[derive(Debug, Default)]
pub struct RateLimitState {
    is_limited: AtomicBool,
    /// Whether there is a limit, or its end is still reported to other daemons.
    is_known: AtomicBool,
    state: Mutex<State>,
}

impl RateLimitState {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Returns whether the endpoint announces a limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// Returns whether there is an observation for other daemons.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.load(Ordering::Acquire)
    }

    /// Records the limit announced by an answer to a request that was sent at `sent_at`; `draw` is
    /// a random number from 0 to 1. Returns the limit that now applies, if it is to be reported.
    pub fn on_answer(
        &self,
        now: TimeMs,
        sent_at: TimeMs,
        announced: AnnouncedLimit,
        draw: impl FnOnce() -> f64,
    ) -> Option<Option<RequestsPerSecond>> {
        if announced == AnnouncedLimit::None && !self.is_known() {
            return None;
        }
        self.change(now, |state| match announced {
            AnnouncedLimit::Limit(limit) => state.apply_limit(now, limit, now, draw),
            AnnouncedLimit::None => state.end_limit(sent_at),
            AnnouncedLimit::Unreadable => {}
        })
    }

    /// Records the observation of another daemon. Returns the limit that now applies, if it is to
    /// be reported.
    pub fn on_peer_observation(
        &self,
        now: TimeMs,
        observed: LimitObservation,
        draw: impl FnOnce() -> f64,
    ) -> Option<Option<RequestsPerSecond>> {
        self.change(now, |state| {
            if !observed.supersedes(state.known()) {
                return;
            }
            match observed.limit {
                Some(limit) => state.apply_limit(now, limit, observed.at, draw),
                None => state.end_limit(observed.at),
            }
        })
    }

    /// Returns the observation for other daemons.
    pub fn observation(&self, now: TimeMs) -> Option<LimitObservation> {
        if !self.is_known() {
            return None;
        }
        let mut state = self.state();
        state.forget_old_end(now);
        self.publish(&state);
        state.known()
    }

    fn change(
        &self,
        now: TimeMs,
        change: impl FnOnce(&mut State),
    ) -> Option<Option<RequestsPerSecond>> {
        let mut state = self.state();
        change(&mut state);
        self.publish(&state);
        state.take_report(now)
    }

    fn publish(&self, state: &State) {
        let is_limited = state.current.is_some();
        self.is_limited.store(is_limited, Ordering::Release);
        let is_known = state.known().is_some();
        self.is_known.store(is_known, Ordering::Release);
    }

    /// Returns whether one of `daemons` may send the endpoint a request now.
    pub(crate) fn admits(&self, now: TimeMs, daemons: Option<u32>) -> bool {
        self.with_permits(now, daemons, |permits| permits.is_available(now))
            .unwrap_or(true)
    }

    /// Uses a permit for a request; returns false if another request used it.
    pub(crate) fn try_acquire(&self, now: TimeMs, daemons: Option<u32>) -> bool {
        self.with_permits(now, daemons, |permits| permits.try_acquire(now))
            .unwrap_or(true)
    }

    /// Returns the time until this daemon may send the endpoint a request; `None` if there is no
    /// limit, or the number of daemons isn't known.
    pub(crate) fn wait_time(&self, now: TimeMs, daemons: Option<u32>) -> Option<DurationMs> {
        daemons?;
        self.with_permits(now, daemons, |permits| permits.wait_time(now))
    }

    /// Calls `use_permits` with this daemon's permits; `None` if there is no limit. Without a
    /// number of daemons there are no permits.
    fn with_permits<T: Default>(
        &self,
        now: TimeMs,
        daemons: Option<u32>,
        use_permits: impl FnOnce(&mut PacedPermits) -> T,
    ) -> Option<T> {
        if !self.is_limited() {
            return None;
        }
        let mut state = self.state();
        let current = state.current.as_mut()?;
        let Some(daemons) = daemons else {
            return Some(T::default());
        };
        Some(use_permits(current.permits(now, daemons)))
    }
}

impl CurrentLimit {
    /// Returns the permits when `daemons` share the limit.
    fn permits(&mut self, now: TimeMs, daemons: u32) -> &mut PacedPermits {
        let limit = self.limit;
        let rate = || daemon_rate(limit, daemons);
        let first = || SharedPermits {
            daemons,
            permits: PacedPermits::start(now, rate(), self.draw),
        };
        let shared = self.permits.get_or_insert_with(first);
        if shared.daemons != daemons {
            shared.daemons = daemons;
            shared.permits.set_rate(now, rate());
        }
        &mut shared.permits
    }
}

impl State {
    /// Applies a limit announced at `announced_at`, for the first time or again.
    fn apply_limit(
        &mut self,
        now: TimeMs,
        limit: RequestsPerSecond,
        announced_at: TimeMs,
        draw: impl FnOnce() -> f64,
    ) {
        self.ended_at = None;
        let Some(current) = &mut self.current else {
            self.current = Some(CurrentLimit {
                limit,
                announced_at,
                draw: draw(),
                permits: None,
            });
            return;
        };
        current.announced_at = announced_at;
        if current.limit == limit {
            return;
        }
        current.limit = limit;
        if let Some(shared) = &mut current.permits {
            let rate = daemon_rate(limit, shared.daemons);
            shared.permits.set_rate(now, rate);
        }
    }

    /// Ends the limit by an answer without one to a request that was sent at `sent_at`.
    fn end_limit(&mut self, sent_at: TimeMs) {
        // Answers arrive out of order: this one may be older than the limit.
        if self
            .current
            .is_some_and(|limit| limit.announced_at > sent_at)
        {
            return;
        }
        self.current = None;
        self.ended_at = self.ended_at.max(Some(sent_at));
    }

    fn known(&self) -> Option<LimitObservation> {
        let announced = self.current.map(|current| LimitObservation {
            limit: Some(current.limit),
            at: current.announced_at,
        });
        announced.or(self.ended_at.map(|at| LimitObservation { limit: None, at }))
    }

    fn forget_old_end(&mut self, now: TimeMs) {
        self.ended_at = self.ended_at.filter(|at| now.since(*at) < END_REPORT_MS);
    }

    /// Returns the limit that applies, if it differs from the last report and a report is due.
    fn take_report(&mut self, now: TimeMs) -> Option<Option<RequestsPerSecond>> {
        let limit = self.current.map(|current| current.limit);
        let is_unchanged = limit == self.reported.and_then(|reported| reported.limit);
        let is_soon = self
            .reported
            .is_some_and(|reported| now.since(reported.at) < REPORT_INTERVAL);
        // An end is reported at once.
        if is_unchanged || is_soon && limit.is_some() {
            return None;
        }
        self.reported = Some(LimitReport { limit, at: now });
        Some(limit)
    }
}

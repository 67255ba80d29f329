//! The limit of requests that one endpoint names, as its newest answers say, and this daemon's turns.
//!
//! Behind a lock that is taken only while there is a limit, or one is named. The rule is
//! [`crate::decisions::eligibility::rate_limit`].

use crate::decisions::eligibility::rate_limit::{
    LimitObservation, NamedLimit, TOLD_END_MS, Turns, daemon_rate,
};
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
    /// Where the first turn stands in its period, from 0 to 1.
    draw: f64,
    /// This daemon's turns; none until the number of daemons is known.
    turns: Option<SharedTurns>,
}

/// This daemon's turns, and among how many daemons.
#[derive(Clone, Copy, Debug)]
struct SharedTurns {
    daemons: u32,
    turns: Turns,
}

/// What was reported last.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// None: the limit was over.
    limit: Option<RequestsPerSecond>,
    at: TimeMs,
}

#[derive(Debug, Default)]
struct State {
    in_force: Option<InForce>,
    /// When the newest answer without a limit was asked for, since one ended.
    ended_at: Option<TimeMs>,
    reported: Option<Report>,
}

/// The state of one endpoint.
#[derive(Debug, Default)]
pub struct RateLimitState {
    is_limited: AtomicBool,
    /// Whether there is a limit, or its end is told.
    is_known: AtomicBool,
    state: Mutex<State>,
}

impl RateLimitState {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Whether the endpoint names a limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// Whether there is something to tell other daemons.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.load(Ordering::Acquire)
    }

    /// An answer to a request that was sent at `sent_at` names this limit; `draw` is a random number from 0 to 1.
    /// Gives the limit that is in force now, where that is to be reported.
    pub fn on_answer(
        &self,
        now: TimeMs,
        sent_at: TimeMs,
        named: NamedLimit,
        draw: impl FnOnce() -> f64,
    ) -> Option<Option<RequestsPerSecond>> {
        if named == NamedLimit::None && !self.is_known() {
            return None;
        }
        self.change(now, |state| match named {
            NamedLimit::Of(limit) => state.put_in_force(now, limit, now, draw),
            NamedLimit::None => state.end_by(sent_at),
            NamedLimit::Unreadable => {}
        })
    }

    /// Another daemon tells what it knows; gives the limit that is in force now, where that is to be reported.
    pub fn on_told(
        &self,
        now: TimeMs,
        told: LimitObservation,
        draw: impl FnOnce() -> f64,
    ) -> Option<Option<RequestsPerSecond>> {
        self.change(now, |state| {
            if !told.is_news(state.known()) {
                return;
            }
            match told.limit {
                Some(limit) => state.put_in_force(now, limit, told.at, draw),
                None => state.end_by(told.at),
            }
        })
    }

    /// What other daemons should know.
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
        let is_limited = state.in_force.is_some();
        self.is_limited.store(is_limited, Ordering::Release);
        let is_known = state.known().is_some();
        self.is_known.store(is_known, Ordering::Release);
    }

    /// Whether one of so many daemons may send the endpoint a request now.
    pub(crate) fn admits(&self, now: TimeMs, daemons: Option<u32>) -> bool {
        self.at_turns(now, daemons, |turns| turns.is_open(now))
            .unwrap_or(true)
    }

    /// Uses the turn for a request; false when another request took it.
    pub(crate) fn take(&self, now: TimeMs, daemons: Option<u32>) -> bool {
        self.at_turns(now, daemons, |turns| turns.take(now))
            .unwrap_or(true)
    }

    /// How long it is until this daemon may send the endpoint a request; none: nothing keeps it from that, or it
    /// doesn't know.
    pub(crate) fn wait(&self, now: TimeMs, daemons: Option<u32>) -> Option<DurationMs> {
        daemons?;
        self.at_turns(now, daemons, |turns| turns.wait(now))
    }

    /// Asks this daemon's turns; none: there is no limit. Without a number of daemons there are no turns.
    fn at_turns<T: Default>(
        &self,
        now: TimeMs,
        daemons: Option<u32>,
        ask: impl FnOnce(&mut Turns) -> T,
    ) -> Option<T> {
        if !self.is_limited() {
            return None;
        }
        let mut state = self.state();
        let in_force = state.in_force.as_mut()?;
        let Some(daemons) = daemons else {
            return Some(T::default());
        };
        Some(ask(in_force.turns(now, daemons)))
    }
}

impl InForce {
    /// The turns among so many daemons.
    fn turns(&mut self, now: TimeMs, daemons: u32) -> &mut Turns {
        let limit = self.limit;
        let rate = || daemon_rate(limit, daemons);
        let first = || SharedTurns {
            daemons,
            turns: Turns::begin(now, rate(), self.draw),
        };
        let shared = self.turns.get_or_insert_with(first);
        if shared.daemons != daemons {
            shared.daemons = daemons;
            shared.turns.set_rate(now, rate());
        }
        &mut shared.turns
    }
}

impl State {
    /// A limit is named, for the first time or again; it was heard at `heard_at`.
    fn put_in_force(
        &mut self,
        now: TimeMs,
        limit: RequestsPerSecond,
        heard_at: TimeMs,
        draw: impl FnOnce() -> f64,
    ) {
        self.ended_at = None;
        let Some(in_force) = &mut self.in_force else {
            self.in_force = Some(InForce {
                limit,
                heard_at,
                draw: draw(),
                turns: None,
            });
            return;
        };
        in_force.heard_at = heard_at;
        if in_force.limit == limit {
            return;
        }
        in_force.limit = limit;
        if let Some(shared) = &mut in_force.turns {
            let rate = daemon_rate(limit, shared.daemons);
            shared.turns.set_rate(now, rate);
        }
    }

    /// An answer without a limit came to a request that was sent then.
    fn end_by(&mut self, sent_at: TimeMs) {
        // Answers overtake each other: this one may be from before the limit was named.
        if self.in_force.is_some_and(|limit| limit.heard_at > sent_at) {
            return;
        }
        self.in_force = None;
        self.ended_at = self.ended_at.max(Some(sent_at));
    }

    fn known(&self) -> Option<LimitObservation> {
        let named = self.in_force.map(|in_force| LimitObservation {
            limit: Some(in_force.limit),
            at: in_force.heard_at,
        });
        named.or(self.ended_at.map(|at| LimitObservation { limit: None, at }))
    }

    fn forget_old_end(&mut self, now: TimeMs) {
        self.ended_at = self.ended_at.filter(|at| now.since(*at) < TOLD_END_MS);
    }

    /// The limit in force, if it is another than the one that was reported last, and time for a report.
    fn take_report(&mut self, now: TimeMs) -> Option<Option<RequestsPerSecond>> {
        let limit = self.in_force.map(|in_force| in_force.limit);
        let is_known = limit == self.reported.and_then(|reported| reported.limit);
        let is_soon = self
            .reported
            .is_some_and(|reported| now.since(reported.at) < REPORT_INTERVAL);
        // An end is reported at once.
        if is_known || is_soon && limit.is_some() {
            return None;
        }
        self.reported = Some(Report { limit, at: now });
        Some(limit)
    }
}

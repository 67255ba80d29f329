//! Rate limits: an endpoint in need names how many requests a second it takes from all daemons together.
//!
//! Inputs: the limit that the endpoint's newest answers name, the number of daemons as this one knows it, and a
//! number that is drawn when the daemon first hears of the limit.
//!
//! Rules:
//! - Each daemon gets turns at an even pace, of which the first comes at a drawn moment of its first period. One turn
//!   is one request, whatever it is sent for: a first try, a retry, a hedge or the rest of a stream.
//! - A turn that isn't used within `TURN_LIFE_MS` lapses, so that turns of many daemons don't pile up.
//! - The pace is the largest share of the limit at which the turns of all daemons, added up over any
//!   `WINDOW_MS`, hardly ever exceed what endpoints tolerate: less than once in a million windows if there are as
//!   many daemons as this one knows, once in a hundred thousand if there are twice as many.
//! - At least `MIN_RATE` is planned, so that daemons learn that the limit is over.
//! - A daemon that doesn't know how many there are has no turns.
//! - A limit stands until an answer without it comes to a request that was sent after it was last named. Daemons tell each
//!   other both, and the later observation holds ([`LimitObservation`]): one that has few turns learns from the others
//!   that a limit is over. The end is told for `TOLD_END_MS`.
//!
//! Reason: daemons don't know in time what the others send. Even turns at drawn moments need no agreement, hold for
//! processes that replace each other, and vary less than draws for each request. The endpoint is in need: what
//! it doesn't get goes to other endpoints, while they have room.
//!
//! Alternatives and measurements: docs/design/23-what-endpoints-ask-for.md.
//!
//! Tests: `rate_limit_fleet.rs`, `endpoint_limits.rs`.

use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};

/// The span in which endpoints count what they get, in milliseconds. Source: the platform's rules.
const WINDOW_MS: f64 = 4_000.0;
/// What an endpoint tolerates in one window, as a multiple of its limit. Source: the platform's rules.
const TOLERATED_FACTOR: f64 = 1.5;
/// Requests in one window that it tolerates beyond that. Source: the platform's rules.
const TOLERATED_EXTRA: f64 = 5.0;
/// How long a turn can be used, in milliseconds.
const TURN_LIFE_MS: f64 = 1_000.0;
/// The highest limit that counts as one: no endpoint serves as many, and a higher number is taken for an error.
const MAX_LIMIT: RequestsPerSecond = RequestsPerSecond(1e6);
/// The least limit that is planned for, of all daemons together.
const MIN_RATE: RequestsPerSecond = RequestsPerSecond(0.5);
/// The probability with which the turns of one window may exceed what is tolerated.
const MAX_EXCESS: f64 = 1e-6;
/// The same with twice as many daemons as are known: some join, or are counted late.
const MAX_EXCESS_OF_TWICE_AS_MANY: f64 = 1e-5;
/// How long daemons tell each other that a limit is over. Not measured, chosen because it is longer than a daemon is cut
/// off from the others as a rule.
pub(crate) const TOLD_END_MS: DurationMs = DurationMs(30_000);
/// The planned share of a limit is a multiple of one in so many.
const SHARE_STEPS: u32 = 20;

/// What one answer of an endpoint says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// So many requests a second, from all daemons together.
    Of(RequestsPerSecond),
    /// It names none.
    None,
    /// What it names can't be read, and changes nothing.
    Unreadable,
}

/// A limit that an endpoint or another daemon names, if it is one.
pub(crate) fn checked(limit: RequestsPerSecond) -> Option<RequestsPerSecond> {
    let is_limit = (0.0..=MAX_LIMIT.0).contains(&limit.0);
    is_limit.then_some(limit)
}

/// What is known of an endpoint's limit, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit; none: it names none any more.
    pub limit: Option<RequestsPerSecond>,
    /// When an answer named it, or when an answer without one was asked for: what is said then holds later
    /// than what was heard before.
    pub at: TimeMs,
}

impl LimitObservation {
    /// Whether what another daemon tells goes before what is known here. The same limit told again says nothing
    /// new: its moment is less exact with each daemon that tells it on.
    pub fn is_news(&self, known: Option<Self>) -> bool {
        match known {
            None => self.limit.is_some(),
            Some(known) if known.limit == self.limit => false,
            Some(known) => self.at > known.at,
        }
    }
}

/// The pace of one daemon's turns, where so many share the limit.
pub fn daemon_rate(limit: RequestsPerSecond, daemons: u32) -> RequestsPerSecond {
    let daemons = daemons.max(1);
    let planned = RequestsPerSecond(limit.0.max(MIN_RATE.0));
    let rate_at = |steps: u32| {
        let share = f64::from(steps) / f64::from(SHARE_STEPS);
        RequestsPerSecond(planned.0 * share / f64::from(daemons))
    };
    let holds = |rate: &RequestsPerSecond| {
        excess(limit, *rate, daemons) <= MAX_EXCESS
            && excess(limit, *rate, daemons.saturating_mul(2)) <= MAX_EXCESS_OF_TWICE_AS_MANY
    };
    let mut rates = (1..=SHARE_STEPS).rev().map(rate_at);
    rates.find(holds).unwrap_or(rate_at(1))
}

/// A bound of the probability that so many daemons at this pace exceed in one window what is tolerated.
fn excess(limit: RequestsPerSecond, rate: RequestsPerSecond, daemons: u32) -> f64 {
    let daemons = f64::from(daemons);
    let tolerated = limit.0 * WINDOW_MS / 1_000.0 * TOLERATED_FACTOR + TOLERATED_EXTRA;
    // Turns that come within a turn's life before the window can be used in it.
    let turns = rate.0 * (WINDOW_MS + TURN_LIFE_MS) / 1_000.0;
    // Each daemon has so many turns at least, and with a probability one more.
    let spare = tolerated.floor() + 1.0 - daemons * turns.floor();
    binomial_tail_bound(daemons, turns.fract(), spare)
}

/// A bound of the probability that `least` or more of `trials` succeed, each with this probability (Chernoff).
fn binomial_tail_bound(trials: f64, probability: f64, least: f64) -> f64 {
    let share = least / trials;
    if share <= probability {
        return 1.0;
    }
    if share > 1.0 || probability <= 0.0 {
        return 0.0;
    }
    let failed = 1.0 - share;
    let failures = if failed > 0.0 {
        failed * (failed / (1.0 - probability)).ln()
    } else {
        0.0
    };
    let divergence = share * (share / probability).ln() + failures;
    (-trials * divergence).exp()
}

/// The turns of one daemon at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// When the next turn that was not used begins, in milliseconds.
    next_ms: f64,
    period_ms: f64,
}

impl Turns {
    /// Turns from now on; `draw` is a random number from 0 to 1.
    pub fn begin(now: TimeMs, rate: RequestsPerSecond, draw: f64) -> Self {
        let period_ms = period_ms(rate);
        Self {
            next_ms: now.0 as f64 + draw * period_ms,
            period_ms,
        }
    }

    /// The pace is another from now on.
    pub fn set_rate(&mut self, now: TimeMs, rate: RequestsPerSecond) {
        let period_ms = period_ms(rate);
        let to_come_ms = self.first_unlapsed(now) - now.0 as f64;
        self.next_ms = now.0 as f64 + to_come_ms * period_ms / self.period_ms;
        self.period_ms = period_ms;
    }

    /// Whether a turn can be used.
    pub fn is_open(&self, now: TimeMs) -> bool {
        self.first_unlapsed(now) <= now.0 as f64
    }

    /// Uses a turn, if there is one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        let turn_ms = self.first_unlapsed(now);
        let is_open = turn_ms <= now.0 as f64;
        self.next_ms = if is_open {
            turn_ms + self.period_ms
        } else {
            turn_ms
        };
        is_open
    }

    /// How long it is until a turn can be used.
    pub fn wait(&self, now: TimeMs) -> DurationMs {
        let wait_ms = self.first_unlapsed(now) - now.0 as f64;
        DurationMs(wait_ms.max(0.0).ceil() as u64)
    }

    /// When the first turn begins that has neither been used nor lapsed, in milliseconds.
    fn first_unlapsed(&self, now: TimeMs) -> f64 {
        let oldest_ms = now.0 as f64 - TURN_LIFE_MS;
        let lapsed = ((oldest_ms - self.next_ms) / self.period_ms).ceil();
        self.next_ms + lapsed.max(0.0) * self.period_ms
    }
}

fn period_ms(rate: RequestsPerSecond) -> f64 {
    1_000.0 / rate.0
}

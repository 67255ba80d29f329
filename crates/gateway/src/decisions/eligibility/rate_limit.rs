//! Rate limits: an overloaded endpoint announces how many requests a second it accepts from all
//! daemons together.
//!
//! Inputs: the limit that the endpoint's newest answers announce, the number of daemons as this one
//! knows it, and a random number drawn when the daemon first learns of the limit.
//!
//! Rules:
//! - Each daemon gets permits at an even rate, the first of them at a random moment of its first
//!   period. One permit is one request, whatever its purpose: a first attempt, a retry, a hedge or
//!   the resumption of a stream.
//! - A permit that isn't used within `PERMIT_TTL_MS` expires, so that permits of many daemons don't
//!   accumulate.
//! - The rate is the largest share of the limit at which the permits of all daemons, added up over
//!   any `WINDOW_MS`, hardly ever exceed what endpoints tolerate: less than once in a million
//!   windows if there are as many daemons as this one knows, once in a hundred thousand if there
//!   are twice as many.
//! - At least `MIN_RATE` is planned, so that daemons learn when the limit ends.
//! - A daemon that doesn't know the number of daemons has no permits.
//! - A limit applies until a request that was sent after the limit was last announced gets an
//!   answer without it. Daemons exchange both observations, and the later one applies
//!   ([`LimitObservation`]): a daemon with few permits learns from the others that a limit has
//!   ended. The end is reported for `END_REPORT_MS`.
//!
//! Reason: daemons don't know in time what the others send. Evenly spaced permits with a random
//! start need no coordination, hold for processes that replace each other, and vary less than a
//! random draw for each request. The endpoint is overloaded: the requests it doesn't get go to
//! other endpoints, as long as these have capacity.
//!
//! See docs/design/23-what-endpoints-ask-for.md for alternatives and measurements.
//!
//! Tests: `rate_limit_fleet.rs`, `endpoint_limits.rs`.

use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};

/// The time over which endpoints count requests, in milliseconds, as the platform's rules define
/// it.
const WINDOW_MS: f64 = 4_000.0;
/// The number of requests that an endpoint tolerates in one window, as a multiple of its limit, as
/// the platform's rules define it.
const TOLERATED_FACTOR: f64 = 1.5;
/// The number of requests tolerated in one window beyond that, as the platform's rules define it.
const TOLERATED_EXTRA: f64 = 5.0;
/// How long a permit is valid, in milliseconds.
const PERMIT_TTL_MS: f64 = 1_000.0;
/// The highest valid limit: no endpoint serves as many requests, and a higher number is treated as
/// an error.
const MAX_LIMIT: RequestsPerSecond = RequestsPerSecond(1e6);
/// The lowest rate that is planned for, over all daemons.
const MIN_RATE: RequestsPerSecond = RequestsPerSecond(0.5);
/// The highest accepted probability that the permits of one window exceed what is tolerated.
const MAX_EXCESS: f64 = 1e-6;
/// The highest accepted value of that probability with twice as many daemons as are known: some
/// join, or are counted late.
const MAX_EXCESS_AT_TWICE_THE_DAEMONS: f64 = 1e-5;
/// How long daemons report to each other that a limit has ended: longer than a daemon is usually
/// cut off from the others.
pub(crate) const END_REPORT_MS: DurationMs = DurationMs(30_000);
/// The planned share of a limit is a multiple of `1 / SHARE_STEPS`.
const SHARE_STEPS: u32 = 20;

/// The limit that one answer of an endpoint announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnnouncedLimit {
    /// A limit in requests a second, from all daemons together.
    Limit(RequestsPerSecond),
    /// No limit.
    None,
    /// A limit that can't be parsed, and changes nothing.
    Unreadable,
}

/// Returns a limit that an endpoint or another daemon announced, if it is valid.
pub(crate) fn valid_limit(limit: RequestsPerSecond) -> Option<RequestsPerSecond> {
    let is_limit = (0.0..=MAX_LIMIT.0).contains(&limit.0);
    is_limit.then_some(limit)
}

/// An endpoint's limit, and the time from which it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the endpoint no longer announces one.
    pub limit: Option<RequestsPerSecond>,
    /// When an answer announced the limit, or when the request was sent that got an answer without
    /// one: that answer then overrides everything observed before this time.
    pub at: TimeMs,
}

impl LimitObservation {
    /// Returns whether an observation of another daemon overrides the one known here. The same
    /// limit reported again changes nothing: its time gets less exact with each daemon that passes
    /// it on.
    pub fn supersedes(&self, known: Option<Self>) -> bool {
        match known {
            None => self.limit.is_some(),
            Some(known) if known.limit == self.limit => false,
            Some(known) => self.at > known.at,
        }
    }
}

/// Returns the rate of one daemon's permits if `daemons` share the limit.
pub fn daemon_rate(limit: RequestsPerSecond, daemons: u32) -> RequestsPerSecond {
    let daemons = daemons.max(1);
    let planned = RequestsPerSecond(limit.0.max(MIN_RATE.0));
    let rate_at = |steps: u32| {
        let share = f64::from(steps) / f64::from(SHARE_STEPS);
        RequestsPerSecond(planned.0 * share / f64::from(daemons))
    };
    let is_tolerated = |rate: &RequestsPerSecond| {
        excess_probability(limit, *rate, daemons) <= MAX_EXCESS
            && excess_probability(limit, *rate, daemons.saturating_mul(2))
                <= MAX_EXCESS_AT_TWICE_THE_DAEMONS
    };
    let mut rates = (1..=SHARE_STEPS).rev().map(rate_at);
    rates.find(is_tolerated).unwrap_or(rate_at(1))
}

/// Returns an upper bound of the probability that `daemons` with this rate exceed the tolerated
/// number of requests in one window.
fn excess_probability(limit: RequestsPerSecond, rate: RequestsPerSecond, daemons: u32) -> f64 {
    let daemons = f64::from(daemons);
    let tolerated = limit.0 * WINDOW_MS / 1_000.0 * TOLERATED_FACTOR + TOLERATED_EXTRA;
    // Permits issued within their lifetime before the window can be used in it.
    let permits = rate.0 * (WINDOW_MS + PERMIT_TTL_MS) / 1_000.0;
    // Each daemon has at least `permits.floor()` permits, and one more with the remaining
    // probability.
    let extra_to_exceed = tolerated.floor() + 1.0 - daemons * permits.floor();
    binomial_tail_bound(daemons, permits.fract(), extra_to_exceed)
}

/// Returns an upper bound (Chernoff) of the probability that `least` or more of `trials` succeed,
/// each with `probability`.
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

/// The evenly spaced permits of one daemon at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PacedPermits {
    /// When the next unused permit is issued, in milliseconds.
    next_ms: f64,
    period_ms: f64,
}

impl PacedPermits {
    /// Creates permits that are issued from now on; `draw` is a random number from 0 to 1.
    pub fn start(now: TimeMs, rate: RequestsPerSecond, draw: f64) -> Self {
        let period_ms = period_ms(rate);
        Self {
            next_ms: now.0 as f64 + draw * period_ms,
            period_ms,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, now: TimeMs, rate: RequestsPerSecond) {
        let period_ms = period_ms(rate);
        let remaining_ms = self.first_unexpired(now) - now.0 as f64;
        self.next_ms = now.0 as f64 + remaining_ms * period_ms / self.period_ms;
        self.period_ms = period_ms;
    }

    /// Returns whether a permit is available.
    pub fn is_available(&self, now: TimeMs) -> bool {
        self.first_unexpired(now) <= now.0 as f64
    }

    /// Uses a permit; returns false if none is available.
    pub fn try_acquire(&mut self, now: TimeMs) -> bool {
        let issued_ms = self.first_unexpired(now);
        let is_available = issued_ms <= now.0 as f64;
        self.next_ms = if is_available {
            issued_ms + self.period_ms
        } else {
            issued_ms
        };
        is_available
    }

    /// Returns the time until a permit is available.
    pub fn wait_time(&self, now: TimeMs) -> DurationMs {
        let wait_ms = self.first_unexpired(now) - now.0 as f64;
        DurationMs(wait_ms.max(0.0).ceil() as u64)
    }

    /// Returns when the first permit that is neither used nor expired is issued, in milliseconds.
    fn first_unexpired(&self, now: TimeMs) -> f64 {
        let oldest_ms = now.0 as f64 - PERMIT_TTL_MS;
        let expired = ((oldest_ms - self.next_ms) / self.period_ms).ceil();
        self.next_ms + expired.max(0.0) * self.period_ms
    }
}

fn period_ms(rate: RequestsPerSecond) -> f64 {
    1_000.0 / rate.0
}

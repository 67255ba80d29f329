//! The plan of a run in which workers leave while the store refuses daemons: departures, refusals in series
//! and interruptions of single daemons that overlap them, drawn from a seed.

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Nothing begins before this time, so that all daemons know the workers.
const STARTUP_PERIOD: Duration = Duration::from_millis(4_000);
/// No departure or refusal begins in this time before the end of a run, so that its effects are seen.
const LAST_PERIOD: Duration = Duration::from_millis(7_000);
/// The time between two departures.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long the first refusal of a series lasts, in milliseconds.
const LONG_REFUSAL_MS: RangeInclusive<u64> = 6_000..=9_000;
/// How long the second one lasts, in milliseconds.
const SHORT_REFUSAL_MS: RangeInclusive<u64> = 2_000..=4_000;
/// The time between the refusals of a series, in milliseconds.
const BETWEEN_REFUSALS_MS: RangeInclusive<u64> = 300..=2_500;
/// The time between two series, in milliseconds.
const BETWEEN_SERIES_MS: RangeInclusive<u64> = 1_000..=4_000;
/// The time between two interruptions, in milliseconds.
const BETWEEN_INTERRUPTIONS_MS: RangeInclusive<u64> = 2_000..=6_000;
/// How long a daemon is frozen, in milliseconds.
const FROZEN_MS: RangeInclusive<u64> = 500..=4_000;

/// How a worker leaves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Departure {
    /// Its record is removed.
    #[display("removed")]
    Removed,
    /// Its record says that it drains.
    #[display("draining")]
    Draining,
}

/// How the store refuses daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalKind {
    /// Connections are reset, and new ones are refused.
    #[display("refused")]
    Refused,
    /// Connections are silent.
    #[display("silent")]
    Silent,
}

/// A time in which the store refuses daemons. Times count from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// How daemons are refused.
    pub kind: RefusalKind,
    /// The daemons; at least one of the fleet isn't among them.
    pub daemons: BTreeSet<usize>,
}

/// What happens to one daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Interruption {
    /// It is frozen (SIGSTOP) for this time.
    #[display("frozen for {} ms", _0.as_millis())]
    Frozen(Duration),
    /// It is stopped (SIGTERM), and started again.
    #[display("stopped")]
    Stopped,
}

/// The plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeparturePlan {
    /// The seed.
    pub seed: u64,
    /// When workers leave, and how.
    pub departures: Vec<(Duration, Departure)>,
    /// When the store refuses daemons.
    pub refusals: Vec<Refusal>,
    /// What happens to single daemons: when, and to which.
    pub interruptions: Vec<(Duration, usize, Interruption)>,
}

impl DeparturePlan {
    /// Draws the plan of a seed for a fleet whose first `seed_daemons` daemons are the seeds.
    pub fn draw(seed: u64, duration: Duration, daemons: usize, seed_daemons: usize) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let last = duration.saturating_sub(LAST_PERIOD);
        Self {
            seed,
            departures: departures(last),
            refusals: refusals(&mut random, last, daemons, seed_daemons),
            interruptions: interruptions(&mut random, last, daemons),
        }
    }
}

fn departures(last: Duration) -> Vec<(Duration, Departure)> {
    let mut departures = Vec::new();
    let mut at = STARTUP_PERIOD;
    while at < last {
        let departure = if departures.len() % 3 == 2 {
            Departure::Draining
        } else {
            Departure::Removed
        };
        departures.push((at, departure));
        at += DEPARTURE_INTERVAL;
    }
    departures
}

fn refusals(
    random: &mut Pcg64,
    last: Duration,
    daemons: usize,
    seed_daemons: usize,
) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    let mut at = STARTUP_PERIOD;
    while at < last {
        let kind = if random.random_range(0..2) == 0 {
            RefusalKind::Refused
        } else {
            RefusalKind::Silent
        };
        let refused = refused_daemons(random, daemons, seed_daemons);
        for lasts in [LONG_REFUSAL_MS, SHORT_REFUSAL_MS] {
            let lasts = draw_ms(random, lasts);
            refusals.push(Refusal {
                at,
                lasts,
                kind,
                daemons: refused.clone(),
            });
            at += lasts + draw_ms(random, BETWEEN_REFUSALS_MS);
        }
        at += draw_ms(random, BETWEEN_SERIES_MS);
    }
    refusals
}

/// Returns the seeds, and half of the other daemons in every second draw.
fn refused_daemons(random: &mut Pcg64, daemons: usize, seed_daemons: usize) -> BTreeSet<usize> {
    let has_others = random.random_range(0..2) == 0;
    let others = (seed_daemons..daemons.saturating_sub(1)).filter(|_| has_others);
    let others: Vec<usize> = others.filter(|_| random.random_range(0..2) == 0).collect();
    let seeds = 0..seed_daemons.min(daemons.saturating_sub(1));
    seeds.chain(others).collect()
}

fn interruptions(
    random: &mut Pcg64,
    last: Duration,
    daemons: usize,
) -> Vec<(Duration, usize, Interruption)> {
    let mut interruptions = Vec::new();
    let mut at = STARTUP_PERIOD + draw_ms(random, BETWEEN_INTERRUPTIONS_MS);
    while at < last {
        let interruption = if random.random_range(0..2) == 0 {
            Interruption::Frozen(draw_ms(random, FROZEN_MS))
        } else {
            Interruption::Stopped
        };
        interruptions.push((at, random.random_range(0..daemons), interruption));
        at += draw_ms(random, BETWEEN_INTERRUPTIONS_MS);
    }
    interruptions
}

fn draw_ms(random: &mut Pcg64, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

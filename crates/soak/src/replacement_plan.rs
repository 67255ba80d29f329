//! The plan of a run in which the store comes back from copies while daemons are replaced, drawn from a
//! seed.

use crate::daemon_group::DaemonGroup;
use crate::interruption_plan::{Interruption, draw_interruptions};
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;
use std::time::Duration;

/// No round begins before this time, so that versions are confirmed first.
const STARTUP_PERIOD: Duration = Duration::from_millis(9_000);
/// No round begins in this time before the end of a run, so that the last one ends.
const LAST_PERIOD: Duration = Duration::from_millis(14_000);
/// The time between the beginnings of two rounds, in milliseconds.
const ROUND_MS: RangeInclusive<u64> = 14_000..=17_000;
/// The age of a copy, in milliseconds.
const COPY_AGE_MS: RangeInclusive<u64> = 2_000..=6_000;
/// The time for which the store is away, in milliseconds.
const AWAY_MS: RangeInclusive<u64> = 300..=2_000;
/// The time after a return after which the operator writes again, in milliseconds.
const REWRITE_MS: RangeInclusive<u64> = 300..=6_000;
/// When daemons are replaced, in milliseconds from 1 s before the store goes away.
const REPLACED_MS: RangeInclusive<u64> = 0..=3_000;
/// The time from the beginning of the round to the earliest replacement.
const EARLIEST_REPLACEMENT: Duration = Duration::from_millis(1_000);
/// How long paths to the store are silent before the store goes away, and after its return.
const SILENT_AROUND: Duration = Duration::from_millis(3_000);

/// What every round of a run has in common; the rest is drawn.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedRounds {
    /// The daemons that are replaced.
    pub replaced: Option<DaemonGroup>,
    /// How long after a return the operator writes again.
    pub rewrite_after: Option<Duration>,
    /// Whether the seeds' paths to the store are silent around each return.
    pub has_silent_seeds: bool,
    /// Whether daemons are also stopped, frozen and cut off from the store.
    pub has_interruptions: bool,
    /// Whether the store never comes back from a copy, and no daemon is replaced around a return.
    pub has_no_returns: bool,
}

/// A return from a copy with its troubles. Times count from the start of the run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{:>6} ms  the store comes back from a copy of {} ms, away for {} ms; the operator writes after {} ms; \
     {} replaced at {} ms{}",
    away_from.as_millis(), (*away_from - *copy_at).as_millis(), (*back_at - *away_from).as_millis(),
    (*rewrite_at - *back_at).as_millis(), replaced, replaced_at.as_millis(),
    if *has_silent_seeds { "; the seeds' paths to the store are silent" } else { "" }
)]
pub struct ReplacementRound {
    /// When the copy is made.
    pub copy_at: Duration,
    /// When the store goes away.
    pub away_from: Duration,
    /// When it comes back.
    pub back_at: Duration,
    /// When the operator writes again.
    pub rewrite_at: Duration,
    /// Which daemons are replaced.
    pub replaced: DaemonGroup,
    /// When they are replaced.
    pub replaced_at: Duration,
    /// Whether the seeds' paths to the store are silent around the return.
    pub has_silent_seeds: bool,
}

impl ReplacementRound {
    /// Returns from when to when the seeds' paths are silent.
    pub(crate) fn silent_span(&self) -> (Duration, Duration) {
        let from = self.away_from.saturating_sub(SILENT_AROUND);
        (from, self.back_at + SILENT_AROUND)
    }
}

/// The plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplacementPlan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// The rounds, in order; they don't overlap.
    pub rounds: Vec<ReplacementRound>,
    /// The interruptions, in the order of their beginnings; they may overlap each other and the rounds.
    pub interruptions: Vec<Interruption>,
}

impl ReplacementPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, duration: Duration, daemons: usize, fixed: FixedRounds) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut rounds = Vec::new();
        let mut at = STARTUP_PERIOD;
        while at + LAST_PERIOD <= duration && !fixed.has_no_returns {
            rounds.push(draw_round(&mut random, at, fixed));
            at += draw_ms(&mut random, ROUND_MS);
        }
        let interruptions = if fixed.has_interruptions {
            draw_interruptions(seed, duration, daemons)
        } else {
            Vec::new()
        };
        Self {
            seed,
            rounds,
            interruptions,
        }
    }
}

fn draw_ms(random: &mut Pcg64, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn draw_round(random: &mut Pcg64, away_from: Duration, fixed: FixedRounds) -> ReplacementRound {
    let copy_at = away_from - draw_ms(random, COPY_AGE_MS);
    let back_at = away_from + draw_ms(random, AWAY_MS);
    let rewrite_after = draw_ms(random, REWRITE_MS);
    let replaced = DaemonGroup::EACH[random.random_range(0..DaemonGroup::EACH.len())];
    let replaced_at = away_from - EARLIEST_REPLACEMENT + draw_ms(random, REPLACED_MS);
    let has_silent_seeds = random.random_ratio(2, 10);
    ReplacementRound {
        copy_at,
        away_from,
        back_at,
        rewrite_at: back_at + fixed.rewrite_after.unwrap_or(rewrite_after),
        replaced: fixed.replaced.unwrap_or(replaced),
        replaced_at,
        has_silent_seeds: has_silent_seeds && fixed.replaced.is_none() || fixed.has_silent_seeds,
    }
}

//! The interruptions of a run in which daemons are replaced: signals and failing paths to the store, in
//! series that overlap each other and the returns of the store, drawn from a seed.

use crate::daemon_group::DaemonGroup;
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;
use std::time::Duration;

/// No interruption begins before this time, so that versions are confirmed first.
const STARTUP_PERIOD: Duration = Duration::from_millis(6_000);
/// No interruption begins in this time before the end of a run, so that the last one ends.
const LAST_PERIOD: Duration = Duration::from_millis(9_000);
/// The time between the beginnings of two interruptions, in milliseconds.
const GAP_MS: RangeInclusive<u64> = 300..=4_000;
/// How long an interruption lasts, in milliseconds.
const LASTS_MS: RangeInclusive<u64> = 500..=6_000;
/// Makes the random numbers differ from those of the rounds of the same seed.
const SEED_SALT: u64 = 0x1e7e_44b7;

/// What happens to daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum InterruptionKind {
    /// They are stopped (SIGTERM), and started again when they have ended.
    #[display("stopped")]
    Stopped,
    /// They are frozen (SIGSTOP), and go on (SIGCONT).
    #[display("frozen")]
    Frozen,
    /// Their paths to the store are silent.
    #[display("without an answer of the store")]
    Silent,
    /// Their connections to the store are reset, and new ones are refused.
    #[display("refused by the store")]
    Refused,
}

impl InterruptionKind {
    const EACH: [Self; 4] = [Self::Stopped, Self::Frozen, Self::Silent, Self::Refused];
}

/// An interruption. Times count from the start of the run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {group} of the daemons from {first} on {kind} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct Interruption {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; a stop ends with the process.
    pub lasts: Duration,
    /// What happens.
    pub kind: InterruptionKind,
    /// To which part of the fleet.
    pub group: DaemonGroup,
    /// The daemon from which on positions count.
    pub first: usize,
}

impl Interruption {
    /// Returns the positions of the daemons in a fleet whose first `seeds` daemons are the seeds.
    pub fn daemons(&self, daemons: usize, seeds: usize) -> Vec<usize> {
        let first = match self.group {
            DaemonGroup::Seeds => 0,
            _ => self.first,
        };
        let positions = self.group.daemons(daemons, seeds).into_iter();
        positions.map(|at| (at + first) % daemons).collect()
    }
}

/// Draws the interruptions of a seed, in the order of their beginnings.
pub fn draw_interruptions(seed: u64, duration: Duration, daemons: usize) -> Vec<Interruption> {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_SALT);
    let mut interruptions = Vec::new();
    let mut at = STARTUP_PERIOD;
    while at + LAST_PERIOD <= duration {
        interruptions.push(Interruption {
            at,
            lasts: draw_ms(&mut random, LASTS_MS),
            kind: InterruptionKind::EACH[random.random_range(0..InterruptionKind::EACH.len())],
            group: DaemonGroup::SOME[random.random_range(0..DaemonGroup::SOME.len())],
            first: random.random_range(0..daemons),
        });
        at += draw_ms(&mut random, GAP_MS);
    }
    interruptions
}

fn draw_ms(random: &mut Pcg64, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

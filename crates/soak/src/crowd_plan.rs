//! The plan of a run in which crowds of clients meet daemons: crowds that overlap, and interruptions of single
//! daemons in series, drawn from a seed.

use crate::crowd::Sends;
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The time between the beginnings of two crowds, in milliseconds.
const BETWEEN_CROWDS_MS: RangeInclusive<u64> = 200..=2_000;
/// How long a crowd stays, in milliseconds.
const CROWD_MS: RangeInclusive<u64> = 1_000..=8_000;
/// The number of clients of a crowd.
const CROWD_CLIENTS: RangeInclusive<usize> = 50..=500;
/// The largest number of kinds of a crowd.
const MAX_KINDS: usize = 4;
/// The time between two interruptions, in milliseconds.
const BETWEEN_INTERRUPTIONS_MS: RangeInclusive<u64> = 500..=4_000;
/// How long a daemon is frozen, in milliseconds.
const FROZEN_MS: RangeInclusive<u64> = 200..=3_000;

/// Clients that connect to one daemon. Times count from the start of the run.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{} ms  {clients} clients of each of {kinds:?} at daemon {daemon} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct PlannedCrowd {
    /// When they connect.
    pub at: Duration,
    /// How long they stay.
    pub lasts: Duration,
    /// The daemon.
    pub daemon: usize,
    /// What they send.
    pub kinds: Vec<Sends>,
    /// The number of clients of each kind.
    pub clients: usize,
}

/// What happens to one daemon, or to all.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CrowdInterruption {
    /// It is frozen (SIGSTOP) for this time.
    #[display("frozen for {} ms", _0.as_millis())]
    Frozen(Duration),
    /// It is stopped (SIGTERM), and started again.
    #[display("stopped")]
    Stopped,
    /// It is killed, and started again.
    #[display("killed")]
    Killed,
    /// It gets SIGHUP.
    #[display("reloaded")]
    Reloaded,
    /// All daemons get a configuration with another limit for bodies.
    #[display("reconfigured")]
    Reconfigured,
}

/// The plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrowdPlan {
    /// The seed.
    pub seed: u64,
    /// The crowds.
    pub crowds: Vec<PlannedCrowd>,
    /// What happens to daemons: when, and to which.
    pub interruptions: Vec<(Duration, usize, CrowdInterruption)>,
}

impl CrowdPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, duration: Duration, daemons: usize) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        Self {
            seed,
            crowds: crowds(&mut random, duration, daemons),
            interruptions: interruptions(&mut random, duration, daemons),
        }
    }
}

fn milliseconds(random: &mut Pcg64, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn crowds(random: &mut Pcg64, duration: Duration, daemons: usize) -> Vec<PlannedCrowd> {
    let mut crowds = Vec::new();
    let mut at = milliseconds(random, BETWEEN_CROWDS_MS);
    while at < duration {
        let kinds = (0..random.random_range(1..=MAX_KINDS))
            .map(|_| Sends::ALL[random.random_range(0..Sends::ALL.len())])
            .collect::<Vec<_>>();
        crowds.push(PlannedCrowd {
            at,
            lasts: milliseconds(random, CROWD_MS),
            daemon: random.random_range(0..daemons),
            clients: random.random_range(CROWD_CLIENTS) / kinds.len(),
            kinds,
        });
        at += milliseconds(random, BETWEEN_CROWDS_MS);
    }
    crowds
}

fn interruptions(
    random: &mut Pcg64,
    duration: Duration,
    daemons: usize,
) -> Vec<(Duration, usize, CrowdInterruption)> {
    let mut interruptions = Vec::new();
    let mut at = milliseconds(random, BETWEEN_INTERRUPTIONS_MS);
    while at < duration {
        let interruption = match random.random_range(0..5) {
            0 => CrowdInterruption::Frozen(milliseconds(random, FROZEN_MS)),
            1 => CrowdInterruption::Stopped,
            2 => CrowdInterruption::Killed,
            3 => CrowdInterruption::Reloaded,
            _ => CrowdInterruption::Reconfigured,
        };
        interruptions.push((at, random.random_range(0..daemons), interruption));
        at += milliseconds(random, BETWEEN_INTERRUPTIONS_MS);
    }
    interruptions
}

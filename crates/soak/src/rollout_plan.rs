//! The plan of a run with rollouts: when workers of a new software version replace others, and which
//! daemons are killed, stopped, frozen and cut off around it, drawn from a seed.

use derive_more::{Display, Error};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// The first rollout begins at this time, so that streams of the first version are open.
const FIRST_ROLLOUT: Duration = Duration::from_millis(5_000);
/// No rollout begins in this time before the end of a run, so that clients can take streams up.
const LAST_PERIOD: Duration = Duration::from_millis(12_000);
/// The time between the beginnings of two rollouts, in milliseconds; they may overlap.
const GAP_MS: RangeInclusive<u64> = 2_500..=9_000;
/// How long workers of both versions serve if new ones join first, in milliseconds.
const BOTH_SERVE_MS: RangeInclusive<u64> = 500..=5_000;
/// The same in a row: longer than the notice time after which the new version begins streams.
const ROW_BOTH_SERVE: Duration = Duration::from_millis(5_000);
/// The time from a rollout to a kill of all daemons that belongs to it, in milliseconds.
const KILL_AFTER_MS: RangeInclusive<u64> = 100..=1_000;
/// The number of other disruptions around a rollout.
const DISRUPTIONS: RangeInclusive<usize> = 0..=3;
/// The time for which killed daemons are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// The time for which daemons are down if clients must come to the one that is spared.
const OTHERS_DOWN: Duration = Duration::from_millis(2_500);
/// How long daemons are frozen or cut off, in milliseconds.
const LASTS_MS: RangeInclusive<u64> = 500..=5_000;
/// The longest time from a disruption to its rollout, and from the rollout to a disruption.
const AROUND: Duration = Duration::from_millis(3_000);
/// The time from a rollout to the kill of the other daemons in rows with a daemon that is out of step.
const OUT_OF_STEP: Duration = Duration::from_millis(1_000);
/// How long a daemon that is out of step stays frozen after the others were killed, in milliseconds: take-ups
/// may wait in its socket when it goes on.
const FROZEN_AFTER_KILL_MS: RangeInclusive<u64> = 0..=300;

/// Which part of the workers a rollout replaces.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutShare {
    /// All.
    #[display("all")]
    All,
    /// The older half.
    #[display("half")]
    Half,
}

impl RolloutShare {
    /// Returns the number of replaced workers.
    pub fn of(self, workers: usize) -> usize {
        match self {
            Self::All => workers,
            Self::Half => workers.div_ceil(2),
        }
    }
}

/// How workers are taken out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Leaving {
    /// Their records are removed.
    #[display("without draining")]
    Unannounced,
    /// Their records say that they are draining.
    #[display("draining")]
    Draining,
}

/// A rollout of the next software version. Times count from the start of the run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{:>6} ms  a new version joins; {share} of the old workers leave {} ms later, {leaving}",
    joins_at.as_millis(), (*leaves_at - *joins_at).as_millis()
)]
pub struct Rollout {
    /// When the new workers join.
    pub joins_at: Duration,
    /// When the old ones leave; the same moment if none serve side by side.
    pub leaves_at: Duration,
    /// Which workers are replaced.
    pub share: RolloutShare,
    /// How they leave.
    pub leaving: Leaving,
}

/// From what a daemon is cut off.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CutLinks {
    /// From the store.
    #[display("the store")]
    Store,
    /// From the other daemons.
    #[display("the other daemons")]
    Daemons,
    /// From the store and the other daemons.
    #[display("the store and the other daemons")]
    Both,
}

/// What happens to daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DisruptionKind {
    /// All are killed at once.
    #[display("all daemons killed")]
    AllKilled,
    /// Every second one is killed, from 0 or 1 on.
    #[display("every second daemon killed from {_0} on")]
    HalfKilled(usize),
    /// All but one are killed at once.
    #[display("all daemons but {_0} killed")]
    OthersKilled(usize),
    /// One is stopped (SIGTERM) and started again when it has ended.
    #[display("daemon {_0} stopped")]
    Stopped(usize),
    /// One is frozen (SIGSTOP), and goes on (SIGCONT).
    #[display("daemon {_0} frozen")]
    Frozen(usize),
    /// One is cut off.
    #[display("daemon {_0} cut off from {_1}")]
    CutOff(usize, CutLinks),
}

impl DisruptionKind {
    /// Returns which daemons are killed.
    pub fn killed(self, daemons: usize) -> Vec<usize> {
        match self {
            Self::AllKilled => (0..daemons).collect(),
            Self::HalfKilled(first) => (first..daemons).step_by(2).collect(),
            Self::OthersKilled(spared) => (0..daemons).filter(|at| *at != spared).collect(),
            Self::Stopped(_) | Self::Frozen(_) | Self::CutOff(..) => Vec::new(),
        }
    }
}

/// A disruption. Times count from the start of the run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {kind} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct Disruption {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; a stop ends with the process.
    pub lasts: Duration,
    /// What happens.
    pub kind: DisruptionKind,
}

/// A fixed order of one rollout and its disruptions, in place of drawn ones.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutRow {
    /// A rollout without disruptions.
    #[display("calm")]
    Calm,
    /// All daemons are killed shortly after the old workers have left.
    #[display("killed-after-leaving")]
    KilledAfterLeaving,
    /// Workers are replaced while all daemons are down.
    #[display("killed-while-replaced")]
    KilledWhileReplaced,
    /// All daemons are killed while there is one version.
    #[display("one-version-killed")]
    OneVersionKilled,
    /// Workers are replaced at one moment while a daemon is cut off; the others are killed.
    #[display("out-of-step-cut")]
    OutOfStepCut,
    /// The same with a daemon that is frozen.
    #[display("out-of-step-frozen")]
    OutOfStepFrozen,
}

impl RolloutRow {
    /// Each row.
    pub const EACH: [Self; 6] = [
        Self::Calm,
        Self::KilledAfterLeaving,
        Self::KilledWhileReplaced,
        Self::OneVersionKilled,
        Self::OutOfStepCut,
        Self::OutOfStepFrozen,
    ];
}

/// The text names no row.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "give calm, killed-after-leaving, killed-while-replaced, one-version-killed, out-of-step-cut or \
     out-of-step-frozen"
)]
pub struct UnknownRow;

impl FromStr for RolloutRow {
    type Err = UnknownRow;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::EACH.into_iter().find(|row| row.to_string() == text);
        named.ok_or(UnknownRow)
    }
}

/// The plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// The rollouts, in the order of their beginnings.
    pub rollouts: Vec<Rollout>,
    /// The disruptions; they may overlap each other and the rollouts.
    pub disruptions: Vec<Disruption>,
}

impl RolloutPlan {
    /// Draws the plan of a seed for a fleet whose first `seeds` daemons are the seeds.
    pub fn draw(seed: u64, duration: Duration, daemons: usize, seeds: usize) -> Self {
        let mut plan = PlanBuilder::new(seed, daemons, seeds);
        let mut at = FIRST_ROLLOUT;
        while at + LAST_PERIOD <= duration {
            plan.add_round(at);
            at += plan.draw_ms(GAP_MS);
        }
        plan.finish(seed)
    }

    /// Returns the plan of a row; all workers are replaced, and the seed
    /// fixes the daemon and the times.
    pub fn of_row(row: RolloutRow, seed: u64, daemons: usize, seeds: usize) -> Self {
        let mut plan = PlanBuilder::new(seed, daemons, seeds);
        plan.add_row(row, FIRST_ROLLOUT);
        plan.finish(seed)
    }
}

/// A plan that is being drawn.
#[derive(Debug)]
struct PlanBuilder {
    random: Pcg64,
    daemons: usize,
    seeds: usize,
    rollouts: Vec<Rollout>,
    disruptions: Vec<Disruption>,
}

impl PlanBuilder {
    fn new(seed: u64, daemons: usize, seeds: usize) -> Self {
        Self {
            random: Pcg64::seed_from_u64(seed),
            daemons,
            seeds: seeds.min(daemons),
            rollouts: Vec::new(),
            disruptions: Vec::new(),
        }
    }

    fn finish(mut self, seed: u64) -> RolloutPlan {
        self.disruptions.sort_by_key(|disruption| disruption.at);
        RolloutPlan {
            seed,
            rollouts: self.rollouts,
            disruptions: self.disruptions,
        }
    }

    fn draw_ms(&mut self, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn draw_daemon(&mut self) -> usize {
        self.random.random_range(0..self.daemons)
    }

    /// Draws a daemon whose paths from and to the others are all under control.
    fn draw_seed_daemon(&mut self) -> usize {
        self.random.random_range(0..self.seeds)
    }

    fn replace(&mut self, joins_at: Duration, both_serve: Duration) {
        let share = if self.random.random_ratio(1, 2) {
            RolloutShare::All
        } else {
            RolloutShare::Half
        };
        let leaving = if self.random.random_ratio(1, 4) {
            Leaving::Draining
        } else {
            Leaving::Unannounced
        };
        self.rollouts.push(Rollout {
            joins_at,
            leaves_at: joins_at + both_serve,
            share,
            leaving,
        });
    }

    /// Replaces all workers, whose records are removed.
    fn replace_all(&mut self, joins_at: Duration, both_serve: Duration) {
        self.rollouts.push(Rollout {
            joins_at,
            leaves_at: joins_at + both_serve,
            share: RolloutShare::All,
            leaving: Leaving::Unannounced,
        });
    }

    fn disrupt(&mut self, at: Duration, lasts: Duration, kind: DisruptionKind) {
        self.disruptions.push(Disruption { at, lasts, kind });
    }

    /// Draws a rollout and the disruptions around it.
    fn add_round(&mut self, at: Duration) {
        match self.random.random_range(0..4) {
            0 => {
                let both_serve = self.draw_ms(BOTH_SERVE_MS);
                self.replace(at, both_serve);
            }
            1 => self.replace(at, Duration::ZERO),
            2 => self.add_kill_after_leaving(at),
            _ => self.add_replacement_while_killed(at),
        }
        if self.random.random_ratio(1, 4) {
            let daemon = self.draw_seed_daemon();
            let is_cut_off = self.random.random_ratio(1, 2);
            self.add_daemon_out_of_step(at, daemon, is_cut_off);
        }
        for _ in 0..self.random.random_range(DISRUPTIONS) {
            let from = at.saturating_sub(AROUND);
            let span_ms = 0..=2 * AROUND.as_millis() as u64;
            let disrupted_at = from + self.draw_ms(span_ms);
            self.add_disruption(disrupted_at);
        }
    }

    fn add_kill_after_leaving(&mut self, at: Duration) {
        let both_serve = self.draw_ms(BOTH_SERVE_MS);
        self.replace(at, both_serve);
        let killed_at = at + both_serve + self.draw_ms(KILL_AFTER_MS);
        self.disrupt(killed_at, DOWN, DisruptionKind::AllKilled);
    }

    fn add_replacement_while_killed(&mut self, at: Duration) {
        self.replace(at, Duration::ZERO);
        self.disrupt(at - DOWN / 2, DOWN, DisruptionKind::AllKilled);
    }

    /// Cuts off or freezes a daemon around a rollout, and kills the others.
    fn add_daemon_out_of_step(&mut self, at: Duration, daemon: usize, is_cut_off: bool) {
        if is_cut_off {
            self.cut_off_around(daemon, at);
        } else {
            self.freeze_around(daemon, at);
        }
        let kind = DisruptionKind::OthersKilled(daemon);
        self.disrupt(at + OUT_OF_STEP, OTHERS_DOWN, kind);
    }

    fn cut_off_around(&mut self, daemon: usize, at: Duration) {
        let before = self.draw_ms(100..=500);
        let lasts = before + OUT_OF_STEP + OTHERS_DOWN;
        let kind = DisruptionKind::CutOff(daemon, CutLinks::Both);
        self.disrupt(at - before, lasts, kind);
    }

    fn freeze_around(&mut self, daemon: usize, at: Duration) {
        let before = self.draw_ms(20..=100);
        let after_kill = self.draw_ms(FROZEN_AFTER_KILL_MS);
        let kind = DisruptionKind::Frozen(daemon);
        self.disrupt(at - before, before + OUT_OF_STEP + after_kill, kind);
    }

    fn add_disruption(&mut self, at: Duration) {
        let drawn = self.draw_ms(LASTS_MS);
        let (lasts, kind) = match self.random.random_range(0..6) {
            0 => (DOWN, DisruptionKind::AllKilled),
            1 => (
                DOWN,
                DisruptionKind::HalfKilled(self.random.random_range(0..2)),
            ),
            2 => (Duration::ZERO, DisruptionKind::Stopped(self.draw_daemon())),
            3 => (drawn, DisruptionKind::Frozen(self.draw_daemon())),
            _ => {
                let links = [CutLinks::Store, CutLinks::Daemons, CutLinks::Both];
                let links = links[self.random.random_range(0..links.len())];
                (
                    drawn,
                    DisruptionKind::CutOff(self.draw_seed_daemon(), links),
                )
            }
        };
        self.disrupt(at, lasts, kind);
    }

    fn add_row(&mut self, row: RolloutRow, at: Duration) {
        match row {
            RolloutRow::Calm => {
                let both_serve = self.draw_ms(BOTH_SERVE_MS);
                self.replace_all(at, both_serve);
            }
            RolloutRow::KilledAfterLeaving => {
                self.replace_all(at, ROW_BOTH_SERVE);
                let killed_at = at + ROW_BOTH_SERVE + self.draw_ms(KILL_AFTER_MS);
                self.disrupt(killed_at, DOWN, DisruptionKind::AllKilled);
            }
            RolloutRow::KilledWhileReplaced => {
                self.replace_all(at, Duration::ZERO);
                self.disrupt(at - DOWN / 2, DOWN, DisruptionKind::AllKilled);
            }
            RolloutRow::OneVersionKilled => self.disrupt(at, DOWN, DisruptionKind::AllKilled),
            RolloutRow::OutOfStepCut | RolloutRow::OutOfStepFrozen => {
                self.replace_all(at, Duration::ZERO);
                let daemon = self.draw_seed_daemon();
                let is_cut_off = row == RolloutRow::OutOfStepCut;
                self.add_daemon_out_of_step(at, daemon, is_cut_off);
            }
        }
    }
}

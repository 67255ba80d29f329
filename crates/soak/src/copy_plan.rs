//! The plan of a run in which the store comes back from copies, drawn from a seed.

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// The number of data centres; daemons are spread over them in turn.
pub const DATA_CENTRES: usize = 4;
/// No round begins before this time, so that the first windows are submitted.
const STARTUP_PERIOD: Duration = Duration::from_millis(6_000);
/// No round begins in this time before the end of the calls, so that the windows of the last one end.
const LAST_PERIOD: Duration = Duration::from_millis(11_000);
/// The age of a copy, in milliseconds.
const COPY_AGE_MS: std::ops::RangeInclusive<u64> = 1_000..=8_000;
/// The time for which the store is away, in milliseconds.
const AWAY_MS: std::ops::RangeInclusive<u64> = 0..=4_000;
/// The time in which the fleet settles after a round, in milliseconds.
const SETTLE_MS: std::ops::Range<u64> = 6_000..10_000;
/// The time between two rounds of a series, in milliseconds.
const SERIES_MS: std::ops::Range<u64> = 500..3_000;
/// The duration of a trouble, in milliseconds.
const TROUBLE_MS: std::ops::Range<u64> = 300..4_000;
/// The duration in which writes and calls are unanswered, in milliseconds.
const UNANSWERED_MS: std::ops::Range<u64> = 300..1_500;

/// The store is away and comes back from a copy. Times count from the start of the calls.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{:>6} ms  the store comes back from a copy of {} ms, away for {} ms ({})",
    away_from.as_millis(), (*away_from - *copy_at).as_millis(), (*back_at - *away_from).as_millis(),
    if *is_silent { "silent" } else { "closed" }
)]
pub struct StoreReturn {
    /// When the copy is made.
    pub copy_at: Duration,
    /// When the store goes away.
    pub away_from: Duration,
    /// When it comes back.
    pub back_at: Duration,
    /// Whether it is silent while it is away, or closes connections.
    pub is_silent: bool,
}

/// The daemon that a trouble strikes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Target {
    /// The holder of the duties.
    #[display("the holder")]
    Holder,
    /// A daemon, whatever it does.
    #[display("daemon {_0}")]
    Daemon(usize),
}

/// A trouble beside returns.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trouble {
    /// A daemon is killed, and started again later.
    #[display("{_0} is killed")]
    Kill(Target),
    /// A daemon is stopped as planned, and started again later.
    #[display("{_0} is stopped")]
    Stop(Target),
    /// A daemon is suspended.
    #[display("{_0} is paused")]
    Pause(Target),
    /// A daemon doesn't reach the store; its calls are silent.
    #[display("{_0} is cut off from the store")]
    CutStore(Target),
    /// The store answers no writes, and carries them out later.
    #[display("writes are late")]
    LateWrites,
    /// Calls of duties are taken, but not answered.
    #[display("duty calls aren't answered")]
    UnansweredCalls,
    /// All leases end early.
    #[display("leases end")]
    EndLeases,
}

impl Trouble {
    /// Returns the daemon that is lost for the trouble's duration, if any.
    pub fn target(self) -> Option<Target> {
        match self {
            Self::Kill(target)
            | Self::Stop(target)
            | Self::Pause(target)
            | Self::CutStore(target) => Some(target),
            Self::LateWrites | Self::UnansweredCalls | Self::EndLeases => None,
        }
    }
}

/// A trouble with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {trouble} ({} ms)", at.as_millis(), lasts.as_millis())]
pub struct TroubleEvent {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// How long it lasts; for a killed or stopped daemon, until it is started again.
    pub lasts: Duration,
    /// The trouble.
    pub trouble: Trouble,
}

/// The plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyPlan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// The returns from copies.
    pub returns: Vec<StoreReturn>,
    /// The troubles, some of which overlap returns.
    pub troubles: Vec<TroubleEvent>,
}

impl CopyPlan {
    /// Draws the plan of a seed: rounds with a return, with troubles, or with both.
    pub fn draw(seed: u64, daemons: usize, duration: Duration) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut plan = Self {
            seed,
            ..Self::default()
        };
        let mut at = STARTUP_PERIOD;
        while at + LAST_PERIOD <= duration {
            at = plan.draw_round(&mut random, daemons, at);
            let is_series = random.random_ratio(3, 10);
            let pause_ms = if is_series { SERIES_MS } else { SETTLE_MS };
            at += Duration::from_millis(random.random_range(pause_ms));
        }
        plan
    }

    /// Draws one round and returns when its return, or its first trouble, is over.
    fn draw_round(&mut self, random: &mut Pcg64, daemons: usize, at: Duration) -> Duration {
        let kind = random.random_range(0..10);
        let (has_return, has_trouble) = (kind < 8, kind >= 4);
        let away = if has_return {
            Duration::from_millis(random.random_range(AWAY_MS))
        } else {
            Duration::ZERO
        };
        if has_return {
            let age = Duration::from_millis(random.random_range(COPY_AGE_MS));
            self.returns.push(StoreReturn {
                copy_at: at.saturating_sub(age),
                away_from: at,
                back_at: at + away,
                is_silent: random.random_bool(0.5),
            });
        }
        if has_trouble {
            for _ in 0..random.random_range(1..=2) {
                self.troubles
                    .push(draw_trouble(random, daemons, at, at + away));
            }
        }
        at + away
    }
}

/// Draws a trouble that begins up to 2 s before a return, in it, or up to 3 s after it.
fn draw_trouble(random: &mut Pcg64, daemons: usize, from: Duration, to: Duration) -> TroubleEvent {
    let any = Target::Daemon(random.random_range(0..daemons));
    let trouble = match random.random_range(0..10) {
        0 | 1 => Trouble::Kill(Target::Holder),
        2 => Trouble::Stop(Target::Holder),
        3 => Trouble::Pause(Target::Holder),
        4 => Trouble::CutStore(Target::Holder),
        5 if random.random_bool(0.5) => Trouble::Kill(any),
        5 => Trouble::Stop(any),
        6 => Trouble::CutStore(any),
        7 => Trouble::LateWrites,
        8 => Trouble::UnansweredCalls,
        _ => Trouble::EndLeases,
    };
    let earliest = from
        .saturating_sub(Duration::from_millis(2_000))
        .as_millis() as u64;
    let latest = (to + Duration::from_millis(3_000)).as_millis() as u64;
    let lasts_ms = if trouble.target().is_some() {
        TROUBLE_MS
    } else {
        UNANSWERED_MS
    };
    TroubleEvent {
        at: Duration::from_millis(random.random_range(earliest..latest)),
        lasts: Duration::from_millis(random.random_range(lasts_ms)),
        trouble,
    }
}

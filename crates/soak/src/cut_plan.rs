//! The plan of a run in which daemons are cut off from workers, drawn from a seed.

use crate::cut_path::PathState;
use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// The number of data centres; daemons are spread over them in turn.
pub const DATA_CENTRES: usize = 3;
/// No cut begins before this time, so that all processes can start.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);

/// Which daemons a cut strikes.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum CutTarget {
    /// All daemons of a data centre.
    #[display("data centre {_0}")]
    DataCentre(usize),
    /// All daemons but this many, from a position on.
    #[display("all but {count} from {from}")]
    AllBut {
        /// The number of daemons that are spared.
        count: usize,
        /// The first of them.
        from: usize,
    },
    /// One daemon.
    #[display("daemon {_0}")]
    One(usize),
}

impl CutTarget {
    /// Returns whether it strikes one of so many daemons.
    pub fn strikes(self, daemon: usize, daemons: usize) -> bool {
        match self {
            Self::DataCentre(data_centre) => daemon % DATA_CENTRES == data_centre,
            Self::AllBut { count, from } => (daemon + daemons - from) % daemons >= count,
            Self::One(only) => daemon == only,
        }
    }
}

/// A cut of daemons from all workers.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:>6} ms  {target} cut off ({state}) for {} ms", at.as_millis(), lasts.as_millis())]
pub struct Cut {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The daemons.
    pub target: CutTarget,
    /// What happens to connections.
    pub state: PathState,
}

/// What strikes a daemon beside the cuts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Strike {
    /// It is killed and started again.
    #[display("kill")]
    Kill,
    /// It is stopped as planned and started again.
    #[display("stop")]
    Stop,
    /// It is suspended for a while.
    #[display("pause")]
    Pause,
}

/// A strike with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {strike} daemon {daemon} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct StrikeEvent {
    /// When it begins.
    pub at: Duration,
    /// How long a pause lasts.
    pub lasts: Duration,
    /// The daemon.
    pub daemon: usize,
    /// The strike.
    pub strike: Strike,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct CutPlan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// Long cuts, one after the other, and series of short ones between them.
    pub cuts: Vec<Cut>,
    /// Strikes, which overlap them.
    pub strikes: Vec<StrikeEvent>,
}

impl CutPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, daemons: usize, duration: Duration) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut cuts = Vec::new();
        let mut at = STARTUP_PERIOD;
        loop {
            let lasts = Duration::from_millis(random.random_range(5_500..8_000));
            if at + lasts > duration {
                break;
            }
            cuts.push(draw_cut(&mut random, daemons, at, lasts));
            at += lasts + Duration::from_millis(500);
            for _ in 0..random.random_range(0..3) {
                let lasts = Duration::from_millis(random.random_range(300..1_200));
                cuts.push(draw_cut(&mut random, daemons, at, lasts));
                at += lasts + Duration::from_millis(random.random_range(200..1_000));
            }
        }
        let strikes = (0..daemons.div_ceil(4)).map(|_| StrikeEvent {
            at: Duration::from_millis(random.random_range(1_000..duration.as_millis() as u64)),
            lasts: Duration::from_millis(random.random_range(300..2_500)),
            daemon: random.random_range(0..daemons),
            strike: [Strike::Kill, Strike::Stop, Strike::Pause][random.random_range(0..3)],
        });
        let strikes = strikes.collect();
        Self {
            seed,
            cuts,
            strikes,
        }
    }
}

fn draw_cut(random: &mut Pcg64, daemons: usize, at: Duration, lasts: Duration) -> Cut {
    let from = random.random_range(0..daemons);
    let target = match random.random_range(0..4) {
        0 => CutTarget::One(from),
        1 => CutTarget::DataCentre(random.random_range(0..DATA_CENTRES)),
        2 => CutTarget::AllBut {
            count: daemons.div_ceil(2),
            from,
        },
        _ => CutTarget::AllBut {
            count: daemons.div_ceil(8),
            from,
        },
    };
    let states = [PathState::Silent, PathState::Reset, PathState::Refusing];
    Cut {
        at,
        lasts,
        target,
        state: states[random.random_range(0..states.len())],
    }
}

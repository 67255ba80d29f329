//! Parts of a fleet that an event strikes.

use derive_more::{Display, Error};
use std::str::FromStr;

/// A part of the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DaemonGroup {
    /// None.
    #[display("none")]
    None,
    /// One daemon that isn't a seed.
    #[display("one")]
    One,
    /// Every second daemon.
    #[display("half")]
    Half,
    /// The seeds.
    #[display("seeds")]
    Seeds,
    /// All but the last two.
    #[display("all-but-two")]
    AllButTwo,
    /// All daemons.
    #[display("all")]
    All,
}

impl DaemonGroup {
    /// Each group.
    pub(crate) const EACH: [Self; 6] = [
        Self::None,
        Self::One,
        Self::Half,
        Self::Seeds,
        Self::AllButTwo,
        Self::All,
    ];

    /// Each group with a daemon.
    pub(crate) const SOME: [Self; 5] = [
        Self::One,
        Self::Half,
        Self::Seeds,
        Self::AllButTwo,
        Self::All,
    ];

    /// Returns the positions of its daemons in a fleet whose first `seeds` daemons are the seeds.
    pub fn daemons(self, daemons: usize, seeds: usize) -> Vec<usize> {
        match self {
            Self::None => Vec::new(),
            Self::One => vec![daemons - 1],
            Self::Half => (0..daemons).step_by(2).collect(),
            Self::Seeds => (0..seeds.min(daemons)).collect(),
            Self::AllButTwo => (0..daemons.saturating_sub(2)).collect(),
            Self::All => (0..daemons).collect(),
        }
    }
}

/// The text names no group of daemons.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("give none, one, half, seeds, all-but-two or all")]
pub struct UnknownGroup;

impl FromStr for DaemonGroup {
    type Err = UnknownGroup;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::EACH
            .into_iter()
            .find(|group| group.to_string() == text);
        named.ok_or(UnknownGroup)
    }
}

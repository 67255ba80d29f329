//! Moments and durations in milliseconds, passed into the pure decisions.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub, Sum};
use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    FromStr,
    Into,
    Add,
    AddAssign,
    Sub,
    Sum,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct DurationMs(pub u64);

impl DurationMs {
    /// The duration as a standard one.
    pub fn as_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// Whole seconds, rounded up and at least one: the unit of `Retry-After`.
    pub fn as_retry_after_s(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}

/// A moment: milliseconds since the process's own origin. It never runs backwards.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    FromStr,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The time that passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: TimeMs) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<DurationMs> for TimeMs {
    type Output = TimeMs;

    fn add(self, duration: DurationMs) -> TimeMs {
        TimeMs(self.0.saturating_add(duration.0))
    }
}

/// A moment of the wall clock: milliseconds since the beginning of 1970.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    FromStr,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct WallTimeMs(pub u64);

impl WallTimeMs {
    /// The time that passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: WallTimeMs) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<DurationMs> for WallTimeMs {
    type Output = WallTimeMs;

    fn add(self, duration: DurationMs) -> WallTimeMs {
        WallTimeMs(self.0.saturating_add(duration.0))
    }
}

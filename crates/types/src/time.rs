//! Points in time and durations in milliseconds, which are passed to the pure decision code.

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
    /// Converts to a standard duration.
    pub fn as_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// Converts to whole seconds for `Retry-After`, rounded up and at least 1.
    pub fn as_retry_after_s(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}

/// A point in time in milliseconds since an origin chosen by the process. It never decreases.
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
    /// Returns the time since `earlier`, or zero if `earlier` is later.
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

/// A wall-clock time in milliseconds since the Unix epoch.
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
    /// Returns the time since `earlier`, or zero if `earlier` is later.
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

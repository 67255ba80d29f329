//! Settings of the call budget.

use bridgevane_types::{CallsPerSecond, DurationMs};

/// What one node may ask of the outside service.
#[derive(Clone, Debug, PartialEq)]
pub struct CallBudgetConfig {
    /// Reads a second; a watch counts as one.
    pub reads: CallsPerSecond,
    /// Writes a second.
    pub writes: CallsPerSecond,
    /// Calls that may be saved up.
    pub burst: f64,
    /// First pause after a failure.
    pub first_pause_ms: DurationMs,
    /// Longest pause after failures.
    pub max_pause_ms: DurationMs,
}

/// Not measured; it doubles, so that an outage costs few calls (docs/design/11).
const FIRST_PAUSE: DurationMs = DurationMs(500);
/// Not measured, chosen because a service that is back should be noticed within a quarter of a
/// minute.
const MAX_PAUSE: DurationMs = DurationMs(15_000);

impl Default for CallBudgetConfig {
    fn default() -> Self {
        Self {
            reads: CallsPerSecond(1.0),
            writes: CallsPerSecond(0.1),
            burst: 2.0,
            first_pause_ms: FIRST_PAUSE,
            max_pause_ms: MAX_PAUSE,
        }
    }
}

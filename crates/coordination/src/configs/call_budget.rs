//! Settings of the call budget.

use bridgevane_types::{CallsPerSecond, DurationMs};

/// Limits on the calls of one node to the external service.
#[derive(Clone, Debug, PartialEq)]
pub struct CallBudgetConfig {
    /// Reads per second; a watch counts as one read.
    pub reads: CallsPerSecond,
    /// Writes per second.
    pub writes: CallsPerSecond,
    /// Capacity of the token bucket of each kind of call.
    pub burst: f64,
    /// Upper bound of the random pause after the first failure.
    pub first_pause_ms: DurationMs,
    /// Upper bound of the random pause after repeated failures.
    pub max_pause_ms: DurationMs,
}

/// Doubled with each failure in a row, so that an outage costs few calls. See docs/design/11.
const FIRST_PAUSE: DurationMs = DurationMs(500);
/// Short enough to notice within 15 s that the service is available again.
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

//! Faults that tests and the demo switch on with a call to a stand-in's `/standin/fault`.

use bridgevane_types::DurationMs;
use serde::{Deserialize, Serialize};

/// The faults of a stand-in; the default is no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinFault {
    /// Every call is refused as if the service were down.
    pub is_down: bool,
    /// The delay of every answer.
    pub delay_ms: DurationMs,
    /// The number of next writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// The number of next calls that are refused as above the rate.
    pub refuse_by_rate: u32,
    /// Engine: the factor by which every step takes longer; 0 means no slowdown.
    pub slowdown: f64,
    /// Engine: all streams break at once, and calls are refused while this is set.
    pub crash: bool,
    /// Engine: the next stream breaks at this token offset.
    pub cut_after_tokens: Option<u64>,
    /// Engine: the number of next streams that repeat their first token.
    pub duplicate_pieces: u32,
    /// Engine: the number of next streams that begin with a piece of another request.
    pub cross_pieces: u32,
    /// Engine: the number of next streams that swap their first two pieces.
    pub swap_pieces: u32,
    /// Engine: the age of load reports.
    pub load_lag_ms: DurationMs,
    /// Engine: the number of next cache events that are lost.
    pub lose_cache_events: u32,
}

impl StandinFault {
    /// Decrements a counter of next calls; returns whether it was above 0.
    pub(crate) fn consume_one(counter: &mut u32) -> bool {
        let was_positive = *counter > 0;
        *counter = counter.saturating_sub(1);
        was_positive
    }
}

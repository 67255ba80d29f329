//! Faults that tests and the demo switch on, by a call to a stand-in's `/standin/fault`.

use bridgevane_types::DurationMs;
use serde::{Deserialize, Serialize};

/// What is wrong with a stand-in. The default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call is refused as if the service were away.
    pub is_down: bool,
    /// Every answer waits this long.
    pub delay_ms: DurationMs,
    /// This many next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// This many next calls are refused by rate.
    pub refuse_by_rate: u32,
    /// Engine: every step takes this many times as long; 0 means as usual.
    pub slowdown: f64,
    /// Engine: all streams break now.
    pub crash: bool,
    /// Engine: the next stream breaks after this many tokens.
    pub cut_after_tokens: Option<u64>,
    /// Engine: this many next streams repeat their first token.
    pub duplicate_pieces: u32,
    /// Engine: this many next streams begin with a piece of another request.
    pub cross_pieces: u32,
    /// Engine: this many next streams swap their first two tokens.
    pub swap_pieces: u32,
    /// Engine: load reports are this old.
    pub load_lag_ms: DurationMs,
    /// Engine: this many next cache events get lost.
    pub lose_cache_events: u32,
}

impl Fault {
    /// Takes one from a counter of next calls.
    pub(crate) fn take_one(counter: &mut u32) -> bool {
        let is_due = *counter > 0;
        *counter = counter.saturating_sub(1);
        is_due
    }
}

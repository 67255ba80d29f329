//! The context that is passed to every decision.

use crate::configs::Settings;
use crate::decision_log::{Decision, DecisionLog, DecisionRecord};
use crate::effect::Effect;
use bridgevane_types::TimeMs;

/// The current time, the settings, and the sinks for effects and decisions.
pub struct PoolContext<'a, L: DecisionLog> {
    /// The current time.
    pub now: TimeMs,
    /// The settings of all modules.
    pub settings: &'a Settings,
    /// The effects to carry out, in order.
    pub effects: &'a mut Vec<Effect>,
    /// The log of decisions.
    pub log: &'a mut L,
}

impl<L: DecisionLog> PoolContext<'_, L> {
    pub(crate) fn record(&mut self, decision: Decision) {
        self.log.record(DecisionRecord {
            at: self.now,
            decision,
        });
    }
}

//! What is handed down to every decision.

use crate::configs::Settings;
use crate::decision_log::{Decision, DecisionLog, DecisionRecord};
use crate::effect::Effect;
use bridgevane_types::TimeMs;

/// The moment, the settings, and where effects and decisions go.
pub struct PoolContext<'a, L: DecisionLog> {
    /// Now.
    pub now: TimeMs,
    /// Settings of all modules.
    pub settings: &'a Settings,
    /// Effects, in order.
    pub effects: &'a mut Vec<Effect>,
    /// Decisions, in order.
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

//! A pool of engines with equal slots, whose decisions a test makes one by one.

#[path = "../../benches/support/sized_policy.rs"]
mod sized_policy;

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{Effect, NoLog, Pool, PoolContext};
use bridgevane_types::TimeMs;
use sized_policy::policy;

pub struct TestPool {
    pub pool: Pool,
    pub settings: Settings,
    pub now: TimeMs,
}

impl TestPool {
    pub fn new(engines: u32, slots: u32) -> Self {
        let settings = Settings::default();
        Self {
            pool: Pool::new(policy(engines, slots), &settings, 1),
            settings,
            now: TimeMs(1_000_000),
        }
    }

    pub fn decide(
        &mut self,
        decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, NoLog>),
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut context = PoolContext {
            now: self.now,
            settings: &self.settings,
            effects: &mut effects,
            log: &mut NoLog,
        };
        decide(&mut self.pool, &mut context);
        effects
    }
}

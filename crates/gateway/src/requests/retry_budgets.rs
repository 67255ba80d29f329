//! Retry budgets of all services: this daemon's requests and retries, behind a lock.
//!
//! The rule is [`crate::decisions::resend::retry_budget`]. Lost with the process: the rule holds over
//! all lives of a daemon without it.

use crate::decisions::resend::retry_budget::{
    self, FleetBudget, RetryDecision, RetryHistory, RetryRounding,
};
use crate::settings::GatewaySettings;
use bridgevane_types::{ServiceName, TimeMs};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// Stands for an unknown number of parts: a known one is never 0, from the rule's minimum.
const UNKNOWN_PARTS: u32 = 0;

/// Budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    fleet_budget: FleetBudget,
    /// Parts that the slack is divided into.
    parts: AtomicU32,
    slack_from: TimeMs,
    rounding: RetryRounding,
    histories: Mutex<HashMap<ServiceName, RetryHistory>>,
}

impl RetryBudgets {
    /// The budgets of a daemon that starts now.
    pub fn new(now: TimeMs, settings: &GatewaySettings, rounding: RetryRounding) -> Self {
        let follows_others = settings.peer_address.is_some() && !settings.seed_addresses.is_empty();
        let window = settings.retry_window_ms;
        Self {
            fleet_budget: FleetBudget {
                ratio: settings.retry_ratio,
                slack: settings.retry_slack,
                window,
            },
            parts: AtomicU32::new(if follows_others {
                UNKNOWN_PARTS
            } else {
                retry_budget::MIN_PARTS
            }),
            slack_from: if follows_others { now + window } else { now },
            rounding,
            histories: Mutex::default(),
        }
    }

    /// There are at most so many daemons.
    pub fn share_among(&self, daemons: u32) {
        let parts = retry_budget::parts(daemons);
        self.parts.store(parts, Ordering::Relaxed);
    }

    /// Works on the history of a service; only the first call for it copies its name.
    fn with_history<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryHistory) -> T,
    ) -> T {
        let mut histories = self.histories.lock().expect("no panic under this lock");
        match histories.get_mut(service) {
            Some(history) => work(history),
            None => work(histories.entry(service.clone()).or_default()),
        }
    }

    /// A request for a service came in.
    pub fn on_request(&self, now: TimeMs, service: &ServiceName) {
        let window = self.fleet_budget.window;
        self.with_history(service, |history| history.on_request(now, window));
    }

    /// Takes one retry, if one is left.
    pub fn take(&self, now: TimeMs, service: &ServiceName) -> RetryDecision {
        let budget = &self.fleet_budget;
        let parts = self.parts.load(Ordering::Relaxed);
        let parts = (parts != UNKNOWN_PARTS).then_some(parts);
        let slack_share = retry_budget::slack_share(budget, parts, now, self.slack_from);
        self.with_history(service, |history| {
            history.take(now, budget, slack_share, self.rounding)
        })
    }
}

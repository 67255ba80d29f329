//! The retry budgets of all services: this daemon's recent requests and retries, behind a lock.
//!
//! The rule is [`crate::decisions::resend::retry_budget`]. The state is lost with the process; the
//! rule's bound holds across restarts of a daemon nevertheless.

use crate::decisions::resend::retry_budget::{
    self, FleetBudget, RetryDecision, RetryHistory, RetryRounding,
};
use crate::settings::GatewaySettings;
use bridgevane_types::{ServiceName, TimeMs};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// The value for an unknown number of parts; a known one is at least the rule's minimum, above 0.
const UNKNOWN_PARTS: u32 = 0;

/// The retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    fleet_budget: FleetBudget,
    /// The number of parts that the slack is divided into.
    parts: AtomicU32,
    /// The moment from which this daemon uses its share of the slack.
    slack_from: TimeMs,
    rounding: RetryRounding,
    histories: Mutex<HashMap<ServiceName, RetryHistory>>,
}

impl RetryBudgets {
    /// Creates the budgets of a daemon that starts now.
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

    /// Shares the slack among at most this many daemons.
    pub fn set_daemon_count(&self, daemons: u32) {
        let parts = retry_budget::parts(daemons);
        self.parts.store(parts, Ordering::Relaxed);
    }

    /// Applies `update` to the history of a service; only the first call copies the service's name.
    fn with_history<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut RetryHistory) -> T,
    ) -> T {
        let mut histories = self.histories.lock().expect("no panic under this lock");
        match histories.get_mut(service) {
            Some(history) => update(history),
            None => update(histories.entry(service.clone()).or_default()),
        }
    }

    /// Records a request for a service.
    pub fn on_request(&self, now: TimeMs, service: &ServiceName) {
        let window = self.fleet_budget.window;
        self.with_history(service, |history| history.on_request(now, window));
    }

    /// Takes one retry from a service's budget if one is left.
    pub fn withdraw(&self, now: TimeMs, service: &ServiceName) -> RetryDecision {
        let budget = &self.fleet_budget;
        let parts = self.parts.load(Ordering::Relaxed);
        let parts = (parts != UNKNOWN_PARTS).then_some(parts);
        let slack_share = retry_budget::slack_share(budget, parts, now, self.slack_from);
        self.with_history(service, |history| {
            history.withdraw(now, budget, slack_share, self.rounding)
        })
    }
}

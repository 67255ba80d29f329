//! The budget of repeats that all daemons share, without talking to each other: each takes
//! its own requests' ratio and an equal part of the slack.

use crate::settings::GatewaySettings;
use bridgevane_types::{DurationMs, ServiceName, Share, TimeMs};
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// Daemons that the slack is divided among, whatever their true number: the budget holds
/// also while daemons are restarted and come back with a whole budget.
const SLACK_PARTS: f64 = 12.0;

/// What one service saw of late.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<TimeMs>,
    repeats: VecDeque<TimeMs>,
}

/// Budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: Share,
    slack: f64,
    window: DurationMs,
    by_service: Mutex<HashMap<ServiceName, Window>>,
}

fn forget(times: &mut VecDeque<TimeMs>, now: TimeMs, window: DurationMs) {
    while times.front().is_some_and(|time| now.since(*time) >= window) {
        times.pop_front();
    }
}

impl RetryBudgets {
    /// Budgets that nothing was taken from.
    pub fn new(settings: &GatewaySettings) -> Self {
        let ratio = settings.retry_ratio;
        Self::with(ratio, settings.retry_slack, settings.retry_window_ms)
    }

    /// The same of given bounds.
    pub fn with(ratio: Share, slack: u32, window: DurationMs) -> Self {
        Self {
            ratio,
            slack: f64::from(slack) / SLACK_PARTS,
            window,
            by_service: Mutex::default(),
        }
    }

    /// Notes a new request for a service.
    pub fn note_request(&self, now: TimeMs, service: &ServiceName) {
        let mut windows = self.by_service.lock().expect("no panic under this lock");
        let window = windows.entry(service.clone()).or_default();
        forget(&mut window.requests, now, self.window);
        window.requests.push_back(now);
    }

    /// Takes one repeat; false when none is left.
    pub fn take(&self, now: TimeMs, service: &ServiceName) -> bool {
        let mut windows = self.by_service.lock().expect("no panic under this lock");
        let window = windows.entry(service.clone()).or_default();
        forget(&mut window.requests, now, self.window);
        forget(&mut window.repeats, now, self.window);
        let allowed = self.ratio.0 * window.requests.len() as f64 + self.slack;
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

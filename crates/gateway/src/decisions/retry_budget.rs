//! The budget of repeats that all daemons share: each takes its own requests' ratio and a part
//! of the slack.

use crate::settings::GatewaySettings;
use bridgevane_types::{DurationMs, ServiceName, Share, TimeMs};
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// Daemons that the slack is divided among at least, and while other daemons can't be asked.
const MIN_PARTS: u32 = 12;
/// The parts for each daemon that is known to live: there may be some more.
const PARTS_PER_DAEMON: f64 = 1.25;

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
    /// Parts of the slack; 0: nobody has said yet how many daemons there are.
    parts: AtomicU32,
    /// No slack before this: the process before this one may have used it up.
    slack_from: TimeMs,
    by_service: Mutex<HashMap<ServiceName, Window>>,
}

fn forget(times: &mut VecDeque<TimeMs>, now: TimeMs, window: DurationMs) {
    while times.front().is_some_and(|time| now.since(*time) >= window) {
        times.pop_front();
    }
}

impl RetryBudgets {
    /// Budgets that nothing was taken from, of a daemon that starts now.
    pub fn new(now: TimeMs, settings: &GatewaySettings) -> Self {
        let asks_others = settings.peer_address.is_some() && !settings.seed_addresses.is_empty();
        Self {
            ratio: settings.retry_ratio,
            slack: f64::from(settings.retry_slack),
            window: settings.retry_window_ms,
            parts: AtomicU32::new(if asks_others { 0 } else { MIN_PARTS }),
            slack_from: if asks_others {
                now + settings.retry_window_ms
            } else {
                now
            },
            by_service: Mutex::default(),
        }
    }

    /// There are at most so many daemons.
    pub fn share_among(&self, daemons: u32) {
        let parts = (f64::from(daemons) * PARTS_PER_DAEMON) as u32;
        self.parts.store(parts.max(MIN_PARTS), Ordering::Relaxed);
    }

    /// This daemon's part of the slack.
    fn slack_share(&self, now: TimeMs) -> f64 {
        let parts = self.parts.load(Ordering::Relaxed);
        if parts == 0 || now < self.slack_from {
            return 0.0;
        }
        self.slack / f64::from(parts)
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
        let allowed = self.ratio.0 * window.requests.len() as f64 + self.slack_share(now);
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

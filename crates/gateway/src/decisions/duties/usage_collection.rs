//! Usage collection: the counts of all daemons as reported to the holder of the duties.
//!
//! Inputs: daemons' reports (the daemon and its incarnation, the windows that it has closed, its
//! counts by window) and the times at which they arrived.
//!
//! Rules:
//! 1. Counts are kept by daemon and incarnation; of two reports the larger count of each customer
//!    is kept. So a report may arrive again, late, or after a newer one.
//! 2. A report that leaves out what another session of a holder acknowledged isn't accepted: this
//!    collection doesn't have the rest.
//! 3. A window is complete when every daemon that reported recently has closed it, and no fewer
//!    daemons than for the last submitted window. A partitioned daemon is awaited as long as the
//!    window's deadline allows ([`super::usage_window`]); one that is silent for `DAEMON_TTL`, or
//!    that has a newer incarnation, isn't. No window is complete before the holder has collected
//!    for `MIN_COLLECTION_TIME`: until then it doesn't know all daemons.
//!
//! Tests: `duties_usage.rs`.

use super::usage_counts::UsageCounts;
use super::usage_window::UsageWindow;
use bridgevane_types::{DurationMs, FenceToken, Incarnation, TimeMs, VmId};
use std::collections::BTreeMap;

/// How long a silent daemon is awaited: one and a half times as long as usage may be late. A daemon
/// that is silent for longer can't report any usage in time.
const DAEMON_TTL: DurationMs = DurationMs(15_000);

/// How long a new holder collects before any window is complete. Daemons learn of a holder within
/// some two seconds and report each second; without this delay, the first windows of a starting
/// fleet were submitted without most of its counts.
const MIN_COLLECTION_TIME: DurationMs = DurationMs(3_500);

/// One incarnation of a daemon's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonIncarnation {
    /// Its VM.
    pub vm: VmId,
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
}

/// A daemon's report of its usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The reporting daemon.
    pub daemon: DaemonIncarnation,
    /// Every window before this one is closed: its counts are final.
    pub first_open: UsageWindow,
    /// The counts by window.
    pub windows: Vec<(UsageWindow, UsageCounts)>,
    /// The fence of the session that has acknowledged the windows left out; `None`: none is.
    pub acknowledged_by: Option<FenceToken>,
    /// The newest window that a holder has stored, as far as the daemon knows; 0: it knows none.
    pub newest_stored: UsageWindow,
}

/// The answer of a holder to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportAnswer {
    /// The fence of the holder's session.
    pub fence: FenceToken,
    /// The newest window that a holder has stored, as far as this one knows; 0: it knows none.
    pub newest_stored: UsageWindow,
}

impl UsageReport {
    /// Returns whether the session with this fence has all that the report leaves out.
    pub fn is_accepted_by(&self, fence: FenceToken) -> bool {
        self.acknowledged_by.is_none_or(|by| by == fence)
    }
}

#[derive(Debug)]
struct DaemonUsage {
    last_report_at: TimeMs,
    first_open: UsageWindow,
    windows: BTreeMap<UsageWindow, UsageCounts>,
}

/// The reported usage of all daemons.
#[derive(Debug)]
pub struct UsageCollection {
    /// The fence of the holder's session.
    fence: FenceToken,
    by_daemon: BTreeMap<DaemonIncarnation, DaemonUsage>,
    /// When the holder started to collect.
    started_at: TimeMs,
    /// The number of daemons that closed the last submitted window.
    expected_daemons: usize,
}

impl UsageCollection {
    /// Creates the collection of a holder's session that starts at `now`, where `daemons` closed the
    /// last submitted window.
    pub fn new(fence: FenceToken, now: TimeMs, daemons: usize) -> Self {
        Self {
            fence,
            by_daemon: BTreeMap::new(),
            started_at: now,
            expected_daemons: daemons,
        }
    }

    /// Returns the fence of the holder's session.
    pub fn fence(&self) -> FenceToken {
        self.fence
    }

    /// Records a daemon's report, unless it leaves out what this session doesn't have.
    pub fn on_report(&mut self, now: TimeMs, report: UsageReport) {
        if !report.is_accepted_by(self.fence) {
            return;
        }
        let known = self.by_daemon.entry(report.daemon).or_insert(DaemonUsage {
            last_report_at: now,
            first_open: report.first_open,
            windows: BTreeMap::new(),
        });
        known.last_report_at = now;
        known.first_open = known.first_open.max(report.first_open);
        for (window, counts) in report.windows {
            known.windows.entry(window).or_default().merge_max(&counts);
        }
    }

    /// Returns how many daemons have closed a window.
    pub fn daemons_closed(&self, window: UsageWindow) -> usize {
        let known = self.by_daemon.values();
        known.filter(|known| known.first_open > window).count()
    }

    /// Returns whether every daemon that is awaited has closed a window.
    pub fn is_complete(&self, now: TimeMs, window: UsageWindow) -> bool {
        let collecting_for = now.since(self.started_at);
        if collecting_for < MIN_COLLECTION_TIME {
            return false;
        }
        let is_missing = |(daemon, known): (&DaemonIncarnation, &DaemonUsage)| {
            known.first_open <= window && self.is_awaited(now, daemon, known)
        };
        if self.by_daemon.iter().any(is_missing) {
            return false;
        }
        let is_new_holder = collecting_for < DAEMON_TTL;
        !is_new_holder || self.daemons_closed(window) >= self.expected_daemons
    }

    fn is_awaited(&self, now: TimeMs, daemon: &DaemonIncarnation, known: &DaemonUsage) -> bool {
        let is_newer_incarnation = |(other, newer): (&DaemonIncarnation, &DaemonUsage)| {
            other.vm == daemon.vm && other != daemon && newer.last_report_at >= known.last_report_at
        };
        now.since(known.last_report_at) < DAEMON_TTL
            && !self.by_daemon.iter().any(is_newer_incarnation)
    }

    /// Returns the counts of a window, over all daemons.
    pub fn total(&self, window: UsageWindow) -> UsageCounts {
        let mut total = UsageCounts::default();
        for known in self.by_daemon.values() {
            if let Some(counts) = known.windows.get(&window) {
                total.add_all(counts);
            }
        }
        total
    }

    /// Returns whether no daemon has counted a request in this window or a later one.
    pub fn is_idle_since(&self, first: UsageWindow) -> bool {
        let known = self.by_daemon.values();
        let mut counts = known.flat_map(|known| known.windows.range(first..));
        counts.all(|(_, counts)| counts.is_empty())
    }

    /// Drops the windows before `first`, and silent daemons without any others.
    pub fn forget_before(&mut self, now: TimeMs, first: UsageWindow) {
        self.by_daemon.retain(|_, known| {
            known.windows = known.windows.split_off(&first);
            now.since(known.last_report_at) < DAEMON_TTL || !known.windows.is_empty()
        });
    }
}

//! Usage collection: what the holder of the duties has heard of all daemons' counts.
//!
//! Inputs: daemons' reports (who, in which life of its process, which windows it has closed, its
//! counts by window) and the moments at which they came.
//!
//! Rules:
//! 1. Counts are kept by daemon and life; of two reports the larger count of each customer stays.
//!    So a report may come again, late, or after a newer one.
//! 2. A window is complete when every daemon that was heard lately has closed it, and no fewer
//!    daemons than took part in the last window that was told. A daemon that is cut off is waited
//!    for, as long as the window's time allows ([`super::usage_window`]); one that is silent for
//!    `EXPECTED_FOR`, or that has a later life, isn't. Nothing is complete before the holder has
//!    collected for `COLLECTED_AFTER`: it doesn't know yet who is there.
//!
//! Tests: `duties_usage.rs`.

use super::usage_counts::UsageCounts;
use super::usage_window::UsageWindow;
use bridgevane_types::{DurationMs, Incarnation, TimeMs, VmId};
use std::collections::BTreeMap;

/// How long a silent daemon is waited for. Not measured, chosen as half as long again as usage may
/// be late: whoever is silent for longer can't tell anything in time.
const EXPECTED_FOR: DurationMs = DurationMs(15_000);

/// How long a new holder collects before any window is complete. Not measured by itself, chosen
/// because daemons hear of a holder within some two seconds and report each second; with none, the
/// first windows of a fleet that starts were told without most of it.
const COLLECTED_AFTER: DurationMs = DurationMs(3_500);

/// One life of a daemon's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonLife {
    /// Its VM.
    pub vm: VmId,
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
}

/// What a daemon reports of its usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Who reports.
    pub daemon: DaemonLife,
    /// Every window before this one is closed: its counts are final.
    pub first_open: UsageWindow,
    /// Counts by window.
    pub windows: Vec<(UsageWindow, UsageCounts)>,
}

#[derive(Debug)]
struct KnownDaemon {
    heard_at: TimeMs,
    first_open: UsageWindow,
    windows: BTreeMap<UsageWindow, UsageCounts>,
}

/// What is known of all daemons' usage.
#[derive(Debug)]
pub struct UsageCollection {
    by_daemon: BTreeMap<DaemonLife, KnownDaemon>,
    /// When the holder began.
    began_at: TimeMs,
    /// Daemons that took part in the last window that was told before.
    daemons_before: usize,
}

impl UsageCollection {
    /// A collection of a holder that begins at `now`, where `daemons` took part in the last window.
    pub fn new(now: TimeMs, daemons: usize) -> Self {
        Self {
            by_daemon: BTreeMap::new(),
            began_at: now,
            daemons_before: daemons,
        }
    }

    /// A daemon reports.
    pub fn on_report(&mut self, now: TimeMs, report: UsageReport) {
        let known = self.by_daemon.entry(report.daemon).or_insert(KnownDaemon {
            heard_at: now,
            first_open: report.first_open,
            windows: BTreeMap::new(),
        });
        known.heard_at = now;
        known.first_open = known.first_open.max(report.first_open);
        for (window, counts) in report.windows {
            known.windows.entry(window).or_default().raise_to(&counts);
        }
    }

    /// How many daemons have closed a window.
    pub fn daemons_closed(&self, window: UsageWindow) -> usize {
        let known = self.by_daemon.values();
        known.filter(|known| known.first_open > window).count()
    }

    /// Whether every daemon that is expected has closed a window.
    pub fn is_complete(&self, now: TimeMs, window: UsageWindow) -> bool {
        let held_for = now.since(self.began_at);
        if held_for < COLLECTED_AFTER {
            return false;
        }
        let is_missing = |(daemon, known): (&DaemonLife, &KnownDaemon)| {
            known.first_open <= window && self.is_expected(now, daemon, known)
        };
        if self.by_daemon.iter().any(is_missing) {
            return false;
        }
        let is_new = held_for < EXPECTED_FOR;
        !is_new || self.daemons_closed(window) >= self.daemons_before
    }

    fn is_expected(&self, now: TimeMs, daemon: &DaemonLife, known: &KnownDaemon) -> bool {
        let is_later_life = |(other, later): (&DaemonLife, &KnownDaemon)| {
            other.vm == daemon.vm && other != daemon && later.heard_at >= known.heard_at
        };
        now.since(known.heard_at) < EXPECTED_FOR && !self.by_daemon.iter().any(is_later_life)
    }

    /// The counts of a window, over all daemons.
    pub fn total(&self, window: UsageWindow) -> UsageCounts {
        let mut total = UsageCounts::default();
        for known in self.by_daemon.values() {
            if let Some(counts) = known.windows.get(&window) {
                total.add_all(counts);
            }
        }
        total
    }

    /// Whether nobody has counted a request in this window or a later one.
    pub fn is_idle_since(&self, first: UsageWindow) -> bool {
        let known = self.by_daemon.values();
        let mut counts = known.flat_map(|known| known.windows.range(first..));
        counts.all(|(_, counts)| counts.is_empty())
    }

    /// Forgets the windows before `first`, and daemons that are silent and have no others.
    pub fn forget_before(&mut self, now: TimeMs, first: UsageWindow) {
        self.by_daemon.retain(|_, known| {
            known.windows = known.windows.split_off(&first);
            now.since(known.heard_at) < EXPECTED_FOR || !known.windows.is_empty()
        });
    }
}

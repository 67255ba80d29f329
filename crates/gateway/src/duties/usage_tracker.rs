//! Usage counts: this daemon's own and, on the holder of the duties, those that other daemons
//! reported.
//!
//! Owns the ledger and the collection, each behind a lock that is held briefly; a request takes the
//! ledger's lock once, when it begins to run.

use crate::clock::Clock;
use crate::decisions::duties::usage_collection::{
    DaemonIncarnation, ReportAnswer, UsageCollection, UsageReport,
};
use crate::decisions::duties::usage_ledger::UsageLedger;
use crate::decisions::duties::usage_window::{UsageCalendar, UsageWindow};
use crate::settings::GatewaySettings;
use bridgevane_types::{CustomerId, FenceToken, Incarnation, TimeMs};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// Usage counts and reports.
#[derive(Debug)]
pub struct UsageTracker {
    clock: Clock,
    daemon: DaemonIncarnation,
    /// The usage windows; none if the fleet doesn't submit usage.
    calendar: Option<UsageCalendar>,
    ledger: Option<Mutex<UsageLedger>>,
    /// The newest window that a holder has stored, as far as this daemon knows.
    newest_stored: AtomicU64,
    /// Set while this daemon holds the duties, or is about to.
    collection: Mutex<Option<UsageCollection>>,
    /// Wakes the task that submits usage when a report has arrived.
    report_arrived: Notify,
}

impl UsageTracker {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        let calendar = settings.duties.as_ref().and_then(|duties| duties.usage);
        Self {
            clock,
            daemon: DaemonIncarnation {
                vm: settings.vm.clone(),
                incarnation: Incarnation(rand::random()),
            },
            calendar,
            ledger: calendar.map(|calendar| Mutex::new(UsageLedger::new(calendar))),
            newest_stored: AtomicU64::default(),
            collection: Mutex::default(),
            report_arrived: Notify::new(),
        }
    }

    /// Returns this daemon's VM and incarnation.
    pub(crate) fn daemon(&self) -> &DaemonIncarnation {
        &self.daemon
    }

    /// Returns the usage windows; none if the fleet doesn't submit usage.
    pub(crate) fn calendar(&self) -> Option<UsageCalendar> {
        self.calendar
    }

    /// Returns the first window that no daemon of the fleet has closed at a moment; the first of all if
    /// the fleet doesn't submit usage.
    pub(super) fn first_open_everywhere_at(&self, at: TimeMs) -> UsageWindow {
        let at = self.clock.wall_time_at(at);
        let calendar = self.calendar;
        calendar.map_or_else(UsageWindow::default, |calendar| {
            calendar.first_open_everywhere_at(at)
        })
    }

    /// Counts a customer's request that began to run.
    pub fn on_request_began(&self, at: TimeMs, customer: &CustomerId) {
        if let Some(ledger) = &self.ledger {
            let mut ledger = ledger.lock().expect("no panic under this lock");
            ledger.count(self.clock.wall_time_at(at), customer);
        }
    }

    /// Returns this daemon's counts of the newest windows; none if the fleet doesn't submit usage.
    pub fn own_report(&self) -> Option<UsageReport> {
        let calendar = self.calendar?;
        let now = self.clock.wall_time_at(self.clock.now());
        let first_open = calendar.first_open_at(now);
        // Older windows can't be submitted in time any more, and were reported to an earlier
        // holder.
        let first = calendar.window_at(now).minus(calendar.timely_windows() - 1);
        let ledger = self.ledger.as_ref()?;
        let ledger = ledger.lock().expect("no panic under this lock");
        let windows = ledger.windows_from(first);
        Some(UsageReport {
            daemon: self.daemon.clone(),
            first_open,
            windows: windows
                .map(|(window, counts)| (window, counts.clone()))
                .collect(),
            acknowledged_by: None,
            newest_stored: self.newest_stored(),
        })
    }

    /// Returns the report at the end of the process, which closes all windows.
    pub(crate) fn final_report(&self) -> Option<UsageReport> {
        let report = self.own_report()?;
        Some(UsageReport {
            first_open: UsageWindow(u64::MAX),
            ..report
        })
    }

    fn collection(&self) -> MutexGuard<'_, Option<UsageCollection>> {
        self.collection.lock().expect("no panic under this lock")
    }

    /// Starts collecting reports from a fleet of `daemons` daemons; called when this daemon becomes
    /// the holder, under `fence`.
    pub(super) fn start_collecting(&self, fence: FenceToken, daemons: usize) {
        let now = self.clock.now();
        *self.collection() = Some(UsageCollection::new(fence, now, daemons));
    }

    /// Stops collecting reports; called when this daemon is no longer the holder.
    pub(super) fn stop_collecting(&self) {
        *self.collection() = None;
    }

    /// Records that a holder has stored a window.
    pub fn on_window_stored(&self, window: UsageWindow) {
        self.newest_stored.fetch_max(window.0, Ordering::Relaxed);
    }

    /// Returns the newest window that a holder has stored, as far as this daemon knows; 0 if it knows
    /// none.
    pub(super) fn newest_stored(&self) -> UsageWindow {
        UsageWindow(self.newest_stored.load(Ordering::Relaxed))
    }

    /// Stores another daemon's report; returns none if this daemon doesn't hold the duties.
    pub fn on_report(&self, report: UsageReport) -> Option<ReportAnswer> {
        let mut collection = self.collection();
        let collection = collection.as_mut()?;
        self.on_window_stored(report.newest_stored);
        collection.on_report(self.clock.now(), report);
        self.report_arrived.notify_one();
        Some(ReportAnswer {
            fence: collection.fence(),
            newest_stored: self.newest_stored(),
        })
    }

    /// Runs `work` on the reports of all daemons, including this one; returns none if this daemon
    /// isn't the holder.
    pub(super) fn with_collection<T>(
        &self,
        work: impl FnOnce(TimeMs, &mut UsageCollection) -> T,
    ) -> Option<T> {
        let own = self.own_report();
        let now = self.clock.now();
        let mut collection = self.collection();
        let collection = collection.as_mut()?;
        if let Some(own) = own {
            collection.on_report(now, own);
        }
        Some(work(now, collection))
    }

    /// Waits until another daemon has reported.
    pub(super) async fn wait_for_report(&self) {
        self.report_arrived.notified().await;
    }
}

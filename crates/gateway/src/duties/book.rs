//! This daemon's part in the duties: what it counted, and, on the holder, what it heard.
//!
//! Owns the ledger and the collection, each behind a short lock; a request takes the ledger's once,
//! when it begins to run.

use crate::clock::Clock;
use crate::decisions::duties::usage_collection::{DaemonLife, UsageCollection, UsageReport};
use crate::decisions::duties::usage_ledger::UsageLedger;
use crate::decisions::duties::usage_window::{UsageCalendar, UsageWindow};
use crate::settings::GatewaySettings;
use bridgevane_types::{CustomerId, Incarnation, TimeMs};
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// Counts and reports of usage.
#[derive(Debug)]
pub struct DutyBook {
    clock: Clock,
    daemon: DaemonLife,
    /// None where usage isn't this fleet's duty.
    calendar: Option<UsageCalendar>,
    ledger: Option<Mutex<UsageLedger>>,
    /// Set while this daemon holds the duties, or is about to.
    collection: Mutex<Option<UsageCollection>>,
    /// Wakes the task that tells usage when a report came.
    reported: Notify,
}

impl DutyBook {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        let calendar = settings.duties.as_ref().and_then(|duties| duties.usage);
        Self {
            clock,
            daemon: DaemonLife {
                vm: settings.vm.clone(),
                incarnation: Incarnation(rand::random()),
            },
            calendar,
            ledger: calendar.map(|calendar| Mutex::new(UsageLedger::new(calendar))),
            collection: Mutex::default(),
            reported: Notify::new(),
        }
    }

    /// This life of this daemon.
    pub(crate) fn daemon(&self) -> &DaemonLife {
        &self.daemon
    }

    /// The windows of usage; none where usage isn't this fleet's duty.
    pub(crate) fn calendar(&self) -> Option<UsageCalendar> {
        self.calendar
    }

    /// A request of a customer began to run.
    pub fn on_request_began(&self, at: TimeMs, customer: &CustomerId) {
        if let Some(ledger) = &self.ledger {
            let mut ledger = ledger.lock().expect("no panic under this lock");
            ledger.count(self.clock.wall(at), customer);
        }
    }

    /// What this daemon counted in the newest windows; none where usage isn't this fleet's duty.
    pub(crate) fn own_report(&self) -> Option<UsageReport> {
        let calendar = self.calendar?;
        let now = self.clock.wall(self.clock.now());
        let first_open = calendar.first_open_at(now);
        // What is older is told too late; whoever held the duties then has heard it.
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
        })
    }

    /// The same when the process ends: nothing more will come.
    pub(crate) fn last_report(&self) -> Option<UsageReport> {
        let report = self.own_report()?;
        Some(UsageReport {
            first_open: UsageWindow(u64::MAX),
            ..report
        })
    }

    fn collection(&self) -> MutexGuard<'_, Option<UsageCollection>> {
        self.collection.lock().expect("no panic under this lock")
    }

    /// This daemon takes the duties over, from a fleet of so many daemons.
    pub(super) fn start_collecting(&self, daemons: usize) {
        let now = self.clock.now();
        *self.collection() = Some(UsageCollection::new(now, daemons));
    }

    /// This daemon no longer holds the duties.
    pub(super) fn stop_collecting(&self) {
        *self.collection() = None;
    }

    /// Another daemon reports; gives whether this one holds the duties.
    pub(crate) fn on_report(&self, report: UsageReport) -> bool {
        let mut collection = self.collection();
        let Some(collection) = collection.as_mut() else {
            return false;
        };
        collection.on_report(self.clock.now(), report);
        self.reported.notify_one();
        true
    }

    /// Works on what all daemons reported, this one included; none on a daemon that isn't the
    /// holder.
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
    pub(super) async fn reported(&self) {
        self.reported.notified().await;
    }
}

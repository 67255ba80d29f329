//! Duty state: what a holder leaves for its successor, under one key of the platform's store.
//!
//! Rule: usage is written here, under the condition that the holder still owns the holder's key,
//! before it is submitted to the platform. A successor reads it in the write that makes it the
//! holder, submits the same counts again (the platform ignores an exact repeat), and continues with
//! the next window. So two holders never submit different counts for one window, whether the first
//! one's calls succeeded or not. A state that the store has from a copy isn't the newest one; the
//! era in it shows that ([`super::succession`]). The whole argument: docs/design/30.
//!
//! Tests: `duties_usage.rs`, `duties_search.rs`.

use super::usage_collection::DaemonIncarnation;
use super::usage_counts::UsageCounts;
use super::usage_window::UsageWindow;
use crate::control::source::SourceEra;
use bridgevane_types::ServiceName;
use std::collections::BTreeMap;

/// The number of windows whose counts are kept for a successor. Usage may be late by two windows of
/// the usual width; older windows need no repeat.
const KEPT_WINDOWS: usize = 4;

/// The usage of one window, as submitted to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowUsage {
    /// The window in which the requests started.
    pub window: UsageWindow,
    /// Its counts; they never change.
    pub counts: UsageCounts,
}

/// The state that holders pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyState {
    /// The process that wrote it.
    pub holder: DaemonIncarnation,
    /// The store's era when it was written.
    pub era: SourceEra,
    /// The first window that may be submitted under this state.
    pub first_window: UsageWindow,
    /// The newest windows with final counts, oldest first.
    pub submitted_windows: Vec<WindowUsage>,
    /// The number of daemons that closed the newest of these windows.
    pub daemons: usize,
    /// The number of engines that each service needs, counted as permanent engines.
    pub needed_engines: BTreeMap<ServiceName, u32>,
}

impl DutyState {
    /// Returns the state of a first holder.
    pub fn initial(holder: DaemonIncarnation, era: SourceEra) -> Self {
        Self {
            holder,
            era,
            first_window: UsageWindow::default(),
            submitted_windows: Vec::new(),
            daemons: 0,
            needed_engines: BTreeMap::new(),
        }
    }

    /// Returns the same state under another holder, written in `era`.
    pub fn with_holder(self, holder: DaemonIncarnation, era: SourceEra) -> Self {
        Self {
            holder,
            era,
            ..self
        }
    }

    /// Returns the state under which no window before `first` is submitted.
    pub fn without_windows_before(self, first: UsageWindow) -> Self {
        Self {
            first_window: first,
            submitted_windows: Vec::new(),
            ..self
        }
    }

    /// Returns the state with one more window, which this number of daemons closed.
    pub fn with_window(&self, usage: WindowUsage, daemons: usize) -> Self {
        let mut state = self.clone();
        state.submitted_windows.push(usage);
        let surplus = state.submitted_windows.len().saturating_sub(KEPT_WINDOWS);
        state.submitted_windows.drain(..surplus);
        state.daemons = daemons;
        state
    }

    /// Returns the state with another number of engines that a service needs.
    pub fn with_needed_engines(&self, service: &ServiceName, engines: u32) -> Self {
        let mut state = self.clone();
        state.needed_engines.insert(service.clone(), engines);
        state
    }

    /// Returns the newest window with final counts.
    pub fn newest_window(&self) -> Option<UsageWindow> {
        self.submitted_windows.last().map(|usage| usage.window)
    }

    /// Returns the first window whose counts aren't final and that may be submitted.
    pub fn next_window(&self) -> UsageWindow {
        let next = self.newest_window().map(UsageWindow::next);
        next.unwrap_or_default().max(self.first_window)
    }
}

//! Duty state: what a holder leaves for its successor, under one key of the platform's store.
//!
//! Rule: usage is written here, under the condition that the holder's key is still its own, before
//! the platform is told. A successor reads it in the write that makes it the holder, tells the same
//! counts again (the platform ignores an exact repeat), and goes on with the next window. So two
//! holders never tell different counts for one window, whatever the first one's calls came to.
//!
//! Tests: `duties_usage.rs`, `duties_search.rs`.

use super::usage_collection::DaemonLife;
use super::usage_counts::UsageCounts;
use super::usage_window::UsageWindow;
use bridgevane_types::ServiceName;
use std::collections::BTreeMap;

/// Windows whose counts are kept for a successor. Chosen because usage may be late by two of the
/// users' windows: what is older needs no repeat.
const KEPT_WINDOWS: usize = 4;

/// The usage of one window, as the platform is told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowUsage {
    /// The window.
    pub window: UsageWindow,
    /// Its counts; they never change.
    pub counts: UsageCounts,
}

/// The state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyState {
    /// Who wrote it.
    pub holder: DaemonLife,
    /// The newest windows that are fixed, oldest first.
    pub told: Vec<WindowUsage>,
    /// Daemons that took part in the newest of them.
    pub daemons: usize,
    /// Engines that each service needs, in engines that aren't taken back.
    pub needed_engines: BTreeMap<ServiceName, u32>,
}

impl DutyState {
    /// The state of a first holder.
    pub fn first(holder: DaemonLife) -> Self {
        Self {
            holder,
            told: Vec::new(),
            daemons: 0,
            needed_engines: BTreeMap::new(),
        }
    }

    /// The same state under another holder.
    pub fn taken_over(self, holder: DaemonLife) -> Self {
        Self { holder, ..self }
    }

    /// The state with one more window fixed, in which so many daemons took part.
    pub fn with_window(&self, usage: WindowUsage, daemons: usize) -> Self {
        let mut state = self.clone();
        state.told.push(usage);
        let surplus = state.told.len().saturating_sub(KEPT_WINDOWS);
        state.told.drain(..surplus);
        state.daemons = daemons;
        state
    }

    /// The state with another number of engines that a service needs.
    pub fn with_needed_engines(&self, service: &ServiceName, engines: u32) -> Self {
        let mut state = self.clone();
        state.needed_engines.insert(service.clone(), engines);
        state
    }

    /// The newest window that is fixed.
    pub fn newest_window(&self) -> Option<UsageWindow> {
        self.told.last().map(|usage| usage.window)
    }
}

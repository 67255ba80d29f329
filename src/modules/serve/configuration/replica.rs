//! This daemon's replica of the configuration, and its budget of calls to the platform.
//!
//! Owns both behind locks that no request takes; requests read [`super::in_force`].

use bridgevane_adapters::KvError;
use bridgevane_coordination::configs::CallBudgetConfig;
use bridgevane_coordination::{CallBudget, CallKind, ConfigReplica};
use bridgevane_events::{Event, event};
use bridgevane_protocol::{ConfigWanted, Heartbeat};
use bridgevane_types::{ConfigVersion, DurationMs, TimeMs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// This daemon's replica of the configuration, and its budget of calls to the platform.
pub struct LocalReplica {
    replica: Mutex<ConfigReplica>,
    budget: Mutex<CallBudget>,
    /// Whether a peer or the platform has answered since the daemon started.
    has_contact: AtomicBool,
    /// Whether the daemon has started to accept requests; it then accepts them under any version.
    has_served: AtomicBool,
}

impl LocalReplica {
    /// Creates an empty replica.
    pub fn new(seed: u64) -> Self {
        Self {
            replica: Mutex::default(),
            budget: Mutex::new(CallBudget::new(CallBudgetConfig::default(), seed)),
            has_contact: AtomicBool::new(false),
            has_served: AtomicBool::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, CallBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the replica and the highest known version.
    pub fn versions(&self) -> (ConfigVersion, ConfigVersion) {
        let replica = self.lock();
        (replica.version(), replica.highest_known_version())
    }

    /// Records that a daemon or the platform has answered.
    pub(crate) fn note_contact(&self) {
        self.has_contact.store(true, Ordering::Release);
    }

    /// Whether requests may be accepted. A starting daemon needs a configuration, an answer from a
    /// peer or the platform, and no peer with a newer version; once it has accepted requests, it
    /// continues.
    pub(crate) fn may_serve(&self) -> bool {
        if self.has_served.load(Ordering::Acquire) {
            return true;
        }
        let replica = self.lock();
        let is_ready = replica.version().0 > 0
            && !replica.is_behind()
            && self.has_contact.load(Ordering::Acquire);
        if is_ready {
            self.has_served.store(true, Ordering::Release);
        }
        is_ready
    }

    /// Takes one read call from the budget; false when the budget allows none now.
    pub(crate) fn try_acquire_call(&self, now: TimeMs) -> bool {
        self.budget().try_acquire(now, CallKind::Read).is_ok()
    }

    /// Records that the platform answered a call.
    pub(crate) fn call_succeeded(&self) {
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.record_success();
            was_failing
        };
        if was_failing {
            event!(Event::PlatformBack);
        }
    }

    /// Whether the latest call to the platform failed.
    pub(crate) fn is_platform_unavailable(&self) -> bool {
        self.budget().is_failing()
    }

    /// Records that a call to the platform failed.
    pub(crate) fn call_failed(&self, now: TimeMs, error: &KvError) {
        let retry_after_ms = match error {
            KvError::RateLimited { retry_after_ms } => *retry_after_ms,
            _ => DurationMs(0),
        };
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.record_failure(now, retry_after_ms);
            was_failing
        };
        if !was_failing {
            event!(Event::PlatformAway, cause = error);
        }
    }

    /// Records the versions in a heartbeat; returns the request for the newer version, if there is
    /// one.
    pub fn observe_versions(&self, heartbeat: &Heartbeat) -> Option<ConfigWanted> {
        let mut replica = self.lock();
        replica.observe_version(ConfigVersion(heartbeat.highest_config_version));
        replica.observe_version(ConfigVersion(heartbeat.config_version));
        let have_version = replica.version().0;
        (heartbeat.config_version > have_version).then_some(ConfigWanted { have_version })
    }
}

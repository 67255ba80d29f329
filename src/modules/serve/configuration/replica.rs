//! This daemon's copy of the configuration as it goes between daemons, and its budget of the
//! platform's calls.
//!
//! Owns both behind locks that no request takes; what requests read is [`super::in_force`].

use bridgevane_adapters::KvError;
use bridgevane_coordination::configs::CallBudgetConfig;
use bridgevane_coordination::{CallBudget, CallKind, ConfigReplica};
use bridgevane_events::{Event, event};
use bridgevane_protocol::{ConfigWanted, Heartbeat};
use bridgevane_types::{ConfigVersion, DurationMs, TimeMs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// This daemon's copy, and its budget of calls for it.
pub struct ConfigCopy {
    replica: Mutex<ConfigReplica>,
    budget: Mutex<CallBudget>,
    /// Some peer or the platform has answered since the start.
    has_contact: AtomicBool,
    /// Requests are taken; from then on a newer version is put in force as it comes.
    has_served: AtomicBool,
}

impl ConfigCopy {
    /// An empty copy.
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

    /// The version at hand and the highest one heard of.
    pub fn versions(&self) -> (ConfigVersion, ConfigVersion) {
        let replica = self.lock();
        (replica.version(), replica.highest_heard())
    }

    /// Notes that someone who knows versions has answered.
    pub(crate) fn note_contact(&self) {
        self.has_contact.store(true, Ordering::Release);
    }

    /// Whether requests may be taken: not before someone was asked for the newest version,
    /// and at first not under an older one than any peer holds.
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

    /// Takes a read of the platform's service from the budget.
    pub(crate) fn may_call(&self, now: TimeMs) -> bool {
        self.budget().take(now, CallKind::Read).is_ok()
    }

    /// Notes that the platform's service answered.
    pub(crate) fn call_succeeded(&self) {
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.succeeded();
            was_failing
        };
        if was_failing {
            event!(Event::PlatformBack);
        }
    }

    /// Whether the latest call of the platform's service failed.
    pub(crate) fn is_platform_unavailable(&self) -> bool {
        self.budget().is_failing()
    }

    /// Notes that a call of the platform's service failed.
    pub(crate) fn call_failed(&self, now: TimeMs, error: &KvError) {
        let retry_after_ms = match error {
            KvError::RateLimited { retry_after_ms } => *retry_after_ms,
            _ => DurationMs(0),
        };
        let was_failing = {
            let mut budget = self.budget();
            let was_failing = budget.is_failing();
            budget.failed(now, retry_after_ms);
            was_failing
        };
        if !was_failing {
            event!(Event::PlatformAway, cause = error);
        }
    }

    /// A heartbeat names its sender's versions; gives what is to be asked for when they are newer.
    pub fn hear(&self, heartbeat: &Heartbeat) -> Option<ConfigWanted> {
        let mut replica = self.lock();
        replica.hear(ConfigVersion(heartbeat.highest_config_version));
        replica.hear(ConfigVersion(heartbeat.config_version));
        let have_version = replica.version().0;
        (heartbeat.config_version > have_version).then_some(ConfigWanted { have_version })
    }
}

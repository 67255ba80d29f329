//! The version history: which software versions of each service served lately.
//!
//! Written with each new directory, and with what other daemons know; requests read it under a short
//! lock when a resumable stream begins or is taken up. It is lost with the process; a new process
//! learns it from other daemons. The rule is [`crate::decisions::eligibility::stream_version`].

use crate::clock::Clock;
use crate::decisions::eligibility::stream_version::{
    ServiceVersions, VersionEvidence, VersionHash, VersionSpan, notice_time,
};
use crate::settings::GatewaySettings;
use bridgevane_types::{DurationMs, ServiceName, TimeMs, short_hash};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// The identifier of a service in messages between daemons: the upper half of a 64-bit hash of its
/// name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ServiceHash(pub(crate) u32);

impl ServiceHash {
    pub(crate) fn new(service: &ServiceName) -> Self {
        Self(short_hash(service.as_str().as_bytes()))
    }
}

#[derive(Debug)]
struct State {
    services: HashMap<ServiceHash, ServiceVersions>,
    /// Since when the versions of all services are known, here or at the daemon that reported them.
    known_since: TimeMs,
}

/// The software versions that served lately.
#[derive(Debug)]
pub(crate) struct VersionHistory {
    clock: Clock,
    notice_time: DurationMs,
    state: Mutex<State>,
}

impl VersionHistory {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        Self {
            clock,
            notice_time: notice_time(settings.freshness.proof_lifetime_ms),
            state: Mutex::new(State {
                services: HashMap::new(),
                known_since: clock.now(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Records the versions of all known endpoints; `proved_at` is the newest proof of the state
    /// before.
    pub(crate) fn observe(
        &self,
        proved_at: Option<TimeMs>,
        endpoints: &[(ServiceName, VersionHash)],
    ) {
        let mut present: HashMap<ServiceHash, Vec<VersionHash>> = HashMap::new();
        for (service, version) in endpoints {
            let versions = present.entry(ServiceHash::new(service)).or_default();
            if !versions.contains(version) {
                versions.push(*version);
            }
        }
        let now = self.clock.now();
        let not_before = proved_at.unwrap_or_default();
        let mut state = self.state();
        for (service, versions) in &mut state.services {
            let present = present.remove(service).unwrap_or_default();
            versions.observe(now, not_before, &present);
        }
        for (service, present) in present {
            let versions = state.services.entry(service).or_default();
            versions.observe(now, not_before, &present);
        }
    }

    /// Records a proof. After a time without one, versions may have come and gone unseen.
    pub(crate) fn on_proved(&self, before: Option<TimeMs>, proved_at: TimeMs) {
        let gap = before.map(|before| proved_at.since(before));
        if gap.is_none_or(|gap| gap >= self.notice_time) {
            self.state().known_since = self.clock.now();
        }
    }

    /// Merges what another daemon knows.
    pub(crate) fn merge(
        &self,
        spans: impl Iterator<Item = (ServiceHash, VersionSpan)>,
        known_for: DurationMs,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        for (service, span) in spans {
            state.services.entry(service).or_default().merge(now, span);
        }
        let known_since = TimeMs(now.0.saturating_sub(known_for.0));
        state.known_since = state.known_since.min(known_since);
    }

    /// Returns for how long the versions of all services are known.
    pub(crate) fn known_for(&self) -> DurationMs {
        self.clock.now().since(self.state().known_since)
    }

    /// Returns the versions of the services that had several lately.
    pub(crate) fn mixed_spans(&self) -> Vec<(ServiceHash, VersionSpan)> {
        let now = self.clock.now();
        let state = self.state();
        let mixed = state.services.iter().filter(|(_, all)| all.is_mixed(now));
        mixed
            .flat_map(|(service, all)| all.spans(now).map(|span| (*service, span)))
            .collect()
    }

    /// Returns the versions at which a resumable stream may begin; `None` if it may at any.
    pub(crate) fn may_begin(&self, service: &ServiceName) -> Option<Vec<VersionHash>> {
        let state = self.state();
        let versions = state.services.get(&ServiceHash::new(service))?;
        versions.may_begin(self.clock.now(), self.notice_time)
    }

    /// Returns the version at which a stream began that nobody reported, if only one can have begun
    /// it.
    pub(crate) fn only_version(
        &self,
        service: &ServiceName,
        proof_age: Option<DurationMs>,
    ) -> Option<VersionHash> {
        let state = self.state();
        let versions = state.services.get(&ServiceHash::new(service))?;
        versions.only_version(self.evidence(&state, proof_age))
    }

    /// Returns whether streams of the service that begin are reported to all daemons.
    pub(crate) fn needs_reports(
        &self,
        service: &ServiceName,
        proof_age: Option<DurationMs>,
    ) -> bool {
        let state = self.state();
        let versions = state.services.get(&ServiceHash::new(service));
        versions.is_some_and(|all| all.needs_reports(self.evidence(&state, proof_age)))
    }

    fn evidence(&self, state: &State, proof_age: Option<DurationMs>) -> VersionEvidence {
        VersionEvidence {
            now: self.clock.now(),
            notice_time: self.notice_time,
            proof_age,
            known_since: state.known_since,
        }
    }
}

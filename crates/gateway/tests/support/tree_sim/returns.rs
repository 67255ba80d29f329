//! Returns of the source from a copy: what daemons know of its era and of the configuration, as
//! `control::state` and `replication::state_reports` keep and report it.

use super::*;
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::replication::completeness::{Completeness, EraKnowledge};
use bridgevane_gateway::{Revision, SourceEra};
use bridgevane_types::ConfigVersion;

/// The delay between two reports of a daemon that follows the source to the seeds.
pub(super) const REPORT_MS: u64 = 500;
/// The operator's policy: strict key removal.
const POLICY: FreshnessPolicy = FreshnessPolicy {
    proof_lifetime_ms: PROOF_LIFETIME,
    config_apply_ms: DurationMs(3_000),
    max_stale_age_ms: PROOF_LIFETIME,
};

/// A configuration, and the revision of the source's era up to which it is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownState {
    pub(super) at: Revision,
    pub(super) version: ConfigVersion,
}

impl KnownState {
    /// Returns the state in the first era, with the first configuration.
    pub(super) fn first() -> Self {
        Self {
            at: Revision::new(SourceEra(0), 1),
            version: ConfigVersion(1),
        }
    }
}

/// What a daemon knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Knowledge {
    era: EraKnowledge,
    state: Option<KnownState>,
}

impl Knowledge {
    fn version(&self) -> ConfigVersion {
        self.state.map_or(ConfigVersion(0), |state| state.version)
    }

    /// Applies a state of the source or of another daemon.
    fn apply(&mut self, now: TimeMs, state: KnownState, proof_age: Option<DurationMs>) {
        let own = self.state.map_or(Revision(0), |state| state.at);
        if state.at.era() < own.era() {
            return;
        }
        let active = self.version();
        let lifetime = POLICY.proof_lifetime_ms;
        self.era = self
            .era
            .after_full_state(now, state.at, proof_age, lifetime);
        if state.at > own {
            self.era = self
                .era
                .after_operator_write(state.at, state.version, active);
        }
        self.state = Some(KnownState {
            at: own.max(state.at),
            // An older configuration never replaces a newer one.
            version: active.max(state.version),
        });
    }

    /// Applies another daemon's report; a newer configuration is fetched first.
    fn apply_report(&mut self, now: TimeMs, other: &Self) {
        let (Some(own), Some(reported)) = (self.state, other.state) else {
            return;
        };
        if own.at.era() != reported.at.era() {
            return;
        }
        if reported.version > own.version && reported.at <= own.at {
            self.state = Some(KnownState {
                version: reported.version,
                ..own
            });
        }
        if reported.version <= self.version() {
            self.era = self.era.after_report(other.era.completeness(now));
        }
    }
}

impl Fleet {
    /// The source comes back from a copy that lacks the newest `lost` versions.
    pub fn return_from_copy(&mut self, lost: u64) {
        let next = self.stored.at.era().next();
        self.stored = KnownState {
            at: Revision::new(next, 1),
            version: ConfigVersion(self.stored.version.0 - lost),
        };
    }

    /// The operator writes a configuration of this version.
    pub fn write_version(&mut self, version: u64) {
        let at = self.stored.at;
        self.stored = KnownState {
            at: Revision::new(at.era(), at.counter() + 1),
            version: ConfigVersion(version),
        };
    }

    /// Reads the source on demand, like `replication::proof_on_demand`; returns the version of its
    /// configuration, which the daemon doesn't keep.
    pub fn read_on_demand(&self, at: usize) -> Option<u64> {
        // The first state comes through the tree.
        let has_state = self.daemons[at].knowledge.state.is_some();
        let can_read = has_state && self.is_awake(at) && self.is_served[at];
        can_read.then_some(self.stored.version.0)
    }

    pub(super) fn learn_from_source(&mut self, at: usize) {
        let stored = self.stored;
        self.learn(at, stored);
    }

    /// Applies what an upstream's answer has: its state, then its report.
    pub(super) fn learn_from_daemon(&mut self, at: usize, upstream: &Knowledge) {
        if let Some(state) = upstream.state {
            self.learn(at, state);
        }
        self.hear_report(at, upstream);
    }

    pub(super) fn hear_report(&mut self, at: usize, reported: &Knowledge) {
        let now = TimeMs(self.now);
        self.daemons[at].knowledge.apply_report(now, reported);
    }

    fn learn(&mut self, at: usize, state: KnownState) {
        let now = TimeMs(self.now);
        let daemon = &mut self.daemons[at];
        let proof_age = daemon.proved_at.map(|proved_at| now.since(proved_at));
        daemon.knowledge.apply(now, state, proof_age);
    }

    /// Lets daemons that follow the source and aren't seeds probe the seeds while they are in doubt.
    pub(super) fn report_to_seeds(&mut self) {
        let now = TimeMs(self.now);
        for from in self.seeds.len()..self.len() {
            let daemon = &self.daemons[from];
            let path = daemon.selector.path();
            let follows_source = path.reaches_source() && path.daemons().is_empty();
            let is_complete = daemon.knowledge.era.completeness(now) == Completeness::Complete;
            if !daemon.is_alive || self.is_frozen(from) || !follows_source || is_complete {
                continue;
            }
            for seed in 0..self.seeds.len() {
                let is_reached =
                    self.daemons[seed].is_alive && self.partition[seed] == self.partition[from];
                if is_reached && !self.is_frozen(seed) {
                    let (own, other) = (self.daemons[from].knowledge, self.daemons[seed].knowledge);
                    self.hear_report(seed, &own);
                    self.hear_report(from, &other);
                }
            }
        }
    }

    /// Returns whether a daemon forwards requests.
    pub fn serves(&self, at: usize) -> bool {
        let now = TimeMs(self.now);
        let daemon = &self.daemons[at];
        let proof_age = daemon.proved_at.map(|proved_at| now.since(proved_at));
        let completeness = daemon.knowledge.era.completeness(now);
        daemon.is_alive && POLICY.freshness(proof_age, completeness).may_serve()
    }

    /// Returns whether a daemon denies unknown routes and keys.
    pub fn denies(&self, at: usize) -> bool {
        let now = TimeMs(self.now);
        let daemon = &self.daemons[at];
        let proof_age = daemon.proved_at.map(|proved_at| now.since(proved_at));
        let completeness = daemon.knowledge.era.completeness(now);
        daemon.is_alive && POLICY.freshness(proof_age, completeness).may_deny()
    }

    /// Returns the version of a daemon's configuration.
    pub fn version_of(&self, at: usize) -> u64 {
        self.daemons[at].knowledge.version().0
    }
}

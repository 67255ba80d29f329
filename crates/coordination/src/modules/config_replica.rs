//! A node's copy of the configuration, whose version only increases.
//!
//! A delta leads from one version to a later one; a node that is too far behind gets a snapshot.
//! Every heartbeat carries versions, so a node knows that it is behind before it gets the change.

use bridgevane_config::{Delta, DeltaError, SectionChange, Sections};
use bridgevane_types::ConfigVersion;
use derive_more::{Display, Error};
use std::collections::{BTreeMap, VecDeque};

/// The number of deltas kept for nodes that are behind: about one hour of changes at the rate
/// that the system is designed for. A node that is further behind gets a snapshot.
const MAX_DELTAS: usize = 128;

/// Why a change was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NotAccepted {
    /// The replica is at the same version or a newer one.
    #[display("the configuration is not newer than version {have}, which this daemon has")]
    NotNewer {
        /// The replica's version.
        have: ConfigVersion,
    },
    /// The delta can't be applied to the replica, which needs a snapshot.
    #[display("{_0}")]
    InvalidDelta(#[error(not(source))] DeltaError),
}

/// The answer to a node that asks for a newer version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigAnswer {
    /// The node is not behind this replica.
    Current,
    /// The changes since the node's version.
    Delta(Delta),
    /// The whole configuration and its version.
    Snapshot(ConfigVersion, Sections),
}

/// One node's replica of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    version: ConfigVersion,
    sections: Sections,
    deltas: VecDeque<Delta>,
    highest_known_version: ConfigVersion,
}

impl ConfigReplica {
    /// Returns the replica's version; 0 when it has no configuration yet.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the replica's sections.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// Returns the highest version that any node is known to have.
    pub fn highest_known_version(&self) -> ConfigVersion {
        self.highest_known_version.max(self.version)
    }

    /// Records that some node has `version`; returns whether this replica is behind a known
    /// version.
    pub fn observe_version(&mut self, version: ConfigVersion) -> bool {
        self.highest_known_version = self.highest_known_version.max(version);
        self.is_behind()
    }

    /// Returns whether a newer version is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_known_version > self.version
    }

    /// Replaces the configuration by a newer snapshot.
    ///
    /// # Errors
    /// [`NotAccepted::NotNewer`]; the replica is unchanged.
    pub fn accept_snapshot(
        &mut self,
        version: ConfigVersion,
        sections: Sections,
    ) -> Result<(), NotAccepted> {
        self.check_newer(version)?;
        if self.version.0 > 0 {
            self.retain_delta(self.sections.delta_to(&sections, self.version, version));
        }
        self.advance(version, sections);
        Ok(())
    }

    /// Applies a delta.
    ///
    /// # Errors
    /// [`NotAccepted`]; the replica is unchanged.
    pub fn accept_delta(&mut self, delta: Delta) -> Result<(), NotAccepted> {
        self.check_newer(delta.to)?;
        if delta.from != self.version {
            return Err(NotAccepted::InvalidDelta(DeltaError::WrongBase {
                from: delta.from,
                have: self.version,
            }));
        }
        let sections = self
            .sections
            .apply(&delta)
            .map_err(NotAccepted::InvalidDelta)?;
        let version = delta.to;
        self.retain_delta(delta);
        self.advance(version, sections);
        Ok(())
    }

    /// Returns what a node at version `have` needs to catch up.
    pub fn answer_for(&self, have: ConfigVersion) -> ConfigAnswer {
        if have >= self.version {
            return ConfigAnswer::Current;
        }
        match self.delta_from(have) {
            Some(delta) => ConfigAnswer::Delta(delta),
            None => ConfigAnswer::Snapshot(self.version, self.sections.clone()),
        }
    }

    fn check_newer(&self, version: ConfigVersion) -> Result<(), NotAccepted> {
        if version > self.version {
            return Ok(());
        }
        Err(NotAccepted::NotNewer { have: self.version })
    }

    fn retain_delta(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    fn advance(&mut self, version: ConfigVersion, sections: Sections) {
        self.version = version;
        self.sections = sections;
        self.highest_known_version = self.highest_known_version.max(version);
    }

    /// Combines all deltas since `have` into one with the last change of each section.
    fn delta_from(&self, have: ConfigVersion) -> Option<Delta> {
        let start = self.deltas.iter().position(|delta| delta.from == have)?;
        let mut changes = BTreeMap::new();
        for delta in self.deltas.iter().skip(start) {
            for change in &delta.changes {
                changes.insert(change.path.clone(), change.text.clone());
            }
        }
        let changes = changes
            .into_iter()
            .map(|(path, text)| SectionChange { path, text })
            .collect();
        Some(Delta {
            from: have,
            to: self.version,
            changes,
            digest: self.deltas.back()?.digest,
        })
    }
}

//! A node's copy of the configuration: versions only rise.
//!
//! Deltas lead from version to version; a node that is too far behind gets a snapshot. Every
//! heartbeat carries versions, so a node knows that it is behind before it has the change.

use bridgevane_config::{Delta, DeltaError, SectionChange, Sections};
use bridgevane_types::ConfigVersion;
use derive_more::{Display, Error};
use std::collections::{BTreeMap, VecDeque};

/// Deltas that are kept for nodes that are behind. Not measured, chosen because it is about an hour
/// of the changes to design for; whoever is further behind gets everything.
const MAX_DELTAS: usize = 128;

/// Why a change was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NotAccepted {
    /// The copy is as new already.
    #[display("version {have} is at hand already")]
    NotNewer {
        /// What is at hand.
        have: ConfigVersion,
    },
    /// The change doesn't fit the copy, which asks for another one.
    #[display("{_0}")]
    Unfit(#[error(not(source))] DeltaError),
}

/// What a node that is behind gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigAnswer {
    /// It isn't behind.
    Current,
    /// What changed.
    Delta(Delta),
    /// Everything.
    Snapshot(ConfigVersion, Sections),
}

/// The copy of one node.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    version: ConfigVersion,
    sections: Sections,
    deltas: VecDeque<Delta>,
    highest_heard: ConfigVersion,
}

impl ConfigReplica {
    /// The version at hand; 0: none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The sections at hand.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// The highest version that any node was heard to have.
    pub fn highest_heard(&self) -> ConfigVersion {
        self.highest_heard.max(self.version)
    }

    /// Notes that some node has `version`; true when this copy is behind it.
    pub fn hear(&mut self, version: ConfigVersion) -> bool {
        self.highest_heard = self.highest_heard.max(version);
        self.is_behind()
    }

    /// Whether a newer version is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_heard > self.version
    }

    /// Takes a whole version.
    ///
    /// # Errors
    /// [`NotAccepted::NotNewer`]; the copy stays as it is.
    pub fn accept_snapshot(
        &mut self,
        version: ConfigVersion,
        sections: Sections,
    ) -> Result<(), NotAccepted> {
        self.check_newer(version)?;
        if self.version.0 > 0 {
            self.keep(self.sections.delta_to(&sections, self.version, version));
        }
        self.advance(version, sections);
        Ok(())
    }

    /// Takes a change.
    ///
    /// # Errors
    /// [`NotAccepted`]; the copy stays as it is.
    pub fn accept_delta(&mut self, delta: Delta) -> Result<(), NotAccepted> {
        self.check_newer(delta.to)?;
        if delta.from != self.version {
            return Err(NotAccepted::Unfit(DeltaError::WrongBase {
                from: delta.from,
                have: self.version,
            }));
        }
        let sections = self.sections.apply(&delta).map_err(NotAccepted::Unfit)?;
        let version = delta.to;
        self.keep(delta);
        self.advance(version, sections);
        Ok(())
    }

    /// What a node at version `have` needs.
    pub fn answer(&self, have: ConfigVersion) -> ConfigAnswer {
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

    fn keep(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    fn advance(&mut self, version: ConfigVersion, sections: Sections) {
        self.version = version;
        self.sections = sections;
        self.highest_heard = self.highest_heard.max(version);
    }

    /// One delta made of all since `have`, the last change of each section alone.
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

//! The replica: the records of the control source as this daemon has them, and the newest changes.
//!
//! Owns the records in the source's own form and a bounded list of changes, from which daemons that
//! follow this one are brought up to date. A revision never goes back: what is older than the
//! replica is passed over, so that nothing that is gone comes back by a daemon that is behind.
//! Tests: `replica.rs`, among them every order of six steps of a source and two daemons.

use crate::control::patch::{Patch, PatchDoesNotFit};
use crate::control::source::{Changes, FullState, Revision, SourceRecord};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Changes that are remembered; a daemon that is further behind gets everything. Not measured,
/// chosen because a release changes every endpoint's record once or twice within seconds.
const MAX_CHANGES: usize = 512;
/// Bytes of remembered changes. Not measured, chosen because it is small against the memory of the
/// smallest VM (88 MB) and holds a hundred changes of a document as patches.
const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Its whole value.
    Whole(Bytes),
    /// How its value differs from the one of `base`.
    Patched {
        /// The revision of the value before.
        base: Revision,
        /// The difference.
        patch: Patch,
    },
    /// It is gone.
    Gone,
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// The record's key.
    pub key: String,
    /// The revision that made it.
    pub revision: Revision,
    /// What became of it.
    pub outcome: RecordOutcome,
}

impl RecordChange {
    fn bytes(&self) -> usize {
        let value = match &self.outcome {
            RecordOutcome::Whole(value) => value.len(),
            RecordOutcome::Patched { patch, .. } => patch.inserted.len(),
            RecordOutcome::Gone => 0,
        };
        self.key.len() + value
    }
}

/// What one daemon sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The changes since the revision that was asked for.
    Changes(Vec<RecordChange>),
    /// All records.
    Everything(Vec<RecordChange>),
}

#[derive(Clone, Debug)]
struct Value {
    revision: Revision,
    bytes: Bytes,
}

/// The records.
#[derive(Debug, Default)]
pub struct Replica {
    at: Revision,
    records: BTreeMap<String, Value>,
    /// Changes after this revision are all remembered.
    remembered_after: Revision,
    changes: VecDeque<RecordChange>,
    change_bytes: usize,
}

impl Replica {
    /// The revision up to which it has every change.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// Takes all records of a source in; false when this replica is newer.
    pub fn replace(&mut self, state: &FullState) -> bool {
        if state.at < self.at {
            return false;
        }
        let valued = state.records.iter().filter_map(|record| {
            let bytes = record.value.clone()?;
            let revision = record.revision;
            Some((record.key.clone(), Value { revision, bytes }))
        });
        self.records = valued.collect();
        self.at = state.at;
        // Records may be newer than the state as a whole; a daemon that lacks one gets everything.
        let newest = self.records.values().map(|value| value.revision);
        self.remembered_after = newest.fold(state.at, Revision::max);
        self.changes.clear();
        self.change_bytes = 0;
        true
    }

    /// Takes changes of a source in; gives those that were new.
    pub fn apply(&mut self, changes: Changes) -> Vec<SourceRecord> {
        let mut records = changes.records;
        records.retain(|record| self.apply_record(record));
        self.at = self.at.max(changes.at);
        records
    }

    /// Takes a record in; false when it is not new.
    fn apply_record(&mut self, record: &SourceRecord) -> bool {
        let known = self.records.get(&record.key);
        let is_known = known.is_some_and(|known| known.revision >= record.revision);
        if is_known || record.revision <= self.at {
            return false;
        }
        let outcome = match (&record.value, known) {
            (None, _) => RecordOutcome::Gone,
            (Some(new), Some(old)) => match Patch::between(&old.bytes, new) {
                Some(patch) => RecordOutcome::Patched {
                    base: old.revision,
                    patch,
                },
                None => RecordOutcome::Whole(new.clone()),
            },
            (Some(new), None) => RecordOutcome::Whole(new.clone()),
        };
        match &record.value {
            None => {
                self.records.remove(&record.key);
            }
            Some(bytes) => {
                let value = Value {
                    revision: record.revision,
                    bytes: bytes.clone(),
                };
                self.records.insert(record.key.clone(), value);
            }
        }
        self.remember(RecordChange {
            key: record.key.clone(),
            revision: record.revision,
            outcome,
        });
        true
    }

    fn remember(&mut self, change: RecordChange) {
        self.change_bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.change_bytes -= oldest.bytes();
            self.remembered_after = self.remembered_after.max(oldest.revision);
        }
    }

    /// What a daemon that has every change up to `after` lacks; 0: it has nothing.
    pub fn update_since(&self, after: Revision) -> Update {
        if after < self.remembered_after || after == Revision(0) {
            let all = self.records.iter().map(|(key, value)| RecordChange {
                key: key.clone(),
                revision: value.revision,
                outcome: RecordOutcome::Whole(value.bytes.clone()),
            });
            return Update::Everything(all.collect());
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        Update::Changes(newer.cloned().collect())
    }

    /// The records that changes from another daemon lead to, each on top of those before it.
    ///
    /// # Errors
    /// When a change was made for a value that isn't here.
    pub fn resolve(
        &self,
        changes: Vec<RecordChange>,
    ) -> Result<Vec<SourceRecord>, PatchDoesNotFit> {
        let mut newest: BTreeMap<String, Value> = BTreeMap::new();
        let mut records = Vec::with_capacity(changes.len());
        for change in changes {
            let known = newest.get(&change.key);
            let known = known.or_else(|| self.records.get(&change.key));
            let value = value_after(&change, known)?;
            if let Some(bytes) = &value {
                let bytes = bytes.clone();
                let revision = change.revision;
                newest.insert(change.key.clone(), Value { revision, bytes });
            }
            records.push(SourceRecord {
                key: change.key,
                revision: change.revision,
                value,
            });
        }
        Ok(records)
    }
}

/// The value of a record after a change; none: it is gone.
fn value_after(
    change: &RecordChange,
    known: Option<&Value>,
) -> Result<Option<Bytes>, PatchDoesNotFit> {
    let (base, patch) = match &change.outcome {
        RecordOutcome::Gone => return Ok(None),
        RecordOutcome::Whole(value) => return Ok(Some(value.clone())),
        RecordOutcome::Patched { base, patch } => (*base, patch),
    };
    let known = known.ok_or(PatchDoesNotFit)?;
    if known.revision >= change.revision {
        // The replica has it already, and passes over what comes of it.
        return Ok(Some(known.bytes.clone()));
    }
    if known.revision != base {
        return Err(PatchDoesNotFit);
    }
    patch.apply(&known.bytes).map(Some)
}

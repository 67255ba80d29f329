//! The replica: the records of the control source as this daemon has them, and the newest changes.
//!
//! Owns the records in the source's own form, what was removed lately, and a bounded list of changes, from
//! which daemons that follow this one are brought up to date. One that is behind by a little gets the changes;
//! one that is behind by more gets the records that are newer than what it has, each once, and what was removed
//! since; everything goes only to one that has nothing, or is behind by more than the removals that are
//! remembered. A revision never goes back: what is older than the
//! replica is passed over, so that nothing that is gone comes back by a daemon that is behind.
//! Tests: `replica.rs`, among them every order of six steps of a source and two daemons.

use crate::control::patch::{Patch, PatchDoesNotFit};
use crate::control::source::{Changes, FullState, Revision, SourceRecord};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Changes that are remembered one by one, as patches. Not measured, chosen because a small fleet's release
/// changes every endpoint's record once or twice within seconds. Beyond them nothing is lost: whole
/// records take the place of patches.
const MAX_CHANGES: usize = 512;
/// Removals that are remembered at least; a replica with more records remembers as many as it has
/// records, so that no release, whatever the fleet's size, makes a daemon that is behind ask for
/// everything. Not measured, chosen because a removal takes some 60 bytes, a fifth of a record.
const MIN_REMOVALS: usize = 512;
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
    removals: Removals,
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
        let records: BTreeMap<String, Value> = valued.collect();
        // Records may be newer than the state as a whole.
        let newest = records.values().map(|value| value.revision);
        let newest = newest.fold(state.at, Revision::max);
        let unlisted = self
            .records
            .keys()
            .filter(|key| !records.contains_key(*key));
        self.removals
            .on_replaced(self.at, state.at, newest, unlisted.cloned().collect());
        self.records = records;
        self.at = state.at;
        self.remembered_after = newest;
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
                self.removals.add(record.revision, record.key.clone());
            }
            Some(bytes) => {
                let value = Value {
                    revision: record.revision,
                    bytes: bytes.clone(),
                };
                self.records.insert(record.key.clone(), value);
            }
        }
        self.removals.forget_beyond(self.records.len());
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
        if after == Revision(0) {
            return Update::Everything(self.records_after(after).collect());
        }
        if after >= self.remembered_after {
            let newer = self.changes.iter().filter(|change| change.revision > after);
            return Update::Changes(newer.cloned().collect());
        }
        if !self.removals.are_known_after(after) {
            return Update::Everything(self.records_after(Revision(0)).collect());
        }
        let removed = self.removals.after(after);
        let mut changes: Vec<RecordChange> = self.records_after(after).chain(removed).collect();
        changes.sort_by_key(|change| change.revision);
        Update::Changes(changes)
    }

    /// The records that were written after a revision, as whole values.
    fn records_after(&self, after: Revision) -> impl Iterator<Item = RecordChange> {
        let newer = self.records.iter();
        let newer = newer.filter(move |(_, value)| value.revision > after);
        newer.map(|(key, value)| RecordChange {
            key: key.clone(),
            revision: value.revision,
            outcome: RecordOutcome::Whole(value.bytes.clone()),
        })
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

/// Which records were removed lately, and from which revisions on all removals are known.
#[derive(Debug, Default)]
struct Removals {
    /// Oldest first.
    keys: VecDeque<(Revision, String)>,
    /// Removals after this revision are all known, but for those of `unknown`.
    known_after: Revision,
    /// A whole state took the place of the records: what came and went between these two revisions was
    /// never seen here.
    unknown: Option<(Revision, Revision)>,
}

impl Removals {
    fn add(&mut self, revision: Revision, key: String) {
        self.keys.push_back((revision, key));
    }

    /// Forgets the oldest where there are more than the replica has records.
    fn forget_beyond(&mut self, records: usize) {
        while self.keys.len() > records.max(MIN_REMOVALS) {
            let Some((revision, _)) = self.keys.pop_front() else {
                return;
            };
            self.known_after = self.known_after.max(revision);
        }
    }

    /// A whole state at `at`, with records up to `newest`, took the place of one at `before`; it doesn't list
    /// some keys any more.
    fn on_replaced(
        &mut self,
        before: Revision,
        at: Revision,
        newest: Revision,
        unlisted: Vec<String>,
    ) {
        if before == Revision(0) {
            self.known_after = newest;
            return;
        }
        let unknown_from = self.unknown.map_or(before, |(from, _)| from);
        self.unknown = Some((unknown_from, newest));
        self.keys.extend(unlisted.into_iter().map(|key| (at, key)));
    }

    /// Whether all removals after a revision are known.
    fn are_known_after(&self, after: Revision) -> bool {
        let is_unknown = |(from, until)| after > from && after < until;
        after >= self.known_after && !self.unknown.is_some_and(is_unknown)
    }

    fn after(&self, after: Revision) -> impl Iterator<Item = RecordChange> {
        let newer = self.keys.iter();
        let newer = newer.filter(move |(revision, _)| *revision > after);
        newer.map(|(revision, key)| RecordChange {
            key: key.clone(),
            revision: *revision,
            outcome: RecordOutcome::Gone,
        })
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

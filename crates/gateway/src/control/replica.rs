//! The replica: this daemon's copy of the records of the control source, with the most recent
//! changes.
//!
//! Owns the records in the source's own encoding, the recent removals, and a bounded list of
//! changes, from which followers of this daemon are brought up to date:
//! - A follower that is slightly behind gets the changes since its revision.
//! - A follower that is further behind gets each newer record once, and the removals since its
//!   revision.
//! - A follower that has no state, or is behind by more than the remembered removals, gets the full
//!   state.
//!
//! The revision never goes back: records older than the replica are ignored, so that a daemon that
//! is behind can't bring removed records back. A source that came back from a copy is newer by its
//! era, though its counter is lower; a daemon of another era gets the full state.
//!
//! Tests: `replica.rs`, among them every order of six steps of a source and two daemons.

use crate::control::patch::{Patch, PatchDoesNotFit};
use crate::control::source::{Changes, FullState, Revision, SourceRecord};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of changes that are remembered individually, as patches. A small fleet's
/// release changes every endpoint's record once or twice within seconds. Nothing is lost beyond the
/// limit: followers get whole records in place of patches.
const MAX_CHANGES: usize = 512;
/// The minimum number of remembered removals. A larger replica remembers as many removals as it has
/// records, so that a release in a fleet of any size doesn't make followers request the full state.
/// A removal takes some 60 bytes, a fifth of a record.
const MIN_REMOVALS: usize = 512;
/// The maximum size of the remembered changes. It is small against the memory of the smallest VM
/// (88 MB) and holds a hundred changes of a document as patches.
const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// The new value of a changed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangedValue {
    /// The whole value.
    Whole(Bytes),
    /// The difference from the value at `base`.
    Patched {
        /// The revision of the previous value.
        base: Revision,
        /// The difference.
        patch: Patch,
    },
    /// The record was removed.
    Removed,
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// The key of the record.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// The new value.
    pub outcome: ChangedValue,
}

impl RecordChange {
    fn bytes(&self) -> usize {
        let value = match &self.outcome {
            ChangedValue::Whole(value) => value.len(),
            ChangedValue::Patched { patch, .. } => patch.inserted.len(),
            ChangedValue::Removed => 0,
        };
        self.key.len() + value
    }
}

/// An update that one daemon sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaUpdate {
    /// The changes since the requested revision.
    Changes(Vec<RecordChange>),
    /// All records.
    Full(Vec<RecordChange>),
}

#[derive(Clone, Debug)]
struct Value {
    revision: Revision,
    bytes: Bytes,
}

/// The records and recent changes.
#[derive(Debug, Default)]
pub struct Replica {
    /// The revision up to which the replica is complete.
    at: Revision,
    records: BTreeMap<String, Value>,
    removals: Removals,
    /// Changes after this revision are all remembered.
    remembered_after: Revision,
    changes: VecDeque<RecordChange>,
    change_bytes: usize,
    /// Counts the times that values were replaced, possibly without a change of the revision.
    replacements: u64,
}

impl Replica {
    /// Returns the revision up to which the replica is complete.
    pub fn revision(&self) -> Revision {
        self.at
    }

    /// Returns what changes whenever a value does: the revision, and the number of replacements.
    pub(crate) fn edition(&self) -> (Revision, u64) {
        (self.at, self.replacements)
    }

    /// Returns the value of a record.
    pub(crate) fn value(&self, key: &str) -> Option<Bytes> {
        self.records.get(key).map(|value| value.bytes.clone())
    }

    /// Overwrites the value of a record and keeps its revision: the new value is newer by content,
    /// not by the source's order.
    pub fn overwrite(&mut self, key: &str, bytes: Bytes) {
        if let Some(value) = self.records.get_mut(key) {
            value.bytes = bytes;
            self.replacements += 1;
            // Patches since then were made for the old value.
            self.remembered_after = self.at;
            self.changes.clear();
            self.change_bytes = 0;
        }
    }

    /// Replaces all records by those of a source; returns false when this replica is newer.
    pub fn replace(&mut self, state: &FullState) -> bool {
        if state.revision < self.at {
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
        let newest = newest.fold(state.revision, Revision::max);
        let unlisted = self
            .records
            .keys()
            .filter(|key| !records.contains_key(*key));
        self.removals
            .on_replaced(self.at, state.revision, newest, unlisted.cloned().collect());
        self.records = records;
        self.replacements += 1;
        self.at = state.revision;
        self.remembered_after = newest;
        self.changes.clear();
        self.change_bytes = 0;
        true
    }

    /// Applies changes of a source; returns those that were new.
    pub fn apply(&mut self, changes: Changes) -> Vec<SourceRecord> {
        let mut records = changes.records;
        records.retain(|record| self.apply_record(record));
        self.at = self.at.max(changes.revision);
        records
    }

    /// Applies a record; returns false when it isn't new.
    fn apply_record(&mut self, record: &SourceRecord) -> bool {
        let known = self.records.get(&record.key);
        let is_known = known.is_some_and(|known| known.revision >= record.revision);
        if is_known || record.revision <= self.at {
            return false;
        }
        let outcome = match (&record.value, known) {
            (None, _) => ChangedValue::Removed,
            (Some(new), Some(old)) => match Patch::between(&old.bytes, new) {
                Some(patch) => ChangedValue::Patched {
                    base: old.revision,
                    patch,
                },
                None => ChangedValue::Whole(new.clone()),
            },
            (Some(new), None) => ChangedValue::Whole(new.clone()),
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
        self.removals.truncate(self.records.len());
        self.remember_change(RecordChange {
            key: record.key.clone(),
            revision: record.revision,
            outcome,
        });
        true
    }

    fn remember_change(&mut self, change: RecordChange) {
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

    /// Returns the update for a daemon that is complete up to `after`; 0: it has no state.
    pub fn update_since(&self, after: Revision) -> ReplicaUpdate {
        if after == Revision(0) || after.era() != self.at.era() {
            return ReplicaUpdate::Full(self.records_after(Revision(0)).collect());
        }
        if after >= self.remembered_after {
            let newer = self.changes.iter().filter(|change| change.revision > after);
            return ReplicaUpdate::Changes(newer.cloned().collect());
        }
        if !self.removals.are_complete_after(after) {
            return ReplicaUpdate::Full(self.records_after(Revision(0)).collect());
        }
        let removed = self.removals.after(after);
        let mut changes: Vec<RecordChange> = self.records_after(after).chain(removed).collect();
        changes.sort_by_key(|change| change.revision);
        ReplicaUpdate::Changes(changes)
    }

    /// Returns the records that were written after a revision, as whole values.
    fn records_after(&self, after: Revision) -> impl Iterator<Item = RecordChange> {
        let newer = self.records.iter();
        let newer = newer.filter(move |(_, value)| value.revision > after);
        newer.map(|(key, value)| RecordChange {
            key: key.clone(),
            revision: value.revision,
            outcome: ChangedValue::Whole(value.bytes.clone()),
        })
    }

    /// Returns the records that result from another daemon's changes, each applied on top of the
    /// previous ones.
    ///
    /// # Errors
    /// When a change was made for a value that isn't in this replica.
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

/// The recent removals, and the revision from which all removals are known.
#[derive(Debug, Default)]
struct Removals {
    /// The removed keys, oldest first.
    keys: VecDeque<(Revision, String)>,
    /// Removals after this revision are all known, except those of `unknown`.
    known_after: Revision,
    /// The revisions between which the records were replaced as a whole. Records that were both
    /// added and removed in between were never seen here.
    unknown: Option<(Revision, Revision)>,
}

impl Removals {
    fn add(&mut self, revision: Revision, key: String) {
        self.keys.push_back((revision, key));
    }

    /// Forgets the oldest removals if there are more than `records` and [`MIN_REMOVALS`].
    fn truncate(&mut self, records: usize) {
        while self.keys.len() > records.max(MIN_REMOVALS) {
            let Some((revision, _)) = self.keys.pop_front() else {
                return;
            };
            self.known_after = self.known_after.max(revision);
        }
    }

    /// Notes that a full state at `at`, with records up to `newest`, replaced the one at `before`
    /// and doesn't list the `unlisted` keys.
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

    /// Returns whether all removals after a revision are known.
    fn are_complete_after(&self, after: Revision) -> bool {
        let is_unknown = |(from, until)| after > from && after < until;
        after >= self.known_after && !self.unknown.is_some_and(is_unknown)
    }

    fn after(&self, after: Revision) -> impl Iterator<Item = RecordChange> {
        let newer = self.keys.iter();
        let newer = newer.filter(move |(revision, _)| *revision > after);
        newer.map(|(revision, key)| RecordChange {
            key: key.clone(),
            revision: *revision,
            outcome: ChangedValue::Removed,
        })
    }
}

/// Returns the value of a record after a change; none if the record was removed.
fn value_after(
    change: &RecordChange,
    known: Option<&Value>,
) -> Result<Option<Bytes>, PatchDoesNotFit> {
    let (base, patch) = match &change.outcome {
        ChangedValue::Removed => return Ok(None),
        ChangedValue::Whole(value) => return Ok(Some(value.clone())),
        ChangedValue::Patched { base, patch } => (*base, patch),
    };
    let known = known.ok_or(PatchDoesNotFit)?;
    if known.revision >= change.revision {
        // The replica has the change already, and ignores the resulting record.
        return Ok(Some(known.bytes.clone()));
    }
    if known.revision != base {
        return Err(PatchDoesNotFit);
    }
    patch.apply(&known.bytes).map(Some)
}

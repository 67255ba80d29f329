//! The version registry: the software versions at which streams of each host's routes may have begun, as
//! the source's records name them.
//!
//! Written by [`crate::control::state`] with each applied state; requests read it without locks. The
//! records are kept by [`crate::replication::version_registrar`]; the rules are
//! [`crate::decisions::eligibility::stream_version`] and
//! [`crate::decisions::eligibility::version_registration`].

use crate::clock::{AtomicTime, Clock};
use crate::control::source::{Revision, SourceError};
use crate::decisions::eligibility::stream_version::{HostHash, RegisteredVersions, VersionHash};
use arc_swap::ArcSwap;
use bridgevane_protocol::RegisteredVersions as RegisteredVersionsMessage;
use bridgevane_types::{DurationMs, ServiceName, TimeMs};
use bytes::Bytes;
use prost::{DecodeError, Message};
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard};

/// The outcome of writing a host's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionWrite {
    /// The record was written.
    Written,
    /// The record has another revision than expected; nothing was written.
    Conflict,
}

/// A conditional write of a host's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRecordWrite {
    /// The host.
    pub host: HostHash,
    /// The revision that the record must have; its counter is 0 if there must be none.
    pub expected: Revision,
    /// The new versions.
    pub versions: RegisteredVersions,
}

/// A store for the records of software versions. Stored records come back through the control source as
/// [`crate::Change::VersionsRegistered`]. Calls have no timeout of their own: the caller drops them.
pub trait VersionStore: Send + Sync + 'static {
    /// Replaces the record of a host.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether it was written, or will be later.
    fn write_versions(
        &self,
        write: &VersionRecordWrite,
    ) -> impl Future<Output = Result<VersionWrite, SourceError>> + Send;
}

impl RegisteredVersions {
    /// Decodes a value of the control source.
    ///
    /// # Errors
    /// When the value isn't a record of versions.
    pub fn decode(value: &Bytes) -> Result<Self, DecodeError> {
        let message = RegisteredVersionsMessage::decode(value.clone())?;
        let versions = |hashes: Vec<u32>| hashes.into_iter().map(VersionHash).collect();
        Ok(Self {
            active: versions(message.active),
            retired: versions(message.retired),
        })
    }

    /// Encodes the record as a value of the control source.
    pub fn encode(&self) -> Bytes {
        let hashes = |versions: &[VersionHash]| versions.iter().map(|version| version.0).collect();
        let message = RegisteredVersionsMessage {
            active: hashes(&self.active),
            retired: hashes(&self.retired),
        };
        message.encode_to_vec().into()
    }
}

/// The record of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct VersionRecord {
    /// The revision that wrote it, or removed it; 0 if there has never been one.
    pub(crate) revision: Revision,
    /// Whether the source has it.
    pub(crate) exists: bool,
    /// The versions; `None` if the record is missing or can't be read.
    pub(crate) versions: Option<Arc<RegisteredVersions>>,
    /// When this daemon applied it.
    pub(crate) applied_at: TimeMs,
}

/// When endpoints of a version were last known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LastSeen {
    pub(crate) service: ServiceName,
    pub(crate) at: TimeMs,
    pub(crate) is_present: bool,
}

/// The time after which a version without endpoints is forgotten; a registered one counts from its
/// record then.
const MAX_ABSENCE: DurationMs = DurationMs(600_000);

/// For how long a daemon that doesn't follow the source itself registers versions which its requests
/// have missed: those that do may not reach the endpoints.
const MISSED_PERIOD: DurationMs = DurationMs(2_000);

type SeenVersions = HashMap<VersionHash, LastSeen>;

/// The registered versions of all hosts.
#[derive(Debug)]
pub(crate) struct VersionRegistry {
    clock: Clock,
    records: ArcSwap<HashMap<HostHash, VersionRecord>>,
    seen: Mutex<SeenVersions>,
    /// When this daemon read the first state after the newest return of the source from a copy.
    restored_at: AtomicTime,
    /// When a request last found no endpoint at which a stream may begin.
    missed_at: AtomicTime,
}

impl VersionRegistry {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            records: ArcSwap::default(),
            seen: Mutex::default(),
            restored_at: AtomicTime::default(),
            missed_at: AtomicTime::default(),
        }
    }

    fn seen(&self) -> MutexGuard<'_, SeenVersions> {
        self.seen.lock().expect("no panic under this lock")
    }

    /// Returns the record of a host.
    pub(crate) fn record(&self, host: HostHash) -> VersionRecord {
        let records = self.records.load();
        records.get(&host).cloned().unwrap_or_default()
    }

    /// Returns the hosts that have a record.
    pub(crate) fn hosts(&self) -> Vec<HostHash> {
        let records = self.records.load();
        let existing = records.iter().filter(|(_, record)| record.exists);
        existing.map(|(host, _)| *host).collect()
    }

    /// Returns whether the state has no record of any host: nothing has been registered yet, or this
    /// daemon follows one of an earlier version, which doesn't pass records on.
    pub(crate) fn is_empty(&self) -> bool {
        !self.records.load().values().any(|record| record.exists)
    }

    /// Returns the registered versions of a host; `None` without a readable record.
    pub(crate) fn versions(&self, host: &str) -> Option<Arc<RegisteredVersions>> {
        let records = self.records.load();
        records.get(&HostHash::new(host))?.versions.clone()
    }

    /// Returns whether registrations may be missing, since the source came back from a copy less than
    /// `memory` ago.
    pub(crate) fn may_lack_versions(&self, memory: DurationMs) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| self.clock.now().since(at) < memory)
    }

    /// Stores the versions of a record, unless a newer one is known; `None` if it can't be read.
    pub(crate) fn set(
        &self,
        host: HostHash,
        revision: Revision,
        versions: Option<RegisteredVersions>,
    ) {
        self.store(
            host,
            VersionRecord {
                revision,
                exists: true,
                versions: versions.map(Arc::new),
                applied_at: self.clock.now(),
            },
        );
    }

    /// Stores that a record was removed, unless a newer one is known.
    pub(crate) fn remove(&self, host: HostHash, revision: Revision) {
        self.store(
            host,
            VersionRecord {
                revision,
                applied_at: self.clock.now(),
                ..VersionRecord::default()
            },
        );
    }

    fn store(&self, host: HostHash, record: VersionRecord) {
        self.records.rcu(|records| {
            let known = records.get(&host);
            if known.is_some_and(|known| known.revision >= record.revision) {
                return records.clone();
            }
            let mut records = HashMap::clone(records);
            records.insert(host, record.clone());
            Arc::new(records)
        });
    }

    /// Forgets the records that a full state at `revision` doesn't list.
    pub(crate) fn remove_unlisted(&self, listed: &[HostHash], revision: Revision) {
        self.records.rcu(|records| {
            let mut records = HashMap::clone(records);
            records
                .retain(|service, record| listed.contains(service) || record.revision > revision);
            records
        });
        // Endpoints may have come and gone between the last state and this one.
        let now = self.clock.now();
        for seen in self.seen().values_mut() {
            seen.at = now;
        }
    }

    /// Records that the source came back from a copy.
    pub(crate) fn on_restored(&self) {
        self.restored_at.set(self.clock.now());
    }

    /// Records that a request found no endpoint at which a stream may begin.
    pub(crate) fn on_missed(&self) {
        self.missed_at.set(self.clock.now());
    }

    /// Returns whether a request lately found no endpoint at which a stream may begin.
    pub(crate) fn was_missed(&self) -> bool {
        let missed_at = self.missed_at.get();
        missed_at.is_some_and(|at| self.clock.now().since(at) < MISSED_PERIOD)
    }

    /// Records the versions of all known endpoints.
    pub(crate) fn observe(&self, endpoints: &[(ServiceName, VersionHash)]) {
        let now = self.clock.now();
        let mut seen = self.seen();
        seen.retain(|_, last| last.is_present || now.since(last.at) < MAX_ABSENCE);
        for last in seen.values_mut().filter(|last| last.is_present) {
            last.at = now;
            last.is_present = false;
        }
        for (service, version) in endpoints {
            let last = seen.entry(*version).or_insert_with(|| LastSeen {
                service: service.clone(),
                at: now,
                is_present: true,
            });
            last.is_present = true;
        }
    }

    /// Returns the versions that have endpoints, or had some lately, and when these were last known.
    pub(crate) fn last_seen(&self) -> HashMap<VersionHash, LastSeen> {
        self.seen().clone()
    }
}

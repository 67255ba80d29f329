//! The control source, which provides routes, customers and endpoints. An adapter implements
//! [`ControlSource`]; the one for the platform is `bridgevane-platform`.

use crate::control::holder_record::HolderRecord;
use crate::control::routing_table::RoutingTable;
use crate::decisions::eligibility::stream_version::{HostHash, RegisteredVersions};
use crate::endpoints::endpoint::EndpointRecord;
use bridgevane_types::{CrashSuspect, DataCentreId, DurationMs, EndpointId};
use bytes::Bytes;
use derive_more::{Display, Error, FromStr};
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of times that the source came back from a copy. Each time it has lost its latest
/// changes, and gives out their revisions again. 0: never, or the source doesn't report it.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceEra(pub u32);

impl SourceEra {
    /// Returns the era after the next return from a copy.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A position in the order of all changes at the source: its era, then the counter that every change
/// increments. One number holds both, so that messages between daemons and fencing tokens keep this
/// order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// The number of low bits of a revision that hold the counter; the higher bits hold the era. The
/// revisions of 8,192 eras fit into the 53 bits that every JSON parser reads exactly.
const COUNTER_BITS: u32 = 40;
/// The bits of the counter.
const COUNTER_MASK: u64 = (1 << COUNTER_BITS) - 1;

impl Revision {
    /// Creates a revision from the source's era and counter.
    pub fn new(era: SourceEra, counter: u64) -> Self {
        Self(u64::from(era.0) << COUNTER_BITS | counter & COUNTER_MASK)
    }

    /// Returns the source's era.
    pub fn era(self) -> SourceEra {
        SourceEra((self.0 >> COUNTER_BITS) as u32)
    }

    /// Returns the source's counter.
    pub fn counter(self) -> u64 {
        self.0 & COUNTER_MASK
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            SourceEra(0) => write!(formatter, "{}", self.counter()),
            era => write!(formatter, "{era}.{}", self.counter()),
        }
    }
}

/// A revision that is read and written without a lock; 0 at first.
#[derive(Debug, Default)]
pub(crate) struct AtomicRevision(AtomicU64);

impl AtomicRevision {
    pub(crate) fn get(&self) -> Revision {
        Revision(self.0.load(Ordering::Acquire))
    }

    pub(crate) fn set(&self, revision: Revision) {
        self.0.store(revision.0, Ordering::Release);
    }
}

/// A decoded record.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration version.
    Routing(Arc<RoutingTable>),
    /// An endpoint's record.
    Endpoint(EndpointRecord),
    /// An endpoint's record was removed.
    EndpointRemoved(EndpointId),
    /// The value under an endpoint's id isn't a valid record: another writer stored it.
    InvalidEndpoint(EndpointId, RecordFault),
    /// Operators evacuate a data centre.
    EvacuationStarted(DataCentreId),
    /// Operators ended the evacuation of a data centre.
    EvacuationEnded(DataCentreId),
    /// The evacuation record of a data centre can't be decoded.
    InvalidEvacuation(DataCentreId),
    /// A daemon holds the duties.
    DutyHolder(HolderRecord),
    /// No daemon holds the duties.
    DutyHolderRemoved,
    /// A request is under quarantine.
    Quarantined(CrashSuspect),
    /// The quarantine of a request has ended.
    QuarantineEnded(CrashSuspect),
    /// The software versions at which streams of a host's routes may have begun.
    VersionsRegistered(HostHash, RegisteredVersions),
    /// The record of a host's versions was removed.
    VersionsRemoved(HostHash),
    /// The record of a host's versions can't be decoded.
    InvalidVersions(HostHash),
    /// A record of this kind can't be decoded; it is logged and ignored.
    Unreadable(&'static str),
}

/// Why an endpoint's record is invalid. The text is the reason in logs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordFault {
    /// The bytes can't be decoded.
    #[display("unreadable")]
    Unreadable,
    /// A field is missing or has another type.
    #[display("a field is missing or of another type")]
    IncompleteRecord,
    /// The state is unknown.
    #[display("an unknown state")]
    UnknownState,
    /// No request can name the id in a header.
    #[display("an id that requests can't name")]
    UnusableId,
    /// The value is longer than a record may be.
    #[display("too long")]
    TooLong,
}

impl RecordFault {
    /// All faults.
    pub const ALL: [Self; 5] = [
        Self::Unreadable,
        Self::IncompleteRecord,
        Self::UnknownState,
        Self::UnusableId,
        Self::TooLong,
    ];
}

/// A record in the source's own encoding. Daemons forward it to each other without decoding it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceRecord {
    /// The key.
    pub key: String,
    /// The revision that wrote or removed the record.
    pub revision: Revision,
    /// The value; none if the record was removed.
    pub value: Option<Bytes>,
}

/// A decoded record and the revision that wrote it.
#[derive(Clone, Debug)]
pub(crate) struct ChangeAt {
    pub(crate) revision: Revision,
    pub(crate) change: Change,
}

/// The full state of the source.
#[derive(Clone, Debug)]
pub struct FullState {
    /// Changes after this revision may be missing.
    pub revision: Revision,
    /// All records.
    pub records: Vec<SourceRecord>,
}

/// The changes after a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Every change up to this revision is included; the next call continues from here.
    pub revision: Revision,
    /// The records as they were written, oldest first.
    pub records: Vec<SourceRecord>,
}

/// Why a call to the source failed. The text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The connection failed.
    #[display("not reached")]
    NotReached,
    /// There was no answer in time, or the connection broke.
    #[display("no answer")]
    NoAnswer,
    /// The source refuses the call for now.
    #[display("refused")]
    Refused,
    /// The changes since the given revision are no longer available; the full state must be read.
    #[display("history lost")]
    HistoryLost,
    /// The answer can't be decoded.
    #[display("unreadable answer")]
    Unreadable,
    /// The answer is longer than one may be.
    #[display("answer too long")]
    TooLong,
}

/// The progress of reading the full state. The caller aborts the read when the next part doesn't
/// arrive in time; the number of parts isn't limited.
#[derive(Debug, Default)]
pub struct ReadProgress {
    parts: AtomicU64,
}

impl ReadProgress {
    /// Counts a part that has arrived.
    pub fn count_part(&self) {
        self.parts.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of parts that have arrived.
    pub(crate) fn parts(&self) -> u64 {
        self.parts.load(Ordering::Relaxed)
    }
}

/// A source of routes, customers and endpoints. Calls have no timeout of their own: the caller
/// drops them.
pub trait ControlSource: Send + Sync + 'static {
    /// Reads the full state and reports each part to `progress`. The result is at least as new as
    /// the moment of the call.
    ///
    /// # Errors
    /// [`SourceError`] when nothing was read.
    fn full_state(
        &self,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<FullState, SourceError>> + Send;

    /// Waits for changes after `after`, for at most `wait`. An answer without changes proves that
    /// there were none when the call was made.
    ///
    /// # Errors
    /// [`SourceError`]; after [`SourceError::HistoryLost`] the full state must be read.
    fn changes(
        &self,
        after: Revision,
        wait: DurationMs,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// Decodes a record; returns none for a record that the product doesn't use.
    fn decode(&self, record: &SourceRecord) -> Option<Change>;
}

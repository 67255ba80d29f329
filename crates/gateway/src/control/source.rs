//! The control source: where routes, customers and endpoints come from. An adapter implements
//! [`ControlSource`]; the platform's is `bridgevane-platform`.

use crate::control::holder_record::HolderRecord;
use crate::control::routing_table::RoutingTable;
use crate::endpoints::endpoint::EndpointRecord;
use bridgevane_types::{DataCentreId, DurationMs, EndpointId, RequestFingerprint};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The counter that every change at the source raises.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// What one record says.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration version.
    Routing(Arc<RoutingTable>),
    /// An endpoint, as its record stands.
    Endpoint(EndpointRecord),
    /// An endpoint's record is gone.
    EndpointGone(EndpointId),
    /// What stands under an endpoint's id names no endpoint: another writer left it there.
    NoEndpoint(EndpointId, RecordFault),
    /// Operators evacuate a data centre.
    Evacuated(DataCentreId),
    /// They take it back.
    EvacuationOver(DataCentreId),
    /// What stands under a data centre's evacuation can't be read.
    NoEvacuation(DataCentreId),
    /// A daemon holds the duties.
    DutyHolder(HolderRecord),
    /// No daemon does.
    DutyHolderGone,
    /// A request is under quarantine.
    Quarantined(RequestFingerprint),
    /// It no longer is.
    QuarantineOver(RequestFingerprint),
    /// A record of this kind that can't be read; it is logged and passed over.
    Unreadable(&'static str),
}

/// Why a record names no endpoint. The text is the reason in logs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordFault {
    /// Its bytes can't be read.
    #[display("unreadable")]
    Unreadable,
    /// A field is missing, or of another type.
    #[display("a field is missing or of another type")]
    HalfARecord,
    /// A state that has no meaning here.
    #[display("an unknown state")]
    UnknownState,
}

/// A record in the source's own form. Daemons pass it on to each other without reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceRecord {
    /// Its key.
    pub key: String,
    /// The revision that wrote or removed it.
    pub revision: Revision,
    /// Its value; none: the record is gone.
    pub value: Option<Bytes>,
}

/// What a record says, and the revision that wrote it.
#[derive(Clone, Debug)]
pub(crate) struct ChangeAt {
    pub(crate) revision: Revision,
    pub(crate) change: Change,
}

/// Everything as it stands.
#[derive(Clone, Debug)]
pub struct FullState {
    /// Changes after this revision may be missing.
    pub at: Revision,
    /// All records.
    pub records: Vec<SourceRecord>,
}

/// What has changed.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Every change up to this revision is in; ask for those after it next.
    pub at: Revision,
    /// The records as they were written, oldest first.
    pub records: Vec<SourceRecord>,
}

/// Why a call of the source failed. The text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// No connection.
    #[display("not reached")]
    NotReached,
    /// No answer in time, or the connection broke.
    #[display("no answer")]
    NoAnswer,
    /// It refuses the call for now.
    #[display("refused")]
    Refused,
    /// The changes since the given revision are no longer there: read the full state.
    #[display("history lost")]
    HistoryLost,
    /// Its answer can't be read.
    #[display("unreadable answer")]
    Unreadable,
}

/// How far the reading of everything has come. The caller gives up where nothing comes, however much there is
/// to read.
#[derive(Debug, Default)]
pub struct ReadProgress {
    parts: AtomicU64,
}

impl ReadProgress {
    /// A part has come.
    pub fn on_part(&self) {
        self.parts.fetch_add(1, Ordering::Relaxed);
    }

    /// Parts that have come.
    pub(crate) fn parts(&self) -> u64 {
        self.parts.load(Ordering::Relaxed)
    }
}

/// A source of routes, customers and endpoints. Calls have no timeout of their own: the caller
/// drops them.
pub trait ControlSource: Send + Sync + 'static {
    /// Reads everything, and says each time that a part has come. What is read is at least as new as the moment
    /// of the call.
    ///
    /// # Errors
    /// [`SourceError`] when nothing was read.
    fn full_state(
        &self,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<FullState, SourceError>> + Send;

    /// Waits at most `wait` for changes after `after`. An answer without changes proves that there
    /// was none when the call was made.
    ///
    /// # Errors
    /// [`SourceError`]; [`SourceError::HistoryLost`] asks for the full state.
    fn changes(
        &self,
        after: Revision,
        wait: DurationMs,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// What a record says; none for one that the product doesn't use.
    fn decode(&self, record: &SourceRecord) -> Option<Change>;
}

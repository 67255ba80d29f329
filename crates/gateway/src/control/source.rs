//! Where routes, keys and endpoints come from.

use crate::control::routing::RoutingTable;
use crate::endpoints::directory::EndpointRecord;
use bridgevane_types::{DurationMs, EndpointId};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;
use std::sync::Arc;

/// The counter that every change of the source raises.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// One thing that the source tells.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration version.
    Routing(Arc<RoutingTable>),
    /// An endpoint, as its record stands.
    Endpoint(EndpointRecord),
    /// An endpoint's record is gone.
    EndpointGone(EndpointId),
    /// A record that can't be read; it is passed over.
    Unreadable(&'static str),
}

/// A record in the source's own form. Daemons pass it on to each other without reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceRecord {
    /// Its key.
    pub key: String,
    /// The revision that made it.
    pub revision: Revision,
    /// Its value; none: the record is gone.
    pub value: Option<Bytes>,
}

/// A change and the revision that made it.
#[derive(Clone, Debug)]
pub struct ChangeAt {
    /// The revision.
    pub revision: Revision,
    /// The change.
    pub change: Change,
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
    /// Go on from here.
    pub at: Revision,
    /// The records as they were written, oldest first.
    pub records: Vec<SourceRecord>,
}

/// Why a call of the source failed.
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

/// A source of routes, keys and endpoints.
pub trait ControlSource: Send + Sync + 'static {
    /// Reads everything. What is read is at least as new as the moment of the call.
    fn full_state(&self) -> impl Future<Output = Result<FullState, SourceError>> + Send;

    /// Waits at most `wait` for changes after `after`. An answer without changes proves that
    /// there was none when the call was made.
    fn changes(
        &self,
        after: Revision,
        wait: DurationMs,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;

    /// What a record says; none for one that the product doesn't read.
    fn read(&self, record: &SourceRecord) -> Option<Change>;
}

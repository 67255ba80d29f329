//! The order of the records of one endpoint.

use crate::control::source::Revision;
use crate::endpoints::endpoint::EndpointRecord;
use bridgevane_types::WallTimeMs;

/// The position of a record among all records that its endpoint wrote. Records of a newer
/// incarnation come after all records of an older one, whenever these arrive at the source. Within
/// an incarnation the process's own sequence decides, then the source's revision. A missing field
/// counts as the earliest, so records without these fields are ordered by revision alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordOrder {
    started_at: Option<WallTimeMs>,
    sequence: Option<u64>,
    revision: Revision,
}

impl RecordOrder {
    pub(crate) fn from_record(record: &EndpointRecord, revision: Revision) -> Self {
        Self {
            started_at: record.started_at,
            // Without the start time, a restarted sequence can't be distinguished from an old one.
            sequence: record.started_at.and(record.sequence),
            revision,
        }
    }

    /// Returns whether this record is of a newer incarnation than the other one.
    pub(crate) fn is_newer_incarnation(&self, other: &Self) -> bool {
        self.started_at > other.started_at
    }
}

//! Which of two records of one endpoint is the later one.

use crate::control::source::Revision;
use crate::endpoints::endpoint::EndpointRecord;
use bridgevane_types::WallTimeMs;

/// Where a record stands among all that its endpoint ever wrote: a later life goes before all that an
/// earlier one wrote, whenever that arrives at the source; within a life what the process wrote later;
/// then the source's order. What isn't told counts as the earliest: such records go by the source's order
/// alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordOrder {
    born: Option<WallTimeMs>,
    sequence: Option<u64>,
    revision: Revision,
}

impl RecordOrder {
    pub(crate) fn of(record: &EndpointRecord, revision: Revision) -> Self {
        Self {
            born: record.born,
            // Without a birth a count that starts anew can't be told from an old one.
            sequence: record.born.and(record.sequence),
            revision,
        }
    }

    /// Whether it is of a later life than another.
    pub(crate) fn is_later_life(&self, other: &Self) -> bool {
        self.born > other.born
    }
}

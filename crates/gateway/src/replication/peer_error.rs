//! Why another daemon gave no usable answer.
//!
//! Both kinds of unreadable answers have the same text, which dashboards and log searches match.

use crate::replication::message::MessageError;
use derive_more::{Display, Error};

/// The error. Its text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The connection was refused.
    #[display("refused")]
    Refused,
    /// There was no answer in time.
    #[display("no answer")]
    NoAnswer,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The message isn't an answer to the poll or the report.
    #[display("unreadable answer")]
    Unreadable,
    /// The other daemon follows this one, directly or indirectly.
    #[display("circle")]
    Cycle,
    /// The records of the answer can't be used.
    #[display("unreadable answer")]
    BadRecords(MessageError),
}

//! Why another daemon gave no answer that can be used.
//!
//! Both kinds of unreadable answers have one text, which dashboards and log searches know.

use crate::replication::message::MessageError;
use derive_more::{Display, Error};

/// The error. Its text is the cause in logs and metrics.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// Nobody listens there.
    #[display("refused")]
    Refused,
    /// No answer in time.
    #[display("no answer")]
    NoAnswer,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The answer is no answer to the question.
    #[display("unreadable answer")]
    Unreadable,
    /// It follows this daemon, directly or not.
    #[display("circle")]
    Circle,
    /// The answer's records can't be used here.
    #[display("unreadable answer")]
    BadRecords(MessageError),
}

//! What became of a request, in the words that callers read.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is proved that no engine ran any part of it.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran, at least in part.
    #[display("ran")]
    Ran,
}

/// Why a request was refused or failed.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The latency target can't be met now.
    #[display("cannot_meet_target")]
    CannotMeetTarget,
    /// A bounded queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The customer's rate or concurrency limit is reached.
    #[display("customer_limit")]
    CustomerLimit,
    /// No engine can serve the request's model now.
    #[display("no_engine")]
    NoEngine,
    /// The engines find fault with the request.
    #[display("rejected")]
    Rejected,
    /// Engines have ended under the request, or under an equal one before.
    #[display("ends_engines")]
    EndsEngines,
    /// Attempts failed and no retry is left.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The call may not be repeated and its outcome isn't known.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The VM is leaving and takes no new work.
    #[display("leaving")]
    Leaving,
}

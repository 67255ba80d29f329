//! The outcome of a request, as reported to clients.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No engine ran any part of the request; this is certain.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran, at least in part.
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
    /// An engine rejected the request as invalid.
    #[display("rejected")]
    Rejected,
    /// Engines crashed while they ran the request or an earlier request with the same fingerprint.
    #[display("ends_engines")]
    EndsEngines,
    /// Attempts failed and no retry is left.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The outcome of the call is unknown, and the call must not be repeated.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The VM is leaving and takes no new work.
    #[display("leaving")]
    Leaving,
}

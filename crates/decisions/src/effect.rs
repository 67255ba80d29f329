//! The effects of decisions.

use crate::index::EndpointIx;
use bridgevane_types::{AttemptNumber, DurationMs, Outcome, RefusalCode, RequestId, Tier, Tokens};
use derive_more::Display;

/// The reason for cancelling an attempt at its engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CancelCause {
    /// A request of a higher tier needs the slot; the cancelled one goes back to its queue.
    #[display("preempted")]
    Preempted,
    /// The engine is slow or silent; the request goes back to its queue.
    #[display("moved")]
    Moved,
    /// The caller disconnected; the request is over.
    #[display("caller_gone")]
    CallerGone,
}

/// An effect for the daemon to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an attempt to an engine.
    Dispatch {
        /// The request to send.
        request: RequestId,
        /// The number of the new attempt.
        attempt: AttemptNumber,
        /// The engine that has to run the attempt.
        engine: EndpointIx,
        /// The priority inside the engine.
        priority: Tier,
        /// The number of answer tokens known to be delivered, from which the answer resumes.
        resume_from: Tokens,
        /// The number of prompt tokens expected in the engine's prefix cache.
        cached_tokens: Tokens,
    },
    /// Cancel an attempt at its engine; later output of the attempt is dropped.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt to cancel.
        attempt: AttemptNumber,
        /// The engine that runs the attempt.
        engine: EndpointIx,
        /// The reason for cancelling.
        cause: CancelCause,
    },
    /// Refuse a request: this is its final answer.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// The reason, as reported to the caller.
        code: RefusalCode,
        /// Whether the request ran.
        outcome: Outcome,
        /// The time after which a retry makes sense; `None` advises against a retry.
        retry_after_ms: Option<DurationMs>,
    },
}

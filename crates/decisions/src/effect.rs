//! What a decision asks for.

use crate::index::EndpointIx;
use bridgevane_types::{AttemptNumber, DurationMs, Outcome, RefusalCode, RequestId, Tier, Tokens};
use derive_more::Display;

/// Why an attempt is taken from its engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CancelCause {
    /// Work of a higher tier needs the slot; the request goes back to its queue.
    #[display("preempted")]
    Preempted,
    /// The engine is slow or silent; the request goes back to its queue.
    #[display("moved")]
    Moved,
    /// The caller is gone; the request is over.
    #[display("caller_gone")]
    CallerGone,
}

/// An effect for the daemon to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an attempt to an engine.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: EndpointIx,
        /// Priority inside the engine.
        priority: Tier,
        /// Tokens that were delivered, as far as is known here.
        resume_from: Tokens,
        /// Prompt tokens that are expected in its prefix cache.
        cached_tokens: Tokens,
    },
    /// Cancel an attempt at its engine; its later pieces are dropped.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: EndpointIx,
        /// Why.
        cause: CancelCause,
    },
    /// Give the caller its final answer now.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: RefusalCode,
        /// Whether it ran.
        outcome: Outcome,
        /// When coming back makes sense.
        retry_after_ms: Option<DurationMs>,
    },
}

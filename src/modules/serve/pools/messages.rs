//! The messages between a request and the pool that decides on it, on this daemon or another.

use crate::modules::serve::pools::endpoint_link::EndpointLink;
use bridgevane_decisions::{AttemptEnd, CancelCause};
use bridgevane_types::{
    AttemptNumber, ClassName, CustomerId, DurationMs, KindName, Outcome, RefusalCode,
    RequestFingerprint, RequestId, ServiceName, Tier, Tokens,
};
use std::sync::Arc;

/// The retry time of a request that found no pool, no engine or a full queue: configurations and
/// queues change within seconds.
pub(crate) const RETRY_SOON: DurationMs = DurationMs(1_000);

/// A request that is offered to a pool, with names in place of the pool's indexes.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedOffer {
    /// The pool's service.
    pub service: ServiceName,
    /// The request's id.
    pub request: RequestId,
    /// The service class.
    pub class: ClassName,
    /// The customer.
    pub customer: CustomerId,
    /// The request kind.
    pub kind: KindName,
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The maximum length of the answer.
    pub max_tokens: Tokens,
    /// The hashes of the prompt's prefixes, one per block.
    pub blocks: Vec<u64>,
    /// The number of prompt tokens per block.
    pub block_tokens: u32,
    /// The fingerprint that equal requests share; `None` if the daemon that sent the offer doesn't
    /// send fingerprints.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether the request may be sent again when its outcome isn't known.
    pub is_repeatable: bool,
    /// Whether a running attempt may be cancelled and resumed.
    pub is_preemptible: bool,
}

/// An order of a pool to a request.
#[derive(Clone, Debug)]
pub enum PoolOrder {
    /// Starts an attempt at an engine.
    Dispatch {
        /// The number of the attempt to start.
        attempt: AttemptNumber,
        /// The link to the engine.
        engine: Arc<EndpointLink>,
        /// The priority inside the engine.
        priority: Tier,
        /// The number of prompt tokens that are expected in the engine's prefix cache.
        cached_tokens: Tokens,
    },
    /// Cancels the attempt; the request waits for the next order.
    Cancel {
        /// The number of the attempt to cancel.
        attempt: AttemptNumber,
        /// The reason of the cancellation.
        cause: CancelCause,
    },
    /// Ends the request with a refusal.
    Refuse {
        /// The refusal's code.
        code: RefusalCode,
        /// Whether the request ran.
        outcome: Outcome,
        /// The time after which the caller may send the request again; `None`: client libraries must
        /// not retry by themselves.
        retry_after_ms: Option<DurationMs>,
    },
}

/// A report of a request to its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolReport {
    /// The attempt's first token has arrived.
    FirstToken(AttemptNumber),
    /// The number of tokens delivered, and the time between the last two tokens.
    Progress(AttemptNumber, Tokens, DurationMs),
    /// The attempt has ended.
    Finished(AttemptNumber, AttemptEnd),
}

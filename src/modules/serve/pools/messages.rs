//! What passes between a request and the pool that decides on it, wherever the pool is.

use crate::modules::serve::pools::endpoint_link::EndpointLink;
use bridgevane_decisions::{AttemptEnd, CancelCause};
use bridgevane_types::{
    AttemptNumber, ClassName, CustomerId, DurationMs, KindName, Outcome, RefusalCode,
    RequestFingerprint, RequestId, ServiceName, Tier, Tokens,
};
use std::sync::Arc;

/// When a caller may come back whose request found no pool, no engine or a full queue. Not
/// measured, chosen because a configuration or a queue changes within seconds.
pub(crate) const RETRY_SOON: DurationMs = DurationMs(1_000);

/// A request that asks a pool to be served, by names.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedOffer {
    /// The pool's service.
    pub service: ServiceName,
    /// The request.
    pub request: RequestId,
    /// Class.
    pub class: ClassName,
    /// Customer.
    pub customer: CustomerId,
    /// Kind.
    pub kind: KindName,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The longest answer.
    pub max_tokens: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Prompt tokens that one block stands for.
    pub block_tokens: u32,
    /// What it has in common with equal requests; none: a daemon that doesn't say it.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether it may be sent again when its outcome isn't known.
    pub is_repeatable: bool,
    /// Whether a running attempt may be cancelled and resumed.
    pub is_preemptible: bool,
}

/// What a pool tells a request to do.
#[derive(Clone, Debug)]
pub enum PoolOrder {
    /// Send an attempt to an engine.
    Dispatch {
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: Arc<EndpointLink>,
        /// Priority inside the engine.
        priority: Tier,
        /// Prompt tokens that are expected in its prefix cache.
        cached_tokens: Tokens,
    },
    /// Cancel the attempt and wait for the next order.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        cause: CancelCause,
    },
    /// Give the final answer now.
    Refuse {
        /// Why.
        code: RefusalCode,
        /// Whether it ran.
        outcome: Outcome,
        /// When to come back.
        retry_after_ms: Option<DurationMs>,
    },
}

/// What a request tells its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolReport {
    /// The attempt's first token came.
    FirstToken(AttemptNumber),
    /// The attempt has delivered so many tokens, the last one so long after the one before.
    Progress(AttemptNumber, Tokens, DurationMs),
    /// The attempt ended.
    Finished(AttemptNumber, AttemptEnd),
}

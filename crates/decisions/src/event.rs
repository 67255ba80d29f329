//! The events that a pool reacts to.

use crate::context::PoolContext;
use crate::decision_log::DecisionLog;
use crate::index::{ClassIx, CustomerIx, EndpointIx, KindIx};
use bridgevane_types::{AttemptNumber, DurationMs, RequestFingerprint, RequestId, Tokens};

/// A request offered to a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The request's id, by which later events and effects name it.
    pub request: RequestId,
    /// The class, which sets the request's tier and targets.
    pub class: ClassIx,
    /// The customer whose limits and fair share apply.
    pub customer: CustomerIx,
    /// The kind, by which answer lengths are estimated.
    pub kind: KindIx,
    /// The number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// The maximum length of the answer in tokens.
    pub max_tokens: Tokens,
    /// Chained hashes of the prompt's blocks, shortest prefix first; some may be left out.
    pub blocks: Vec<u64>,
    /// The number of prompt tokens per entry of `blocks`.
    pub block_tokens: u32,
    /// The fingerprint that identical requests share; `None` if unknown.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether the request may be sent again when the outcome of an attempt is unknown.
    pub is_repeatable: bool,
    /// Whether a running attempt may be cancelled and resumed elsewhere.
    pub is_preemptible: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete, with this many tokens.
    Done(Tokens),
    /// The engine could not be reached: nothing ran.
    NotReached,
    /// The engine accepts no requests at the moment: nothing ran.
    Unavailable,
    /// The engine rejected the request as invalid: nothing ran, and every engine would reject it.
    Rejected,
    /// The attempt broke off before the answer was complete; it may have run.
    Lost {
        /// The number of tokens that reached the caller.
        delivered: Tokens,
    },
    /// The attempt broke off, and the engine refuses connections: its process has crashed.
    EngineCrashed {
        /// The number of tokens that reached the caller.
        delivered: Tokens,
    },
    /// The caller disconnected.
    CallerGone,
}

/// The decisions of a pool. The product's implementation is [`crate::Pool`]; benchmarks compare
/// it with others.
pub trait Scheduler {
    /// Handles a new request.
    fn offer<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, offer: Offer);

    /// Handles the first token of an attempt.
    fn first_token<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    );

    /// Handles progress: the answer has `delivered` tokens, the last one `gap_ms` after the one
    /// before.
    fn progress<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        delivered: Tokens,
        gap_ms: DurationMs,
    );

    /// Handles the end of an attempt.
    fn attempt_ended<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    );

    /// Handles a load report: `busy` requests ran or waited at the engine `age_ms` ago.
    fn load_report<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine: EndpointIx,
        busy: u32,
        age_ms: DurationMs,
    );

    /// Handles the passing of time.
    fn tick<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>);
}

//! The events that a pool decides on.

use crate::context::PoolContext;
use crate::decision_log::DecisionLog;
use crate::index::{ClassIx, CustomerIx, EndpointIx, KindIx};
use bridgevane_types::{AttemptNumber, DurationMs, RequestFingerprint, RequestId, Tokens};

/// A request that asks to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassIx,
    /// Its customer.
    pub customer: CustomerIx,
    /// Its kind.
    pub kind: KindIx,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The longest answer.
    pub max_tokens: Tokens,
    /// Chained hashes of the prompt's blocks, shortest prefix first; may be thinned out.
    pub blocks: Vec<u64>,
    /// Prompt tokens that one entry of `blocks` stands for.
    pub block_tokens: u32,
    /// What it has in common with equal requests; none: it isn't known.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether an attempt may be sent again when its outcome isn't known.
    pub is_repeatable: bool,
    /// Whether a running attempt may be cancelled and resumed.
    pub is_preemptible: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole, with this many tokens.
    Done(Tokens),
    /// The engine was not reached: nothing ran.
    NotReached,
    /// The engine takes no work now: nothing ran.
    Unavailable,
    /// The engine finds fault with the request: nothing ran, and no engine would run it.
    Rejected,
    /// The attempt broke off; it may have run.
    Lost {
        /// Tokens that reached the caller.
        delivered: Tokens,
    },
    /// The same, and the engine takes no connection any more: it has ended.
    EngineEnded {
        /// Tokens that reached the caller.
        delivered: Tokens,
    },
    /// The caller went away.
    CallerGone,
}

/// A way to decide for a pool. The product has one, [`crate::Pool`]; benchmarks have others
/// to compare it with.
pub trait Policy {
    /// A request asks to be served.
    fn offer<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, offer: Offer);

    /// An attempt's first token came.
    fn first_token<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    );

    /// An attempt has delivered this many tokens of the answer, the last one `gap_ms` after the
    /// one before.
    fn progress<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        delivered: Tokens,
        gap_ms: DurationMs,
    );

    /// An attempt ended.
    fn finished<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    );

    /// An engine reported its load: requests that run or wait there, as of `age_ms` ago.
    fn load_report<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine: EndpointIx,
        busy: u32,
        age_ms: DurationMs,
    );

    /// Time has passed.
    fn tick<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>);
}

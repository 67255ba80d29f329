//! The log of decisions. `explain request` reads it, and so does the checker of guarantees in
//! tests and in the demo.

use crate::effect::CancelCause;
use crate::index::{ClassIx, EndpointIx};
use bridgevane_types::{
    AttemptNumber, DurationMs, Outcome, RefusalCode, RequestId, Tier, TimeMs, Tokens,
};
use derive_more::Display;
use std::collections::VecDeque;

/// One decision.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Decision {
    /// A request was offered to the pool.
    #[display("{request} of class {class}, tier {tier}, asks to be served")]
    Offered {
        /// The offered request.
        request: RequestId,
        /// The request's class.
        class: ClassIx,
        /// The tier of that class.
        tier: Tier,
        /// Whether the request may be sent again after an unknown outcome.
        is_repeatable: bool,
        /// Whether the request can be preempted.
        is_preemptible: bool,
    },
    /// The request waits in its queue.
    #[display("{request} waits, first token expected in {expected_ms} ms")]
    Queued {
        /// The waiting request.
        request: RequestId,
        /// The expected time to first token.
        expected_ms: DurationMs,
    },
    /// An attempt was sent to an engine.
    #[display(
        "{request} attempt {attempt} goes to engine {engine}, {cached_tokens} tokens cached there"
    )]
    Dispatched {
        /// The dispatched request.
        request: RequestId,
        /// The number of the new attempt.
        attempt: AttemptNumber,
        /// The engine that has to run the attempt.
        engine: EndpointIx,
        /// The number of prompt tokens expected in the engine's prefix cache.
        cached_tokens: Tokens,
        /// Whether the attempt can't be preempted: it uses its class's guaranteed share, or the
        /// class's longest wait was reached.
        is_protected: bool,
    },
    /// An attempt was cancelled at its engine.
    #[display("{request} attempt {attempt} is cancelled at its engine: {cause}")]
    Cancelled {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the cancelled attempt.
        attempt: AttemptNumber,
        /// The reason for cancelling.
        cause: CancelCause,
        /// The tier that gets the slot, if preempted.
        for_tier: Option<Tier>,
    },
    /// An attempt ended without a complete answer.
    #[display("{request} attempt {attempt} was lost; may have run: {may_have_run}")]
    Lost {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the lost attempt.
        attempt: AttemptNumber,
        /// Whether the attempt may have run.
        may_have_run: bool,
    },
    /// An engine came into use or went out of use. Its slots count only while it is active and not
    /// drained.
    #[display("engine {engine} is in use: {is_in_use}")]
    EngineUse {
        /// The engine whose use changed.
        engine: EndpointIx,
        /// Whether its slots can be given to requests.
        is_in_use: bool,
    },
    /// The answer is complete.
    #[display("{request} attempt {attempt} is done, {tokens} tokens")]
    Done {
        /// The answered request.
        request: RequestId,
        /// The number of the attempt that completed the answer.
        attempt: AttemptNumber,
        /// The length of the answer.
        tokens: Tokens,
    },
    /// The request was refused: this is its final answer.
    #[display("{request} is refused: {code}, {outcome}")]
    Refused {
        /// The refused request.
        request: RequestId,
        /// The reason, as reported to the caller.
        code: RefusalCode,
        /// Whether the request ran.
        outcome: Outcome,
    },
}

impl Decision {
    /// Returns the request that the decision is about; `None` for decisions about engines.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::EngineUse { .. } => None,
            Self::Offered { request, .. }
            | Self::Queued { request, .. }
            | Self::Dispatched { request, .. }
            | Self::Cancelled { request, .. }
            | Self::Lost { request, .. }
            | Self::Done { request, .. }
            | Self::Refused { request, .. } => Some(*request),
        }
    }
}

/// A decision with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{at} ms: {decision}")]
pub struct DecisionRecord {
    /// The time of the decision.
    pub at: TimeMs,
    /// The decision.
    pub decision: Decision,
}

/// A sink for decisions.
pub trait DecisionLog {
    /// Adds a record.
    fn record(&mut self, record: DecisionRecord);
}

/// A log that discards all records.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLog;

impl DecisionLog for NoLog {
    fn record(&mut self, _record: DecisionRecord) {}
}

/// A log that keeps the latest records, up to a maximum.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: VecDeque<DecisionRecord>,
    max_records: usize,
}

impl Recorder {
    /// Creates a log that keeps at most `max_records`.
    pub fn new(max_records: usize) -> Self {
        Self {
            records: VecDeque::new(),
            max_records,
        }
    }

    /// Returns the records, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.records.iter()
    }

    /// Returns the records about `request`, oldest first.
    pub fn for_request(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.records()
            .filter(|record| record.decision.request() == Some(request))
            .copied()
            .collect()
    }
}

impl DecisionLog for Recorder {
    fn record(&mut self, record: DecisionRecord) {
        if self.records.len() >= self.max_records {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }
}

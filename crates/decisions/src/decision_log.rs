//! The log of decisions, which `explain request` reads, and the checker of promises in tests and
//! the demo.

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
    /// A request asked to be served.
    #[display("{request} of class {class}, tier {tier}, asks to be served")]
    Offered {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassIx,
        /// Its tier.
        tier: Tier,
        /// Whether it may be sent again after an unknown outcome.
        is_repeatable: bool,
        /// Whether it can be preempted.
        is_preemptible: bool,
    },
    /// It waits.
    #[display("{request} waits, first token expected in {expected_ms} ms")]
    Queued {
        /// The request.
        request: RequestId,
        /// Expected time to first token.
        expected_ms: DurationMs,
    },
    /// An attempt was sent.
    #[display(
        "{request} attempt {attempt} goes to engine {engine}, {cached_tokens} tokens cached there"
    )]
    Dispatched {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: EndpointIx,
        /// Prompt tokens that are expected in its prefix cache.
        cached_tokens: Tokens,
        /// Whether it runs on its class's guaranteed part.
        is_protected: bool,
    },
    /// An attempt was taken back.
    #[display("{request} attempt {attempt} is cancelled at its engine: {cause}")]
    Cancelled {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        cause: CancelCause,
        /// The tier that it made room for, when preempted.
        for_tier: Option<Tier>,
    },
    /// An attempt ended without a whole answer.
    #[display("{request} attempt {attempt} was lost; may have run: {may_have_run}")]
    Lost {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether any of it may have run.
        may_have_run: bool,
    },
    /// An engine's use changed: its slots count only while it is active and not drained.
    #[display("engine {engine} is in use: {is_in_use}")]
    EngineUse {
        /// The engine.
        engine: EndpointIx,
        /// Whether its slots can be given to other work.
        is_in_use: bool,
    },
    /// The answer is whole.
    #[display("{request} attempt {attempt} is done, {tokens} tokens")]
    Done {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The answer's length.
        tokens: Tokens,
    },
    /// The caller got its final answer.
    #[display("{request} is refused: {code}, {outcome}")]
    Refused {
        /// The request.
        request: RequestId,
        /// Why.
        code: RefusalCode,
        /// Whether it ran.
        outcome: Outcome,
    },
}

impl Decision {
    /// The request that it is about; none: it is about an engine.
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

/// A decision with its moment.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{at} ms: {decision}")]
pub struct DecisionRecord {
    /// When.
    pub at: TimeMs,
    /// What.
    pub decision: Decision,
}

/// Where decisions go.
pub trait DecisionLog {
    /// Takes a record.
    fn record(&mut self, record: DecisionRecord);
}

/// Keeps nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLog;

impl DecisionLog for NoLog {
    fn record(&mut self, _record: DecisionRecord) {}
}

/// Keeps the latest records, up to a bound.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: VecDeque<DecisionRecord>,
    max_records: usize,
}

impl Recorder {
    /// Keeps at most `max_records`.
    pub fn new(max_records: usize) -> Self {
        Self {
            records: VecDeque::new(),
            max_records,
        }
    }

    /// The records, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.records.iter()
    }

    /// The records about `request`.
    pub fn about(&self, request: RequestId) -> Vec<DecisionRecord> {
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

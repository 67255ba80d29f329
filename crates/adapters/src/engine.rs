//! The interface of a model engine: generation, load reports, cache events and fenced orders.

use bridgevane_types::{
    AttemptNumber, DurationMs, FenceToken, ModelName, RequestId, Slots, Tier, Tokens,
};
use derive_more::{Display, Error};
use futures_util::Stream;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// A call that generates an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// The request, as text on the wire.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// The number of the attempt, which each piece of the answer repeats.
    pub attempt: AttemptNumber,
    /// The priority; 0 is the highest.
    pub priority: Tier,
    /// The model that generates the answer.
    pub model: ModelName,
    /// The text of the prompt.
    pub prompt: String,
    /// The maximum length of the answer.
    pub max_tokens: Tokens,
    /// The number of tokens that were delivered already; generation continues after them.
    pub resume_from: Tokens,
    /// The text of the tokens that were delivered already.
    pub delivered_text: String,
}

/// Serialises a request's identifier as text.
mod request_text {
    use bridgevane_types::RequestId;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(id: &RequestId, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(id)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<RequestId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A part of an answer: one token or the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The request that the piece belongs to.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// The attempt that the piece belongs to.
    pub attempt: AttemptNumber,
    /// The number of tokens before the piece.
    pub offset: Tokens,
    /// The piece's content.
    pub event: PieceEvent,
}

/// The content of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceEvent {
    /// The text of one token.
    Token(String),
    /// The answer is complete.
    End(EndReason),
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended the answer.
    #[display("stop")]
    Stop,
    /// The maximum length was reached.
    #[display("length")]
    Length,
}

/// Why a call of an engine failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EngineCallError {
    /// No connection was made: nothing ran.
    #[display("the engine was not reached")]
    NotReached,
    /// The engine takes no work at present: nothing ran.
    #[display("the engine takes no work now")]
    Unavailable,
    /// The request is invalid: nothing ran, and every engine would reject it.
    #[display("the engine rejected the request")]
    Rejected,
    /// The connection ended before the answer was complete, or the engine failed.
    #[display("the engine's answer ended early")]
    EndedEarly,
    /// The engine's answer can't be decoded.
    #[display("the engine's answer can't be read")]
    Malformed,
    /// The engine doesn't support the call.
    #[display("the engine doesn't support the call")]
    Unsupported,
}

/// An engine's load at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The report's age when it is sent.
    pub age_ms: DurationMs,
    /// Sequence number, which increases with each report.
    pub sequence: u64,
    /// The number of requests that are running.
    pub running: Slots,
    /// The number of requests that wait inside the engine.
    pub waiting: Slots,
    /// The number of requests that the engine can run at the same time.
    pub slots: Slots,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event; a larger step means lost events.
    pub sequence: u64,
    /// The hash of the chain of blocks that ends with the changed block.
    pub block: u64,
    /// The change of the block.
    pub change: CacheChange,
}

/// The change of a block in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing token; an endpoint that checks tokens refuses one lower than the highest it got.
    pub fence: FenceToken,
    /// The generation of the desired state; an endpoint keeps the state with the highest generation.
    pub generation: u64,
    /// The order.
    pub order: Order,
}

/// The desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model at a version.
    LoadModel {
        /// The model to load.
        model: ModelName,
        /// The model's version.
        model_version: u64,
        /// The ticket of the weight store.
        ticket: String,
    },
}

/// The answer of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine is in the ordered state.
    Done,
    /// The fencing token or generation is lower than one that the engine got before.
    Fenced,
}

/// A model engine.
pub trait ModelEngine: Send + Sync + 'static {
    /// The stream of the pieces of an answer.
    type Pieces: Stream<Item = Result<Piece, EngineCallError>> + Send + Unpin;

    /// Starts or resumes an answer.
    fn generate(
        &self,
        call: GenerateCall,
    ) -> impl Future<Output = Result<Self::Pieces, EngineCallError>> + Send;

    /// Cancels an attempt.
    fn cancel(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> impl Future<Output = Result<(), EngineCallError>> + Send;

    /// Reads the load report, which lags behind the current load.
    fn load(&self) -> impl Future<Output = Result<LoadReport, EngineCallError>> + Send;

    /// Reads the cache events after `sequence`.
    fn cache_events(
        &self,
        sequence: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, EngineCallError>> + Send;

    /// Sends a fenced order.
    fn order(
        &self,
        order: FencedOrder,
    ) -> impl Future<Output = Result<OrderReply, EngineCallError>> + Send;
}

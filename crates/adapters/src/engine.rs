//! What a model engine gives: generation, load reports, cache events, fenced orders.

use bridgevane_types::{
    AttemptNumber, DurationMs, FenceToken, ModelName, RequestId, Slots, Tier, Tokens,
};
use derive_more::{Display, Error};
use futures_util::Stream;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// A call to generate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// The request, as text on the wire.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// Which try it is.
    pub attempt: AttemptNumber,
    /// 0 is served first.
    pub priority: Tier,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The longest answer.
    pub max_tokens: Tokens,
    /// Tokens that were delivered already; generation goes on after them.
    pub resume_from: Tokens,
    /// The text of those tokens.
    pub delivered_text: String,
}

/// A request's identifier as text.
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

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The request that it belongs to.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// The attempt that it belongs to.
    pub attempt: AttemptNumber,
    /// Tokens before it.
    pub offset: Tokens,
    /// Content.
    pub event: PieceEvent,
}

/// What a piece says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceEvent {
    /// One token's text.
    Token(String),
    /// The answer is whole.
    End(EndReason),
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model was done.
    #[display("stop")]
    Stop,
    /// The longest length was reached.
    #[display("length")]
    Length,
}

/// Why a call of an engine failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EngineCallError {
    /// No connection was made: nothing ran.
    #[display("the engine was not reached")]
    NotReached,
    /// The engine takes no work now: nothing ran.
    #[display("the engine takes no work now")]
    Unavailable,
    /// The engine finds fault with the request: nothing ran, and no engine would run it.
    #[display("the engine rejected the request")]
    Rejected,
    /// The stream or answer broke off.
    #[display("the answer was cut")]
    Cut,
    /// The engine answered something that can't be read.
    #[display("the engine's answer can't be read")]
    Malformed,
    /// The engine can't do what was asked.
    #[display("the engine doesn't support the call")]
    Unsupported,
}

/// An engine's load, as of an earlier moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old the report is when it is given.
    pub age_ms: DurationMs,
    /// Rises with each report.
    pub sequence: u64,
    /// Requests that run.
    pub running: Slots,
    /// Requests that wait inside the engine.
    pub waiting: Slots,
    /// Requests that it can run.
    pub slots: Slots,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event; a jump is a gap.
    pub sequence: u64,
    /// The block, as the hash of the chain that ends with it.
    pub block: u64,
    /// What became of it.
    pub change: CacheChange,
}

/// What became of a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It is in the cache.
    Stored,
    /// It was dropped.
    Evicted,
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// An endpoint that checks refuses a lower token than any it has seen.
    pub fence: FenceToken,
    /// The generation of the desired state: an endpoint keeps the highest.
    pub generation: u64,
    /// The order.
    pub order: Order,
}

/// The state that an engine is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model at a version.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        model_version: u64,
        /// Ticket of the weight store.
        ticket: String,
    },
}

/// What an engine answers to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// It is, or already was, as ordered.
    Done,
    /// The fencing token or generation is older than one seen.
    Fenced,
}

/// A model engine.
pub trait ModelEngine: Send + Sync + 'static {
    /// The stream of an answer's pieces.
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

    /// Reads the lagged load report.
    fn load(&self) -> impl Future<Output = Result<LoadReport, EngineCallError>> + Send;

    /// Reads cache events after `sequence`.
    fn cache_events(
        &self,
        sequence: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, EngineCallError>> + Send;

    /// Gives a fenced order.
    fn order(
        &self,
        order: FencedOrder,
    ) -> impl Future<Output = Result<OrderReply, EngineCallError>> + Send;
}

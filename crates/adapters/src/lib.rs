//! Adapters to the platform, model engines and plain services.
//!
//! Each external system has one small trait. The HTTP adapters that implement these traits only
//! translate calls, answers and errors.

mod counted_connector;
mod engine;
mod http_client;
mod http_engine;
mod http_plain;
mod http_platform;
mod plain;
mod platform;

pub use engine::{
    CacheChange, CacheEvent, EndReason, EngineCallError, FencedOrder, GenerateCall, LoadReport,
    ModelEngine, Order, OrderReply, Piece, PieceEvent,
};
pub use http_client::{HttpClient, HttpError};
pub use http_engine::HttpEngine;
pub use http_plain::HttpPlainService;
pub use http_platform::HttpPlatform;
pub use plain::{PlainAnswer, PlainCall, PlainCallError, PlainService};
pub use platform::{
    KeyValue, KvCas, KvError, KvLease, KvRevision, KvValue, LeaseId, VmEntry, VmList, WeightStore,
};

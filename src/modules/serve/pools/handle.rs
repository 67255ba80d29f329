//! The handle of a pool: the messages that its task receives, and the views that it returns.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::pools::messages::{NamedOffer, PoolReport};
use crate::modules::serve::pools::orders::OrderSender;
use bridgevane_adapters::CacheEvent;
use bridgevane_decisions::{ClassView, DecisionRecord, EngineView, RequestView};
use bridgevane_types::{AttemptNumber, DurationMs, EndpointId, RequestId, Tokens};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of messages that wait for a pool; when it is reached, callers are refused. It
/// is above the 10,000 requests in flight of docs/CAPACITY.md.
pub(crate) const MAX_MESSAGES: usize = 16_384;

/// A message to a pool's task.
pub enum PoolMessage {
    /// A request is offered to the pool.
    Offer(Box<NamedOffer>, OrderSender),
    /// A request reports its progress or end.
    Report(RequestId, PoolReport),
    /// The pool takes over a request that already runs.
    Adopt {
        /// The request.
        offer: Box<NamedOffer>,
        /// The engine that runs it.
        engine: EndpointId,
        /// The running attempt.
        attempt: AttemptNumber,
        /// The number of tokens delivered so far.
        delivered: Tokens,
        /// The sender of the pool's orders to the request.
        orders: OrderSender,
    },
    /// An engine's load, as of `age_ms` ago.
    Load {
        /// The engine.
        engine: EndpointId,
        /// The number of requests that run or wait at the engine.
        busy: u32,
        /// The age of the report.
        age_ms: DurationMs,
    },
    /// An engine's prefix cache has changed.
    Cache(EndpointId, Vec<CacheEvent>),
    /// A new configuration is in force.
    Reconfigure(Arc<InForce>),
    /// The daemon that offered a request is gone; the number is the id of its connection.
    OriginLost(RequestId, u64),
    /// An operator asks for the pool's state.
    View(oneshot::Sender<PoolView>),
    /// An operator asks for all recorded decisions.
    Decisions(oneshot::Sender<Vec<DecisionRecord>>),
    /// An operator asks for the decisions about a request.
    Explain(RequestId, oneshot::Sender<Vec<DecisionRecord>>),
}

/// The state of a pool as operators see it.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// The requests in flight.
    pub requests: Vec<RequestView>,
    /// The pool's engines.
    pub engines: Vec<EngineView>,
    /// The service classes.
    pub classes: Vec<ClassView>,
}

/// A handle that sends messages to a pool's task.
#[derive(Clone)]
pub struct PoolHandle {
    pub(crate) messages: mpsc::Sender<PoolMessage>,
}

impl PoolHandle {
    /// Offers a request; false when the pool's message queue is full.
    pub fn offer(&self, offer: NamedOffer, orders: OrderSender) -> bool {
        let message = PoolMessage::Offer(Box::new(offer), orders);
        self.messages.try_send(message).is_ok()
    }

    /// Reports on a request. Waits while the queue is full, since reports must not be lost.
    pub async fn report(&self, request: RequestId, report: PoolReport) {
        // A pool ends only with the daemon.
        let _ = self
            .messages
            .send(PoolMessage::Report(request, report))
            .await;
    }

    /// Sends any other message. Waits while the queue is full.
    pub async fn send(&self, message: PoolMessage) {
        let _ = self.messages.send(message).await;
    }

    /// Sends a new configuration to the pool, without waiting.
    pub(crate) fn reconfigure(&self, in_force: Arc<InForce>) {
        let messages = self.messages.clone();
        tokio::spawn(async move {
            // A pool that has ended needs no configuration.
            let _ = messages.send(PoolMessage::Reconfigure(in_force)).await;
        });
    }

    /// Returns the pool's state; `None` when the pool has ended.
    pub async fn view(&self) -> Option<PoolView> {
        let (sender, receiver) = oneshot::channel();
        // A pool that has ended has no state.
        self.messages.send(PoolMessage::View(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Returns all recorded decisions; empty when the pool has ended.
    pub async fn decisions(&self) -> Vec<DecisionRecord> {
        let (sender, receiver) = oneshot::channel();
        let message = PoolMessage::Decisions(sender);
        if self.messages.send(message).await.is_err() {
            return Vec::new();
        }
        // A pool that ends meanwhile has no decisions left.
        receiver.await.unwrap_or_default()
    }

    /// Returns the recorded decisions about a request; empty when the pool has ended.
    pub async fn explain(&self, request: RequestId) -> Vec<DecisionRecord> {
        let (sender, receiver) = oneshot::channel();
        let message = PoolMessage::Explain(request, sender);
        if self.messages.send(message).await.is_err() {
            return Vec::new();
        }
        // A pool that ends meanwhile has no decisions left.
        receiver.await.unwrap_or_default()
    }
}

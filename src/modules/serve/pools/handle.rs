//! A pool's mailbox: the messages that its task takes, and the views that it answers with.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::pools::messages::{NamedOffer, PoolReport};
use crate::modules::serve::pools::orders::OrderSender;
use bridgevane_adapters::CacheEvent;
use bridgevane_decisions::{ClassView, DecisionRecord, EngineView, RequestView};
use bridgevane_types::{AttemptNumber, DurationMs, EndpointId, RequestId, Tokens};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for a pool at most; beyond them a caller is refused. Chosen because it is
/// over the 10,000 requests in flight that were measured (docs/CAPACITY.md).
pub(crate) const MAX_MESSAGES: usize = 16_384;

/// A message to a pool's task.
pub enum PoolMessage {
    /// A request asks to be served.
    Offer(Box<NamedOffer>, OrderSender),
    /// A request reports.
    Report(RequestId, PoolReport),
    /// A request that already runs is taken over.
    Adopt {
        /// The request.
        offer: Box<NamedOffer>,
        /// Its engine.
        engine: EndpointId,
        /// Its attempt.
        attempt: AttemptNumber,
        /// Tokens delivered.
        delivered: Tokens,
        /// Where its orders go.
        orders: OrderSender,
    },
    /// An engine's load, as of `age_ms` ago.
    Load {
        /// The engine.
        engine: EndpointId,
        /// Requests there.
        busy: u32,
        /// Age of the report.
        age_ms: DurationMs,
    },
    /// Changes of an engine's prefix cache.
    Cache(EndpointId, Vec<CacheEvent>),
    /// A new configuration.
    Reconfigure(Arc<InForce>),
    /// The daemon that offered a request is gone; the number tells its connection.
    OriginLost(RequestId, u64),
    /// An operator looks.
    View(oneshot::Sender<PoolView>),
    /// All decisions that are remembered.
    Decisions(oneshot::Sender<Vec<DecisionRecord>>),
    /// An operator asks about a request.
    Explain(RequestId, oneshot::Sender<Vec<DecisionRecord>>),
}

/// What operators see of a pool.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// Requests in flight.
    pub requests: Vec<RequestView>,
    /// Engines.
    pub engines: Vec<EngineView>,
    /// Classes.
    pub classes: Vec<ClassView>,
}

/// The way to a pool.
#[derive(Clone)]
pub struct PoolHandle {
    pub(crate) messages: mpsc::Sender<PoolMessage>,
}

impl PoolHandle {
    /// Offers a request; false when the pool has more messages than it can take.
    pub fn offer(&self, offer: NamedOffer, orders: OrderSender) -> bool {
        let message = PoolMessage::Offer(Box::new(offer), orders);
        self.messages.try_send(message).is_ok()
    }

    /// Reports on a request. Reports must not get lost, so this waits for room.
    pub async fn report(&self, request: RequestId, report: PoolReport) {
        // A pool ends only with the daemon.
        let _ = self
            .messages
            .send(PoolMessage::Report(request, report))
            .await;
    }

    /// Sends any other message, waiting for room.
    pub async fn send(&self, message: PoolMessage) {
        let _ = self.messages.send(message).await;
    }

    /// Tells the pool a new configuration.
    pub(crate) fn reconfigure(&self, in_force: Arc<InForce>) {
        let messages = self.messages.clone();
        tokio::spawn(async move {
            // The pool has ended: it needs no configuration.
            let _ = messages.send(PoolMessage::Reconfigure(in_force)).await;
        });
    }

    /// What operators see.
    pub async fn view(&self) -> Option<PoolView> {
        let (sender, receiver) = oneshot::channel();
        // A pool that has ended shows nothing.
        self.messages.send(PoolMessage::View(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// All decisions that are remembered; none when the pool has ended.
    pub async fn decisions(&self) -> Vec<DecisionRecord> {
        let (sender, receiver) = oneshot::channel();
        let message = PoolMessage::Decisions(sender);
        if self.messages.send(message).await.is_err() {
            return Vec::new();
        }
        // A pool that ends meanwhile has no decisions left.
        receiver.await.unwrap_or_default()
    }

    /// The decisions about a request.
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

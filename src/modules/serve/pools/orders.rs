//! The channel of a pool's orders to a request, on this daemon or the one that received the
//! request.

use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::pools::messages::PoolOrder;
use crate::modules::serve::pools::wire::order_to_wire;
use bridgevane_types::RequestId;
use tokio::sync::mpsc;

/// Sends a pool's orders for one request, to its task on this daemon or to the daemon that received
/// the request.
#[derive(Clone, Debug)]
pub enum OrderSender {
    /// The request runs on this daemon.
    Local(mpsc::UnboundedSender<PoolOrder>),
    /// The request was received by another daemon.
    Peer(RequestId, LinkHandle),
}

/// The origin of the requests that this daemon received itself. Connections are numbered from 0 and
/// never reach it.
const LOCAL_ORIGIN: u64 = u64::MAX;

impl OrderSender {
    /// Creates a sender to a task of this daemon.
    pub fn local(orders: mpsc::UnboundedSender<PoolOrder>) -> Self {
        Self::Local(orders)
    }

    /// Creates a sender to another daemon.
    pub fn peer(request: RequestId, link: LinkHandle) -> Self {
        Self::Peer(request, link)
    }

    /// Sends an order; false when the receiver is gone or its queue is full.
    pub fn send(&self, order: PoolOrder) -> bool {
        match self {
            Self::Local(orders) => orders.send(order).is_ok(),
            Self::Peer(request, link) => link.send(order_to_wire(*request, &order)),
        }
    }

    /// Returns the id of the connection that the request came by, or [`LOCAL_ORIGIN`].
    pub(crate) fn origin(&self) -> u64 {
        match self {
            Self::Local(_) => LOCAL_ORIGIN,
            Self::Peer(_, link) => link.id(),
        }
    }
}

/// The receiver of a request's orders. A pool sends a handful of orders per attempt.
pub(crate) type OrderReceiver = mpsc::UnboundedReceiver<PoolOrder>;

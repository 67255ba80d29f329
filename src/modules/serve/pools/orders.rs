//! Where a pool's orders go: to a request's task here, or to the daemon that it came in at.

use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::pools::messages::PoolOrder;
use crate::modules::serve::pools::wire::order_to_wire;
use bridgevane_types::RequestId;
use tokio::sync::mpsc;

/// Where a pool's orders for one request go: to a task here, or to the daemon that the
/// request came in at.
#[derive(Clone, Debug)]
pub enum OrderSender {
    /// A request of this daemon.
    Local(mpsc::UnboundedSender<PoolOrder>),
    /// A request of another daemon.
    Peer(RequestId, LinkHandle),
}

/// Origin of requests of this daemon. Chosen because connections are counted from 0.
const LOCAL_ORIGIN: u64 = u64::MAX;

impl OrderSender {
    /// Orders to a task of this daemon.
    pub fn local(orders: mpsc::UnboundedSender<PoolOrder>) -> Self {
        Self::Local(orders)
    }

    /// Orders to another daemon.
    pub fn peer(request: RequestId, link: LinkHandle) -> Self {
        Self::Peer(request, link)
    }

    /// Sends an order; false when nobody listens any more.
    pub fn send(&self, order: PoolOrder) -> bool {
        match self {
            Self::Local(orders) => orders.send(order).is_ok(),
            Self::Peer(request, link) => link.send(order_to_wire(*request, &order)),
        }
    }

    /// Tells apart where requests come from.
    pub(crate) fn origin(&self) -> u64 {
        match self {
            Self::Local(_) => LOCAL_ORIGIN,
            Self::Peer(_, link) => link.id(),
        }
    }
}

/// Where a request gets its orders. The pool sends a handful an attempt.
pub(crate) type OrderReceiver = mpsc::UnboundedReceiver<PoolOrder>;

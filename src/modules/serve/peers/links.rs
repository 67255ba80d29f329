//! The sending queues of the connections to other daemons.
//!
//! Owns the queues by address. Sending to an address without a connection requests one;
//! [`super::connections`] opens and serves it.

use bridgevane_protocol::{Frame, frame::Body};
use bridgevane_types::{DataCentreId, Incarnation, RequestId, ServiceName, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// The maximum number of frames that wait for one connection: one second of frames at the peak of
/// one daemon. Further frames are dropped; their senders send again or decide locally.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// The daemon at the other end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// The address that it listens on for other daemons.
    pub address: SocketAddr,
}

/// The sending side of a connection.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    frames: mpsc::Sender<Frame>,
    id: u64,
}

impl LinkHandle {
    /// Queues a frame; false when the connection has ended or its queue is full.
    pub fn send(&self, body: Body) -> bool {
        self.frames.try_send(Frame { body: Some(body) }).is_ok()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Returns the id of the connection, unique in this daemon.
    pub fn id(&self) -> u64 {
        self.id
    }
}

/// The open requests that the daemon at the other end has offered to this one.
pub(crate) type OpenOffers = HashMap<RequestId, ServiceName>;

/// A request to open a connection.
#[derive(Debug)]
pub struct Dial {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The sending side, which is already in use.
    pub link: LinkHandle,
    /// The queue of frames to send.
    pub frames: mpsc::Receiver<Frame>,
}

/// The connections that this daemon has opened, by address.
#[derive(Debug)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, LinkHandle>>,
    next_id: AtomicU64,
    dials: mpsc::UnboundedSender<Dial>,
}

impl PeerLinks {
    /// Creates an empty set of connections, and the receiver of the connections to open.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Dial>) {
        let (dials, requested) = mpsc::unbounded_channel();
        let links = Self {
            links: Mutex::default(),
            next_id: AtomicU64::new(0),
            dials,
        };
        (links, requested)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, LinkHandle>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the sending queue of a new connection.
    pub(super) fn new_link(&self) -> (LinkHandle, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        (LinkHandle { frames, id }, receiver)
    }

    /// Returns the connection to `address`, and requests one when there is none.
    pub fn link_to(&self, address: SocketAddr) -> LinkHandle {
        let mut links = self.lock();
        if let Some(link) = links.get(&address)
            && !link.is_closed()
        {
            return link.clone();
        }
        let (link, frames) = self.new_link();
        links.insert(address, link.clone());
        let dial = Dial {
            address,
            link: link.clone(),
            frames,
        };
        // Once the daemon ends no connections are opened; the queue is then closed, and sends fail.
        let _ = self.dials.send(dial);
        link
    }

    /// Removes a connection that has ended.
    pub(super) fn forget(&self, address: SocketAddr, link: &LinkHandle) {
        let mut links = self.lock();
        if links.get(&address).is_some_and(|known| known.id == link.id) {
            links.remove(&address);
        }
    }
}

//! Connections between daemons as others use them: a sending queue each, and the daemon at the
//! other end.
//!
//! Owns the queues by address. Whoever sends to an address without a connection asks for one;
//! [`super::connections`] dials it and serves it.

use bridgevane_protocol::{Frame, frame::Body};
use bridgevane_types::{DataCentreId, Incarnation, RequestId, ServiceName, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Frames that wait for one connection at most; beyond them frames are dropped, and what they were
/// for is sent again or decided here. Not measured, chosen because it is a second of frames at the
/// peak of one daemon.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// The daemon at the other end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The sending side of a connection.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    frames: mpsc::Sender<Frame>,
    id: u64,
}

impl LinkHandle {
    /// Sends a frame; false when the connection is gone or can't keep up.
    pub fn send(&self, body: Body) -> bool {
        self.frames.try_send(Frame { body: Some(body) }).is_ok()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Tells connections apart.
    pub fn id(&self) -> u64 {
        self.id
    }
}

/// Requests that the daemon at the other end has offered here.
pub(crate) type OpenOffers = HashMap<RequestId, ServiceName>;

/// A connection that is to be opened.
#[derive(Debug)]
pub struct Dial {
    /// Where to.
    pub address: SocketAddr,
    /// Its sending side, in use already.
    pub link: LinkHandle,
    /// The frames to send.
    pub frames: mpsc::Receiver<Frame>,
}

/// Connections that this daemon opened, by address.
#[derive(Debug)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, LinkHandle>>,
    next_id: AtomicU64,
    dials: mpsc::UnboundedSender<Dial>,
}

impl PeerLinks {
    /// No connections yet, and the connections that will be asked for.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Dial>) {
        let (dials, asked) = mpsc::unbounded_channel();
        let links = Self {
            links: Mutex::default(),
            next_id: AtomicU64::new(0),
            dials,
        };
        (links, asked)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, LinkHandle>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The two sides of a new connection's queue.
    pub(super) fn new_link(&self) -> (LinkHandle, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        (LinkHandle { frames, id }, receiver)
    }

    /// The connection to `address`; one is asked for when there is none.
    pub fn to(&self, address: SocketAddr) -> LinkHandle {
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
        // Nobody dials once the daemon ends; the queue is closed then, and its sender learns it.
        let _ = self.dials.send(dial);
        link
    }

    /// A connection has ended.
    pub(super) fn forget(&self, address: SocketAddr, link: &LinkHandle) {
        let mut links = self.lock();
        if links.get(&address).is_some_and(|known| known.id == link.id) {
            links.remove(&address);
        }
    }
}

//! Connections between daemons: greeted, framed, one sending queue each.

use crate::modules::serve::context::Context;
use crate::modules::serve::peers::frames;
use bridgevane_events::{Event, event};
use bridgevane_protocol::{Frame, FrameCodec, Hello, PROTOCOL_VERSION, Role, frame::Body, greet};
use bridgevane_types::{DataCentreId, Incarnation, RequestId, ServiceName, VmId};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Frames that wait for one connection at most; beyond them frames are dropped, and what
/// they were for is repeated or falls back.
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
pub type OpenOffers = HashMap<RequestId, ServiceName>;

/// Connections that this daemon opened, by address.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, LinkHandle>>,
    next_id: AtomicU64,
}

impl PeerLinks {
    fn new_link(&self) -> (LinkHandle, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        (LinkHandle { frames, id }, receiver)
    }

    /// The connection to `address`, opened when there is none.
    pub fn to(&self, context: &Arc<Context>, address: SocketAddr) -> LinkHandle {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address)
            && !link.is_closed()
        {
            return link.clone();
        }
        let (link, receiver) = self.new_link();
        links.insert(address, link.clone());
        tokio::spawn(call(context.clone(), address, link.clone(), receiver));
        link
    }

    fn forget(&self, address: SocketAddr, id: u64) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.get(&address).is_some_and(|link| link.id == id) {
            links.remove(&address);
        }
    }
}

fn own_hello(context: &Context) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        vm: context.config.vm.to_string(),
        data_centre: context.config.data_centre.to_string(),
        incarnation: context.incarnation.0,
        nonce: Bytes::copy_from_slice(&rand::random::<[u8; 16]>()),
        peer_address: context.config.peers.address.to_string(),
    }
}

/// Opens a connection and serves it until it ends.
async fn call(
    context: Arc<Context>,
    address: SocketAddr,
    link: LinkHandle,
    receiver: mpsc::Receiver<Frame>,
) {
    let limit = context.config.peers.greeting_ms.as_std();
    let connected = timeout(limit, TcpStream::connect(address)).await;
    if let Ok(Ok(stream)) = connected {
        serve_stream(&context, stream, Role::Caller, &link, receiver).await;
    } else {
        drop(receiver);
    }
    context.links.forget(address, link.id);
    context.homes.unreachable(&context, address);
}

/// Accepts connections of other daemons.
pub async fn accept(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let (link, receiver) = context.links.new_link();
            serve_stream(&context, stream, Role::Listener, &link, receiver).await;
        });
    }
}

fn peer_of(hello: &Hello) -> Option<Peer> {
    Some(Peer {
        vm: VmId::new(&hello.vm),
        data_centre: DataCentreId::new(&hello.data_centre),
        incarnation: Incarnation(hello.incarnation),
        address: hello.peer_address.parse().ok()?,
    })
}

async fn serve_stream(
    context: &Arc<Context>,
    stream: TcpStream,
    role: Role,
    link: &LinkHandle,
    receiver: mpsc::Receiver<Frame>,
) {
    // Without it, small frames wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, FrameCodec::default());
    let key = context.config.peer_key.0.as_bytes();
    let limit = context.config.peers.greeting_ms.as_std();
    let greeting = greet(&mut frames, role, own_hello(context), key);
    let peer = match timeout(limit, greeting).await {
        Ok(Ok(hello)) => peer_of(&hello),
        Ok(Err(error)) => {
            event!(Event::PeerRefused, cause = error);
            None
        }
        Err(_) => None,
    };
    let Some(peer) = peer else {
        return;
    };
    let mut offers = OpenOffers::new();
    exchange(context, &mut frames, &peer, link, receiver, &mut offers).await;
    for (request, service) in offers {
        context
            .homes
            .origin_lost(context, &service, request, link.id)
            .await;
    }
}

/// Sends and receives until either side ends or nothing passes for long.
async fn exchange(
    context: &Arc<Context>,
    frames: &mut Framed<TcpStream, FrameCodec>,
    peer: &Peer,
    link: &LinkHandle,
    mut receiver: mpsc::Receiver<Frame>,
    offers: &mut OpenOffers,
) {
    let idle = context.config.peers.idle_ms.as_std();
    loop {
        tokio::select! {
            frame = receiver.recv() => {
                let Some(frame) = frame else { return };
                frames::count(context, "sent", &frame);
                frames::note_sent(&frame, offers);
                if frames.send(frame).await.is_err() {
                    return;
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                frames::count(context, "received", &frame);
                frames::handle(context, peer, link, frame, offers).await;
            }
            () = tokio::time::sleep(idle) => return,
        }
    }
}

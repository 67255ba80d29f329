//! Connections between daemons: opened or accepted, authenticated by a handshake, and served until
//! either side closes them.
//!
//! Owns the sockets. [`super::links`] owns the sending queues, [`super::frames`] processes the
//! frames.

use crate::modules::serve::context::Context;
use crate::modules::serve::peers::frames;
use crate::modules::serve::peers::links::{Dial, LinkHandle, OpenOffers, Peer};
use crate::modules::serve::pools::homes;
use bridgevane_events::{Event, event};
use bridgevane_protocol::{Frame, FrameCodec, Hello, PROTOCOL_VERSION, Role, perform_handshake};
use bridgevane_types::{DataCentreId, Incarnation, VmId};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The pause after a failed accept, for example when no file descriptor is free. Without it the
/// daemon would spin until one is.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// Opens the requested connections until the daemon ends.
pub(crate) async fn open_requested(
    context: Arc<Context>,
    mut requested: mpsc::UnboundedReceiver<Dial>,
) {
    while let Some(dial) = requested.recv().await {
        tokio::spawn(connect(context.clone(), dial));
    }
}

/// Opens a connection and serves it until it ends.
async fn connect(context: Arc<Context>, dial: Dial) {
    let Dial {
        address,
        link,
        frames: receiver,
    } = dial;
    let limit = context.config.peers.greeting_ms.as_std();
    let connected = timeout(limit, TcpStream::connect(address)).await;
    if let Ok(Ok(stream)) = connected {
        serve_stream(&context, stream, Role::Caller, &link, receiver).await;
    } else {
        drop(receiver);
    }
    context.links.forget(address, &link);
    homes::on_unreachable(&context, address);
}

/// Accepts connections of other daemons until the daemon ends.
pub async fn accept(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
        // A daemon without a valid address can't be connected to, and is refused.
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
    // With Nagle's algorithm, small frames would wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::default());
    let key = context.config.peer_key.0.as_bytes();
    let limit = context.config.peers.greeting_ms.as_std();
    let handshake = perform_handshake(&mut framed, role, own_hello(context), key);
    let peer = match timeout(limit, handshake).await {
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
    exchange(context, &mut framed, &peer, link, receiver, &mut offers).await;
    for (request, service) in offers {
        homes::on_origin_lost(context, &service, request, link.id()).await;
    }
}

/// Sends and receives frames until either side closes, or no frame passes for the idle timeout.
async fn exchange(
    context: &Arc<Context>,
    framed: &mut Framed<TcpStream, FrameCodec>,
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
                frames::count_bytes(context, "sent", &frame);
                frames::on_sent(&frame, offers);
                if framed.send(frame).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                frames::count_bytes(context, "received", &frame);
                frames::handle(context, peer, link, frame, offers).await;
            }
            () = tokio::time::sleep(idle) => return,
        }
    }
}

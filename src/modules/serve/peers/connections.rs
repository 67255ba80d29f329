//! Connections between daemons: dialled or accepted, greeted, framed, served until either side
//! ends.
//!
//! Owns each socket while it lasts; the sending queues are [`super::links`]', what a frame means is
//! [`super::frames`]'.

use crate::modules::serve::context::Context;
use crate::modules::serve::peers::frames;
use crate::modules::serve::peers::links::{Dial, LinkHandle, OpenOffers, Peer};
use crate::modules::serve::pools::homes;
use bridgevane_events::{Event, event};
use bridgevane_protocol::{Frame, FrameCodec, Hello, PROTOCOL_VERSION, Role, greet};
use bridgevane_types::{DataCentreId, Incarnation, VmId};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The pause after a failed accept, such as for want of descriptors. Not measured, chosen because
/// without one the daemon would spin until a descriptor is free.
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

/// Opens the connections that are asked for, until the daemon ends.
pub(crate) async fn dial_all(context: Arc<Context>, mut asked: mpsc::UnboundedReceiver<Dial>) {
    while let Some(dial) = asked.recv().await {
        tokio::spawn(call(context.clone(), dial));
    }
}

/// Opens a connection and serves it until it ends.
async fn call(context: Arc<Context>, dial: Dial) {
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

/// Accepts connections of other daemons.
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
        // A daemon without an address can't be called back, and is refused.
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
    let mut framed = Framed::new(stream, FrameCodec::default());
    let key = context.config.peer_key.0.as_bytes();
    let limit = context.config.peers.greeting_ms.as_std();
    let greeting = greet(&mut framed, role, own_hello(context), key);
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
    exchange(context, &mut framed, &peer, link, receiver, &mut offers).await;
    for (request, service) in offers {
        homes::on_origin_lost(context, &service, request, link.id()).await;
    }
}

/// Sends and receives until either side ends or nothing passes for long.
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
                frames::count(context, "sent", &frame);
                frames::note_sent(&frame, offers);
                if framed.send(frame).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                frames::count(context, "received", &frame);
                frames::handle(context, peer, link, frame, offers).await;
            }
            () = tokio::time::sleep(idle) => return,
        }
    }
}

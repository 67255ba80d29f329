//! Connections that a daemon opens to others, for polls and reports.

use crate::replication::peer_error::PeerError;
use crate::sockets::set_options;
use bridgevane_protocol::FrameCodec;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for connecting to a daemon. A lost SYN packet is retransmitted only after a second;
/// another daemon has answered long before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection between daemons.
pub(crate) type FramedStream = Framed<TcpStream, FrameCodec>;

/// Opens a connection to another daemon.
pub(crate) async fn open_connection(peer: SocketAddr) -> Result<FramedStream, PeerError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = connecting
        .map_err(|_| PeerError::NoAnswer)?
        .map_err(|_| PeerError::Refused)?;
    set_options(&stream).map_err(|_| PeerError::Refused)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

//! A loopback proxy that delays, blocks (in both directions or one) or resets connections.

use crate::plan::LinkMode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The delay of every chunk in the mode [`LinkMode::Delayed`].
const DELAY: Duration = Duration::from_millis(150);
const CHUNK_BYTES: usize = 16 * 1024;

/// A running proxy; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Proxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(LinkMode::Passes);
        let accepting = tokio::spawn(accept(listener, target, mode.subscribe()));
        Ok(Self {
            address,
            mode,
            accepting,
        })
    }

    /// Sets the mode of all connections, open ones and new ones.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward_connection(stream, target, mode.clone()));
    }
}

/// Makes the stream end with a reset (RST) when it is dropped.
fn reset(stream: TcpStream) {
    // A socket that is closed already can't be reset; that is no error here.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one connection until both directions end or a reset is set.
async fn forward_connection(
    near: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    if *mode.borrow() == LinkMode::Reset {
        return reset(near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(near);
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let out = tokio::spawn(forward_bytes(
        near_read,
        far_write,
        mode.clone(),
        Direction::Out,
    ));
    let back = tokio::spawn(forward_bytes(
        far_read,
        near_write,
        mode.clone(),
        Direction::Back,
    ));
    let is_reset = async {
        // An error means that the proxy was dropped: the connection is closed as well.
        let _ = mode.wait_for(|mode| *mode == LinkMode::Reset).await;
    };
    let (out_end, back_end) = (out.abort_handle(), back.abort_handle());
    tokio::select! {
        () = is_reset => {
            out_end.abort();
            back_end.abort();
        }
        _ = async { tokio::join!(out, back) } => {}
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the connecting side to the target.
    Out,
    /// From the target to the connecting side.
    Back,
}

/// Forwards bytes in one direction; blocked bytes are held and forwarded once the mode permits it.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        let passes = |mode: &LinkMode| match mode {
            LinkMode::Silent => false,
            LinkMode::OneWay => direction == Direction::Out,
            _ => true,
        };
        let Ok(current) = mode.wait_for(passes).await.map(|mode| *mode) else {
            break;
        };
        if current == LinkMode::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

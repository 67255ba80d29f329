//! One HTTP/1.1 connection to an endpoint, or to the platform's store: one request at a time.
//!
//! Nothing is sent a second time here; the HTTP library's own retry isn't used.

use crate::decisions::resend::OpenError;
use crate::sockets::set_options;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The most that is buffered of an answer. Not measured, chosen because VMs have some 100 MB, and
/// many streams are open at once; heads of answers are far smaller.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// What becomes of bytes that were sent on a connection and not taken when it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// They are delivered.
    Gracefully,
    /// They are dropped, by a reset: a request that was given up must not arrive later.
    Reset,
}

/// A connection. Dropped, it closes at once, so that the endpoint drops its request.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`OpenError`] when nobody answers within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, OpenError> {
        Self::open_closing(address, limit, Closing::Gracefully).await
    }

    /// Opens a connection that is closed so.
    ///
    /// # Errors
    /// [`OpenError`] when nobody answers within `limit`.
    pub async fn open_closing(
        address: SocketAddr,
        limit: Duration,
        closing: Closing,
    ) -> Result<Self, OpenError> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| OpenError::TimedOut)?
            .map_err(|_| OpenError::Refused)?;
        set_options(&stream).map_err(|_| OpenError::Refused)?;
        if closing == Closing::Reset {
            let socket = SockRef::from(&stream);
            let set = socket.set_linger(Some(Duration::ZERO));
            set.map_err(|_| OpenError::Refused)?;
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| OpenError::Refused)?;
        let task = tokio::spawn(async move {
            // Its errors show in the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether it can take a request.
    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

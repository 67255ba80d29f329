//! An HTTP/1.1 connection to an endpoint or to the platform's store: one request at a time.
//!
//! No request is sent twice here: the retry of the HTTP library isn't used.

use crate::decisions::resend::OpenError;
use crate::endpoints::request_body::RequestBody;
use crate::sockets::set_options;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The maximum number of bytes of an answer that are buffered. VMs have some 100 MB, and many
/// streams are open at once; heads of answers are far smaller.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// What happens to bytes that were sent on a connection and not acknowledged when it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// They are delivered.
    Gracefully,
    /// They are dropped by a reset: an abandoned request must not arrive later.
    Reset,
}

/// A connection. Dropping it closes it at once, so that the endpoint cancels its request.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<RequestBody>,
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
    /// [`OpenError`] if the connection is not accepted within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, OpenError> {
        Self::open_with_closing(address, limit, Closing::Gracefully).await
    }

    /// Opens a connection that is closed as `closing` says.
    ///
    /// # Errors
    /// [`OpenError`] if the connection is not accepted within `limit`.
    pub async fn open_with_closing(
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
        Self::over(stream).await
    }

    /// Speaks HTTP/1.1 on an open connection.
    ///
    /// # Errors
    /// [`OpenError`] if the connection was closed meanwhile.
    pub(crate) async fn over(stream: TcpStream) -> Result<Self, OpenError> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| OpenError::Refused)?;
        let task = tokio::spawn(async move {
            // Its errors are returned by the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Returns whether the connection can carry a request.
    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

//! One connection to an endpoint, which carries one request at a time.

use crate::sockets::set_options;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// The most that is buffered of an answer.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Why no connection came about.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Nobody listens there.
    #[display("connection refused")]
    Refused,
    /// Nobody answered in time.
    #[display("connection timed out")]
    TimedOut,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    // A connection that nobody holds is closed at once: the endpoint drops its request.
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
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| OpenError::TimedOut)?
            .map_err(|_| OpenError::Refused)?;
        set_options(&stream).map_err(|_| OpenError::Refused)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| OpenError::Refused)?;
        // How a connection ends shows in the requests on it.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }
}

/// A connection that rests.
#[derive(Debug)]
pub struct Resting {
    connection: Connection,
    until: Instant,
}

impl Resting {
    /// A connection that may rest for `limit`.
    pub fn new(connection: Connection, limit: Duration) -> Self {
        Self {
            connection,
            until: Instant::now() + limit,
        }
    }

    /// The connection, if it may still be used.
    pub fn wake(self) -> Option<Connection> {
        let is_open = self.connection.sender.is_ready() && !self.connection.sender.is_closed();
        (is_open && Instant::now() < self.until).then_some(self.connection)
    }
}

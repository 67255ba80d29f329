//! An HTTP/1.1 connection to an endpoint or to the platform's store: one request at a time.
//!
//! No request is sent twice here: the retry of the HTTP library isn't used. What is read without an
//! answer in it is bounded by [`bridgevane_answer_limits`].

use crate::decisions::resend::{AttemptError, OpenError};
use crate::sockets::set_options;
use bridgevane_answer_limits::{
    AnswerBody, AnswerProgress, CountedStream, READ_BUFFER_BYTES, is_without_end,
};
use bridgevane_client_limits::RequestBody;
use derive_more::{Display, Error};
use http::{Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// What happens to bytes that were sent on a connection and not acknowledged when it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// They are delivered.
    Gracefully,
    /// They are dropped by a reset: an abandoned request must not arrive later.
    Reset,
}

/// Why a request that was given to a connection got no head of an answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// The connection was closed before. The request, of which no byte was sent, is given back.
    #[display("the connection was closed")]
    Unsent(#[error(not(source))] Box<Request<RequestBody>>),
    /// The connection broke: the request may have run.
    #[display("the connection broke")]
    Broken,
    /// The other side sent bytes that are no answer, without end: the request may have run.
    #[display("bytes without end, and no answer")]
    WithoutEnd,
}

/// A connection. Dropping it closes it at once, so that the endpoint cancels its request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    progress: AnswerProgress,
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
        let progress = AnswerProgress::default();
        let stream = CountedStream::new(stream, progress.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| OpenError::Refused)?;
        let task = tokio::spawn(async move {
            // Its errors are returned by the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            progress,
            task: task.abort_handle(),
        })
    }

    /// Waits until the connection can carry a request; returns false if it is closed.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns its answer with the unread body.
    ///
    /// # Errors
    /// [`SendError`] if there is no head of an answer.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<AnswerBody>, SendError> {
        self.progress.reset();
        let answer = self.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| match error.take_message() {
            Some(unsent) => SendError::Unsent(Box::new(unsent)),
            None if is_without_end(error.error()) => SendError::WithoutEnd,
            None => SendError::Broken,
        })?;
        self.progress.reset();
        Ok(answer.map(|body| AnswerBody::new(body, self.progress.clone())))
    }

    /// Returns whether the connection can carry a request.
    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Classifies the error of a body that wasn't read to its end.
pub(crate) fn body_error(error: &hyper::Error) -> AttemptError {
    if is_without_end(error) {
        return AttemptError::WithoutEnd;
    }
    AttemptError::Broken
}

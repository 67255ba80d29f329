//! A stream of bytes that fails when too much is read without progress of the answer.

use crate::progress::AnswerProgress;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection whose reads are counted; writes pass unchanged.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    progress: AnswerProgress,
}

impl<S> CountedStream<S> {
    /// Counts what is read from `stream` in `progress`.
    pub fn new(stream: S, progress: AnswerProgress) -> Self {
        Self { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        Poll::Ready(self.progress.on_read(read).map_err(io::Error::from))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A pooling client adds the progress of a connection to the extensions of each answer on it.
impl Connection for CountedStream<TcpStream> {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.progress.clone())
    }
}

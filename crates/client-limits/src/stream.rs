//! A client's connection as the HTTP library reads and writes it.

use crate::connections::ClientConnection;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that reports to its [`ClientConnection`] when bytes arrive and whether written ones were taken.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: S,
    connection: Arc<ClientConnection>,
}

impl<S> ClientStream<S> {
    /// Wraps the stream of a connection.
    pub fn new(stream: S, connection: Arc<ClientConnection>) -> Self {
        Self { stream, connection }
    }

    fn report_write(
        &self,
        written: Poll<Result<usize, std::io::Error>>,
    ) -> Poll<Result<usize, std::io::Error>> {
        self.connection.on_write(written.is_pending());
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), std::io::Error>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection.on_read();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, std::io::Error>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.report_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, std::io::Error>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.report_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), std::io::Error>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), std::io::Error>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! The body of a request on its way to an endpoint: segments of equal size, shared by all attempts.
//!
//! Large blocks of many lengths would leave gaps in the memory of the process that no other body fits
//! into; segments of one size are reused by the next body.

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The size of a segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// A body; clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    segments: Arc<[Bytes]>,
    /// The next segment to be sent.
    next: usize,
    unsent_bytes: u64,
}

impl RequestBody {
    /// Returns the bytes in their order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the bytes as one block.
    pub(crate) fn joined(&self) -> Bytes {
        if let [only] = self.segments() {
            return only.clone();
        }
        let mut joined = BytesMut::with_capacity(self.unsent_bytes as usize);
        for segment in self.segments() {
            joined.extend_from_slice(segment);
        }
        joined.freeze()
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            unsent_bytes: bytes.len() as u64,
            segments: Arc::new([bytes]),
            next: 0,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.unsent_bytes -= segment.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent_bytes)
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub(crate) struct ReceivedBody {
    full: Vec<Bytes>,
    /// The segment that isn't full yet.
    last: BytesMut,
    length: usize,
}

impl ReceivedBody {
    /// Returns the number of bytes received.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Appends received bytes.
    pub(crate) fn extend(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            // A body of one segment takes no more than its length.
            if self.last.capacity() == 0 && !self.full.is_empty() {
                self.last = BytesMut::with_capacity(SEGMENT_BYTES);
            }
            let room = SEGMENT_BYTES - self.last.len();
            let (now, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(now);
            data = rest;
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    /// Returns the body.
    pub(crate) fn finish(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        RequestBody {
            segments: self.full.into(),
            next: 0,
            unsent_bytes: self.length as u64,
        }
    }
}

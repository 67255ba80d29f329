//! The body of an answer; each part that its reader takes is progress.

use crate::progress::AnswerProgress;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of an answer on a connection whose reads are counted.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    progress: AnswerProgress,
}

impl AnswerBody {
    /// Reports the parts of `body` to `progress`, which its connection counts in.
    pub fn new(body: Incoming, progress: AnswerProgress) -> Self {
        Self { body, progress }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(_)) = &frame {
            self.progress.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

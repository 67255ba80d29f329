//! The body of an answer to a client: whole, or as it comes.

use crate::requests::relay::BrokenOff;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body.
#[derive(Debug)]
pub enum AnswerBody<S> {
    /// Whole.
    Whole(Full<Bytes>),
    /// As it comes.
    Stream(Pin<Box<S>>),
}

impl<S: Body<Data = Bytes, Error = BrokenOff>> Body for AnswerBody<S> {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

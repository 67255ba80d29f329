//! The body of an answer to a client: buffered, or streamed as it arrives.
//!
//! Relies on [`super::relay`] for the stream; an error of the stream closes the client's connection.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The reason why a stream can't be completed; the connection to the client is closed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// The endpoint's stream broke off.
    #[display("the endpoint broke off")]
    EndpointBrokeOff,
    /// The endpoint sent bytes that are no part of a stream, without end.
    #[display("bytes without end")]
    WithoutEnd,
    /// The client's or the route's timeout has passed.
    #[display("out of time")]
    OutOfTime,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody<S> {
    /// A body that was read completely.
    Whole(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(Pin<Box<S>>),
}

impl<S: Body<Data = Bytes, Error = StreamError>> Body for AnswerBody<S> {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
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

//! A model engine over HTTP, with JSON calls. The answer to a generation has one JSON piece per line.

use crate::engine::{
    CacheEvent, EngineCallError, FencedOrder, GenerateCall, LoadReport, ModelEngine, OrderReply,
    Piece, PieceEvent,
};
use crate::http_client::{HttpClient, HttpError};
use bridgevane_answer_limits::AnswerBody;
use bridgevane_types::{AttemptNumber, RequestId};
use bytes::{Buf, BytesMut};
use futures_util::Stream;
use http_body_util::BodyStream;
use serde::Serialize;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// The time limit of a call with a short answer. Half of it would fail calls of a busy engine; twice
/// as much would delay a pool's reading of its engines' load.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The size limit of a line of an answer, which holds the text of one token.
const MAX_LINE_BYTES: usize = 64 << 10;

/// A model engine at an address.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: HttpClient,
}

#[derive(Serialize)]
struct CancelBody {
    request: String,
    attempt: AttemptNumber,
}

/// The body of a call for the cache events after `sequence`.
#[derive(Serialize)]
struct AfterBody {
    sequence: u64,
}

impl HttpEngine {
    /// Creates the adapter for the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
        }
    }
}

fn engine_error(error: HttpError) -> EngineCallError {
    match error {
        HttpError::NotConnected => EngineCallError::NotReached,
        HttpError::Broken | HttpError::TimedOut => EngineCallError::EndedEarly,
        HttpError::Malformed => EngineCallError::Malformed,
        HttpError::Status { status: 501, .. } => EngineCallError::Unsupported,
        HttpError::Status {
            status: 429 | 503, ..
        } => EngineCallError::Unavailable,
        HttpError::Status { status, .. } if status < 500 => EngineCallError::Rejected,
        HttpError::Status { .. } => EngineCallError::EndedEarly,
    }
}

/// The stream of the pieces of one answer.
#[derive(Debug)]
pub struct HttpPieces {
    body: BodyStream<AnswerBody>,
    buffer: BytesMut,
    is_ended: bool,
}

impl HttpPieces {
    /// Removes the next complete line from the buffer and decodes it.
    fn next_piece(&mut self) -> Option<Result<Piece, EngineCallError>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        let piece: Result<Piece, _> = serde_json::from_slice(&line);
        if let Ok(piece) = &piece {
            self.is_ended = matches!(piece.event, PieceEvent::End(_));
        }
        Some(piece.map_err(|_| EngineCallError::Malformed))
    }
}

impl Stream for HttpPieces {
    type Item = Result<Piece, EngineCallError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.is_ended {
                return Poll::Ready(None);
            }
            if let Some(piece) = self.next_piece() {
                return Poll::Ready(Some(piece));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                self.is_ended = true;
                return Poll::Ready(Some(Err(EngineCallError::Malformed)));
            }
            match ready!(Pin::new(&mut self.body).poll_next(context)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => {
                    self.is_ended = true;
                    return Poll::Ready(Some(Err(EngineCallError::EndedEarly)));
                }
            }
        }
    }
}

impl ModelEngine for HttpEngine {
    type Pieces = HttpPieces;

    async fn generate(&self, call: GenerateCall) -> Result<HttpPieces, EngineCallError> {
        let response = self
            .http
            .post_streaming("/engine/generate", &call)
            .await
            .map_err(engine_error)?;
        Ok(HttpPieces {
            body: BodyStream::new(response.into_body()),
            buffer: BytesMut::new(),
            is_ended: false,
        })
    }

    async fn cancel(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Result<(), EngineCallError> {
        let body = CancelBody {
            request: request.to_string(),
            attempt,
        };
        self.http
            .post_json("/engine/cancel", &body, CALL_TIMEOUT)
            .await
            .map_err(engine_error)
    }

    async fn load(&self) -> Result<LoadReport, EngineCallError> {
        self.http
            .post_json("/engine/load", &(), CALL_TIMEOUT)
            .await
            .map_err(engine_error)
    }

    async fn cache_events(&self, sequence: u64) -> Result<Vec<CacheEvent>, EngineCallError> {
        self.http
            .post_json(
                "/engine/cache-events",
                &AfterBody { sequence },
                CALL_TIMEOUT,
            )
            .await
            .map_err(engine_error)
    }

    async fn order(&self, order: FencedOrder) -> Result<OrderReply, EngineCallError> {
        self.http
            .post_json("/engine/order", &order, CALL_TIMEOUT)
            .await
            .map_err(engine_error)
    }
}

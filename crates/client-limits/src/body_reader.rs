//! Reads the bodies of requests into memory that is reserved before their bytes are taken.
//!
//! The rules are in [`crate::body_limits`].

use crate::body_limits::{self, BodyError, BodyProgress, BodySize, PROGRESS_CHECK_INTERVAL};
use crate::body_memory::{BodyMemory, Reservation};
use crate::connections::ClientConnection;
use crate::request_body::{ReceivedBody, RequestBody};
use bridgevane_types::Bytes as ByteCount;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// A body that was read, with its memory.
#[derive(Debug)]
pub struct ReadBody {
    /// The body.
    pub content: RequestBody,
    /// Given back when it is dropped, at the end of the request.
    memory: Reservation,
}

impl ReadBody {
    /// Returns the body as one block, and what it has reserved.
    pub fn join(self) -> (Bytes, Reservation) {
        (self.content.joined(), self.memory)
    }
}

/// The inputs for reading one body.
#[derive(Clone, Debug)]
pub struct BodyRequest {
    /// The announced length, 0 for a request without a body; `None` for a chunked one.
    pub announced: Option<ByteCount>,
    /// The longest body that is allowed.
    pub max_body: ByteCount,
    /// Until when the body must have arrived.
    pub deadline: Instant,
    /// Whether the client sends its body only after it was told to.
    pub awaits_continue: bool,
    /// The connection on which it arrives.
    pub connection: Option<Arc<ClientConnection>>,
}

/// Reads a body. Of one that is refused, the rest is dropped for a while, so that its client gets the refusal.
///
/// # Errors
/// The reason for the refusal.
pub async fn read_body<B>(
    memory: &BodyMemory,
    request: BodyRequest,
    mut body: B,
) -> Result<ReadBody, BodyError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    let mut has_begun = false;
    let reading = read_reserved(memory, &request, &mut body, &mut has_begun);
    let read = timeout_at(request.deadline, reading).await;
    let read = read.unwrap_or(Err(BodyError::Timeout));
    if let Err(error) = read
        && let Some(time) = body_limits::discard_time(error)
        // A client that waits for its turn to send isn't given it.
        && (has_begun || !request.awaits_continue)
    {
        tokio::spawn(drop_rest(body, request, time));
    } else if let Some(connection) = &request.connection
        && read.is_ok()
    {
        connection.on_body_read();
    }
    read
}

/// Reads a body; `has_begun` is set before its first bytes are awaited.
async fn read_reserved<B>(
    memory: &BodyMemory,
    request: &BodyRequest,
    body: &mut B,
    has_begun: &mut bool,
) -> Result<ReadBody, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    body_limits::check(request.announced, request.max_body)?;
    let size = BodySize::new(request.announced);
    let mut reservation = memory.start(size).await?;
    *has_begun = true;
    let mut content = ReceivedBody::default();
    let mut waited = Duration::ZERO;
    let mut pace = Pace::start();
    loop {
        match timeout(PROGRESS_CHECK_INTERVAL, body.frame()).await {
            Ok(None) => break,
            Ok(Some(frame)) => {
                let frame = frame.map_err(|_| BodyError::Broken)?;
                // Trailers aren't forwarded.
                if let Ok(data) = frame.into_data() {
                    let length = (content.len() + data.len()) as u64;
                    if length > request.max_body.0 {
                        return Err(BodyError::TooLarge);
                    }
                    while length > reservation.max_length() {
                        memory.grow(size, &mut reservation, &mut waited).await?;
                    }
                    content.extend(&data);
                    pace.on_arrival();
                }
            }
            Err(_) => {}
        }
        if pace.must_check() {
            let progress = pace.progress(size, content.len(), request.deadline, waited);
            body_limits::check_progress(progress, memory.contention())?;
        }
    }
    Ok(ReadBody {
        content: content.finish(),
        memory: reservation,
    })
}

/// When the bytes of a body arrived.
#[derive(Debug)]
struct Pace {
    started: Instant,
    last_arrival: Instant,
    checked: Instant,
}

impl Pace {
    fn start() -> Self {
        let now = Instant::now();
        Self {
            started: now,
            last_arrival: now,
            checked: now,
        }
    }

    fn on_arrival(&mut self) {
        self.last_arrival = Instant::now();
    }

    /// Returns whether a check is due; bytes that keep arriving don't put it off.
    fn must_check(&mut self) -> bool {
        let is_due = self.checked.elapsed() >= PROGRESS_CHECK_INTERVAL;
        if is_due {
            self.checked = Instant::now();
        }
        is_due
    }

    /// `waited` is how long the body has waited for memory, in which it could not arrive.
    fn progress(
        &self,
        size: BodySize,
        received: usize,
        deadline: Instant,
        waited: Duration,
    ) -> BodyProgress {
        BodyProgress {
            size,
            received: ByteCount(received as u64),
            elapsed: self.started.elapsed().saturating_sub(waited),
            stalled: self.last_arrival.elapsed(),
            remaining: deadline.saturating_duration_since(Instant::now()),
        }
    }
}

/// Reads the rest of a body and drops it. The end of the connection ends it as well.
async fn drop_rest<B>(mut body: B, request: BodyRequest, time: Duration)
where
    B: Body<Data = Bytes> + Unpin,
{
    let reading = async {
        let mut dropped = 0;
        // Read beyond the last byte that counts: the end of a chunked body comes after it.
        while dropped <= request.max_body.0
            && let Some(Ok(frame)) = body.frame().await
        {
            dropped += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
    };
    // On a timeout the library closes the connection.
    let _ = timeout_at(request.deadline, timeout(time, reading)).await;
}

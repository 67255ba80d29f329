//! Body limits: how much memory the bodies of requests may use, and which body is read when.
//!
//! Inputs: the announced length (bytes; a chunked body has none), the configuration's limit for one
//! body, the memory for all bodies, and how a body arrives.
//!
//! Rules:
//! 1. A body longer than the limit for one body is refused for good.
//! 2. Memory is reserved before bytes are taken, and given back at the end of the request. The first
//!    [`INLINE_BODY`] bytes of each body are part of what its connection holds. Beyond them, a small body
//!    reserves its length, from a part of the memory that large ones can't use. Any other one reserves
//!    a step after the other as it arrives, so that a slow one uses no more than it has sent.
//! 3. A large body starts only if there is room for all of it now; until then it waits unread, for
//!    `START_WAIT` at the most. One that is arriving waits for its steps for `GROWTH_WAIT` altogether.
//!    After that it is refused, and its client is told when to come back.
//! 4. While others wait for room, a body that arrives too slowly to be whole by its deadline is
//!    refused at once. So is one of which nothing has arrived for `MAX_STALL`, however little is missing, also
//!    if others were refused for want of room a moment ago.
//! 5. A client that is refused while it sends may go on for a while, by as much as a body may have: what it
//!    sends is dropped, so that it reads the answer and not a reset.
//!
//! Reason: bodies are read whole before they are sent, so that an incomplete one never reaches an
//! endpoint; the memory of the VM that they use must be bounded.
//!
//! Tests: `admission.rs`, `uploads.rs`, `client_crowds.rs`,
//! `exchange.rs::invalid_requests_get_an_error_code_and_reach_no_endpoint`.

use bridgevane_types::Bytes;
use derive_more::{Display, Error};
use std::time::Duration;

/// The part of each body that needs no memory beside that of its connection. Most requests that aren't
/// prompts are shorter, so that no other body can keep them out.
pub const INLINE_BODY: Bytes = Bytes(4 * 1024);

/// The longest body that counts as small.
pub const MAX_SMALL_BODY: Bytes = Bytes(64 * 1024);
/// The part of the memory that is kept for small bodies, as a divisor.
const SMALL_MEMORY_DIVISOR: u64 = 8;
/// How much a body that is arriving reserves at a time.
pub const RESERVE_STEP: Bytes = Bytes(64 * 1024);
/// How long a body waits unread for memory. A client that is refused this soon has time to try again.
pub const START_WAIT: Duration = Duration::from_millis(250);
/// How often a body that waits to start looks for room.
pub const START_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// How long a body that is arriving waits for its steps altogether. What it has sent would be sent again
/// after a refusal, so that it waits longer than one that starts.
pub const GROWTH_WAIT: Duration = Duration::from_millis(1_000);
/// How long a body may take to arrive before its pace counts.
const PACE_GRACE: Duration = Duration::from_millis(500);
/// How long nothing of a body may arrive while others wait for room. A lost packet is sent again within this
/// time, also if it is lost twice more.
const MAX_STALL: Duration = Duration::from_millis(2_000);
/// How often it is checked whether a body arrives in time.
pub(crate) const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may go on to send after an answer that is final for its body.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);

/// The reason why a body is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[display("body_too_large")]
    TooLarge,
    /// The body was not received in time.
    #[display("body_timeout")]
    Timeout,
    /// The body was incomplete.
    #[display("body_broken")]
    Broken,
    /// With this body, the process would hold more than clients may make it hold.
    #[display("memory_full")]
    MemoryFull,
}

/// Returns how long the rest of a body is read and dropped that was refused for this reason, until its
/// deadline at most; `None`: its connection is closed. As much is dropped as a body may have.
pub(crate) fn discard_time(error: BodyError) -> Option<Duration> {
    match error {
        // It may be sent again, so that its client must get to know when.
        BodyError::MemoryFull => Some(Duration::MAX),
        BodyError::TooLarge | BodyError::Timeout => Some(DISCARD_TIME),
        BodyError::Broken => None,
    }
}

/// The size of a body as it is known before it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySize {
    /// Its length, at most [`MAX_SMALL_BODY`].
    Small(Bytes),
    /// Its length.
    Large(Bytes),
    /// It announces none.
    Unknown,
}

impl BodySize {
    /// Returns the size of a body that announces this length.
    pub fn new(announced: Option<Bytes>) -> Self {
        match announced {
            Some(length) if length <= MAX_SMALL_BODY => Self::Small(length),
            Some(length) => Self::Large(length),
            None => Self::Unknown,
        }
    }
}

/// Returns the part of the memory for bodies that is kept for small ones.
pub fn memory_for_small_bodies(max_buffered: Bytes) -> Bytes {
    Bytes(max_buffered.0 / SMALL_MEMORY_DIVISOR)
}

/// Checks the length that a body announces.
///
/// # Errors
/// [`BodyError::TooLarge`], which is final.
pub fn check(announced: Option<Bytes>, max_body: Bytes) -> Result<(), BodyError> {
    if announced.is_some_and(|length| length > max_body) {
        return Err(BodyError::TooLarge);
    }
    Ok(())
}

/// How a body arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyProgress {
    /// Its size.
    pub size: BodySize,
    /// The bytes that have arrived.
    pub received: Bytes,
    /// The time since the first of them was awaited.
    pub elapsed: Duration,
    /// The time since the last of them arrived.
    pub stalled: Duration,
    /// The time until its deadline.
    pub remaining: Duration,
}

/// Who needs the room that a body uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contention {
    /// Whether others wait for room.
    pub has_waiting: bool,
    /// Whether others were refused a moment ago, and are likely to come back.
    pub has_refused: bool,
}

/// Checks whether a body is awaited further.
///
/// # Errors
/// [`BodyError::Timeout`] if it isn't.
pub fn check_progress(progress: BodyProgress, contention: Contention) -> Result<(), BodyError> {
    let is_contended = contention.has_waiting || contention.has_refused;
    let has_stalled = is_contended && progress.stalled >= MAX_STALL;
    let is_slow = contention.has_waiting && is_too_slow(progress);
    if progress.remaining.is_zero() || has_stalled || is_slow {
        return Err(BodyError::Timeout);
    }
    Ok(())
}

/// Returns whether a body won't be whole by its deadline if it goes on as before.
fn is_too_slow(progress: BodyProgress) -> bool {
    if progress.elapsed < PACE_GRACE {
        return false;
    }
    let length = match progress.size {
        BodySize::Small(length) | BodySize::Large(length) => length.0,
        // At least as much again as has arrived.
        BodySize::Unknown => progress.received.0 * 2,
    };
    let missing = length.saturating_sub(progress.received.0) as f64;
    let pace = progress.received.0 as f64 / progress.elapsed.as_secs_f64();
    missing > pace * progress.remaining.as_secs_f64()
}

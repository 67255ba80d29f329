//! Body limits: a request whose body is too large is refused before it is read.
//!
//! Inputs: the announced length (bytes; 0 for a body in chunks), the configuration's limit for one
//! body, the bytes of bodies that the daemon holds, and its limit for all of them together.
//!
//! Reason: bodies are read whole before they are sent, so that one that breaks off never reaches an
//! endpoint; what they take of the VM's memory needs a bound.
//!
//! Constants: none; both limits are settings (the operator's document, a quarter of `--memory-mb`).
//!
//! Tests: `admission.rs::bodies_are_bounded…`,
//! `exchange.rs::bad_requests_get_a_typed_answer_at_once`.

use super::refusal::RefusalReason;
use bridgevane_types::Bytes;

/// What is known before a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyToRead {
    /// Its announced length; 0 when the client announces none.
    pub announced: Bytes,
    /// The longest body that the configuration allows.
    pub max_body: Bytes,
    /// Bodies that the daemon holds now.
    pub buffered: Bytes,
    /// Bodies that it may hold.
    pub max_buffered: Bytes,
}

/// Checks whether a body may be read.
///
/// # Errors
/// [`RefusalReason::BodyTooLarge`] (final) or [`RefusalReason::MemoryFull`] (come back later).
pub fn check(body: BodyToRead) -> Result<(), RefusalReason> {
    if body.announced > body.max_body {
        return Err(RefusalReason::BodyTooLarge);
    }
    if body.buffered + body.announced > body.max_buffered {
        return Err(RefusalReason::MemoryFull);
    }
    Ok(())
}

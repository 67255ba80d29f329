//! Body limits: a request whose body is too large is refused before it is read.
//!
//! Inputs: the announced length (bytes; 0 for a chunked body), the configuration's limit for one
//! body, the bytes of bodies that the daemon holds, and its limit for all of them together.
//!
//! Rules: a body longer than the limit for one body is refused for good; a body that would exceed
//! the limit for all bodies is refused for now. Both limits are settings (the operator's document,
//! a quarter of `--memory-mb`).
//!
//! Reason: bodies are read whole before they are sent, so that an incomplete one never reaches an
//! endpoint; the memory of the VM that they use must be bounded.
//!
//! Tests: `admission.rs::bodies_are_bounded_one_by_one_and_all_together`,
//! `exchange.rs::invalid_requests_get_an_error_code_and_reach_no_endpoint`.

use super::refusal::RefusalReason;
use bridgevane_types::Bytes;

/// The lengths and limits that are known before a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyToRead {
    /// The announced length; 0 if the client announces none.
    pub announced: Bytes,
    /// The longest body that the configuration allows.
    pub max_body: Bytes,
    /// The bytes of bodies that the daemon holds now.
    pub buffered: Bytes,
    /// The bytes of bodies that it may hold.
    pub max_buffered: Bytes,
}

/// Checks whether a body may be read.
///
/// # Errors
/// [`RefusalReason::BodyTooLarge`] (final) or [`RefusalReason::MemoryFull`] (may be retried).
pub fn check(body: BodyToRead) -> Result<(), RefusalReason> {
    if body.announced > body.max_body {
        return Err(RefusalReason::BodyTooLarge);
    }
    if body.buffered + body.announced > body.max_buffered {
        return Err(RefusalReason::MemoryFull);
    }
    Ok(())
}

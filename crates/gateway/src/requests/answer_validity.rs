//! The validity of answers: which head is the answer of an endpoint.
//!
//! Owns nothing. Rules:
//! 1. The status is one of a final answer.
//! 2. The end of the answer is certain ([`answer_framing`]).
//! 3. A success has one signature of its endpoint, which isn't empty. No signature is asked of other
//!    answers: endpoints also refuse and fail without one.
//!
//! Any other head is no answer. The request may have run, and the connection isn't used again.

use crate::decisions::resend::AttemptError;
use crate::header_names::HeaderNames;
use crate::requests::answer_framing;
use bridgevane_answer_limits::is_final_status;
use http::response;

/// Checks the status and the framing of an answer, without which nothing in its head is believed.
///
/// # Errors
/// [`AttemptError`] if the head is no answer.
pub(crate) fn check_status_and_framing(head: &response::Parts) -> Result<(), AttemptError> {
    if !is_final_status(head.status) {
        return Err(AttemptError::InvalidStatus);
    }
    if !answer_framing::is_valid(head) {
        return Err(AttemptError::Misframed);
    }
    Ok(())
}

/// Checks that a success has the signature of its endpoint.
///
/// # Errors
/// [`AttemptError::Unsigned`] if it hasn't.
pub(crate) fn check_signature(
    names: &HeaderNames,
    head: &response::Parts,
) -> Result<(), AttemptError> {
    if !head.status.is_success() {
        return Ok(());
    }
    let mut signatures = head.headers.get_all(&names.signature).iter();
    match (signatures.next(), signatures.next()) {
        (Some(signature), None) if !signature.is_empty() => Ok(()),
        _ => Err(AttemptError::Unsigned),
    }
}

//! The framing of answers: which answer of an endpoint has a valid one, and which length a client is
//! told.
//!
//! Owns nothing. Rules:
//! 1. An answer is framed by one length, by chunks alone, or by the end of its connection. Any other
//!    one has no certain end: it is no answer, and its connection isn't used again.
//! 2. A client is told the length of the body that it is sent, or none.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, response};

/// The only transfer coding that is decoded.
const CHUNKED: &str = "chunked";

/// Returns whether an answer has a valid framing.
pub(crate) fn is_valid(head: &response::Parts) -> bool {
    if !head.headers.contains_key(TRANSFER_ENCODING) {
        return has_at_most_one_length(&head.headers);
    }
    head.version >= Version::HTTP_11
        && is_chunked(&head.headers)
        && !head.headers.contains_key(CONTENT_LENGTH)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let codings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match codings[..] {
        [coding] => text(coding).eq_ignore_ascii_case(CHUNKED),
        _ => false,
    }
}

fn has_at_most_one_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter().map(text);
    let Some(first) = lengths.next() else {
        return true;
    };
    let is_number = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    is_number && lengths.all(|length| length == first)
}

/// Returns a header's text without blanks around it; empty if it is no text.
fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or_default().trim()
}

/// What a client is sent as the body of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentBody {
    /// A body that was read completely.
    Buffered,
    /// The bytes of the endpoint's body as they arrive.
    Unchanged,
    /// Whole events as they arrive, which another endpoint may continue.
    Events,
}

/// Makes the head of an endpoint's answer to a `method` request tell the length of the body that is
/// sent, or none. The server adds that of a buffered body.
pub(crate) fn set_length(head: &mut response::Parts, method: &Method, body: SentBody) {
    // The answer to HEAD tells the length of a body that isn't sent.
    if *method == Method::HEAD {
        return;
    }
    let length = head.headers.remove(CONTENT_LENGTH);
    if body == SentBody::Unchanged
        && head.status != StatusCode::NO_CONTENT
        && let Some(length) = length
    {
        head.headers.insert(CONTENT_LENGTH, length);
    }
}

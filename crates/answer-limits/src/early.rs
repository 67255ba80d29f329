//! Answers that come before the request was read.

/// The longest body of a request that the other side has read for sure once it answers, in bytes: servers
/// read the head of a request with a buffer of this size, and what arrived with it.
const MAX_READ_WITH_HEAD_BYTES: u64 = 16 * 1024;

/// Returns whether a connection may carry another request after one with a body of this length was
/// answered.
///
/// An answer doesn't show that the body was read. A server that answers early reads on later; the next
/// request would wait behind the rest, and reach it after its caller has left.
pub fn is_read_once_answered(body_bytes: u64) -> bool {
    body_bytes <= MAX_READ_WITH_HEAD_BYTES
}

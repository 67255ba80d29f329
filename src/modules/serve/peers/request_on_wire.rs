//! A request's identifier in messages between daemons.

use bridgevane_types::RequestId;
use bytes::Bytes;

/// A request's identifier on the wire.
pub(crate) fn request_bytes(request: RequestId) -> Bytes {
    Bytes::copy_from_slice(&request.0.to_be_bytes())
}

/// Reads a request's identifier; none when it isn't one.
pub(crate) fn request_of(bytes: &Bytes) -> Option<RequestId> {
    let bytes: [u8; 16] = bytes.as_ref().try_into().ok()?;
    Some(RequestId(u128::from_be_bytes(bytes)))
}

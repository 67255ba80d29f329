//! A request's identifier in messages between daemons.

use bridgevane_types::RequestId;
use bytes::Bytes;

/// Encodes a request's identifier.
pub(crate) fn request_bytes(request: RequestId) -> Bytes {
    Bytes::copy_from_slice(&request.0.to_be_bytes())
}

/// Decodes a request's identifier; `None` when it isn't 16 bytes long.
pub(crate) fn request_of(bytes: &Bytes) -> Option<RequestId> {
    let bytes: [u8; 16] = bytes.as_ref().try_into().ok()?;
    Some(RequestId(u128::from_be_bytes(bytes)))
}

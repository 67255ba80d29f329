//! What makes two requests equal, whoever sends them and however often: caller, method, path and
//! body. Two tries of a client have identifiers of their own, and the same fingerprint.

use crate::requests::inbound::InboundRequest;
use bridgevane_types::CustomerId;
use bytes::Bytes;
use derive_more::Display;
use http::Method;
use http::uri::PathAndQuery;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// A request's identity across tries, the same on every daemon.
///
/// The customer has bits of its own: whoever makes up content whose hash is another's can meet only
/// equal content of its own customer. The hash isn't cryptographic.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{customer:08x}{content:016x}")]
pub struct RequestFingerprint {
    /// Upper half of a hash of the customer; 0 where the route needs no key.
    pub customer: u32,
    /// Hash of method, path and body.
    pub content: u64,
}

impl RequestFingerprint {
    /// The fingerprint of a request that was read as a whole.
    pub fn new(
        customer: Option<&CustomerId>,
        method: &Method,
        path: &PathAndQuery,
        body: &Bytes,
    ) -> Self {
        let customer = customer.map_or(0, |id| (xxh3_64(id.as_str().as_bytes()) >> 32) as u32);
        let mut content = Xxh3::new();
        content.update(method.as_str().as_bytes());
        // No method and no path holds a blank.
        content.update(b" ");
        content.update(path.as_str().as_bytes());
        content.update(b" ");
        content.update(body);
        Self {
            customer,
            content: content.digest(),
        }
    }

    pub(crate) fn of(inbound: &InboundRequest) -> Self {
        let customer = inbound.customer.as_ref().map(|customer| &customer.id);
        Self::new(customer, &inbound.method, &inbound.path, &inbound.body)
    }
}

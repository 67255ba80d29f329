//! The fingerprint of a request: a hash of its customer, method, path and body. Repetitions of a
//! request by a client have different identifiers and the same fingerprint.

use crate::CustomerId;
use crate::short_hash::short_hash;
use derive_more::{Display, Error};
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The number of hexadecimal digits of [`RequestFingerprint::customer`].
const CUSTOMER_DIGITS: usize = 8;
/// The number of hexadecimal digits of [`RequestFingerprint::content`].
const CONTENT_DIGITS: usize = 16;

/// The identity of a request across repetitions, the same on every daemon.
///
/// The customer has separate bits, because the hash isn't cryptographic: a client that constructs
/// content with the hash of other content can collide only with requests of the same customer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{customer:08x}{content:016x}")]
pub struct RequestFingerprint {
    /// Upper half of a hash of the customer; 0 if the route needs no key.
    pub customer: u32,
    /// Hash of method, path and body.
    pub content: u64,
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request whose body was read completely.
    pub fn new(customer: Option<&CustomerId>, method: &str, path: &str, body: &[u8]) -> Self {
        Self::of_segments(customer, method, path, std::iter::once(body))
    }

    /// Computes the fingerprint of a request whose body was read completely, in these segments.
    pub fn of_segments<'a>(
        customer: Option<&CustomerId>,
        method: &str,
        path: &str,
        body: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let customer = customer.map_or(0, |id| short_hash(id.as_str().as_bytes()));
        let mut content = Xxh3::new();
        content.update(method.as_bytes());
        // Neither a method nor a path contains a space, so the space separates them.
        content.update(b" ");
        content.update(path.as_bytes());
        content.update(b" ");
        body.for_each(|segment| content.update(segment));
        Self {
            customer,
            content: content.digest(),
        }
    }
}

/// The error for a text that isn't a fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint has 24 hexadecimal digits")]
pub struct InvalidFingerprint;

impl FromStr for RequestFingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != CUSTOMER_DIGITS + CONTENT_DIGITS || !is_hex {
            return Err(InvalidFingerprint);
        }
        let (customer, content) = text.split_at(CUSTOMER_DIGITS);
        Ok(Self {
            customer: u32::from_str_radix(customer, 16).map_err(|_| InvalidFingerprint)?,
            content: u64::from_str_radix(content, 16).map_err(|_| InvalidFingerprint)?,
        })
    }
}

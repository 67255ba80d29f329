//! What makes two requests equal, whoever sends them and however often: customer, method, path and
//! body. Two tries of a client have identifiers of their own, and the same fingerprint.

use crate::CustomerId;
use derive_more::{Display, Error};
use std::str::FromStr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hexadecimal digits of [`RequestFingerprint::customer`].
const CUSTOMER_DIGITS: usize = 8;
/// Hexadecimal digits of [`RequestFingerprint::content`].
const CONTENT_DIGITS: usize = 16;

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
    pub fn new(customer: Option<&CustomerId>, method: &str, path: &str, body: &[u8]) -> Self {
        let customer = customer.map_or(0, |id| (xxh3_64(id.as_str().as_bytes()) >> 32) as u32);
        let mut content = Xxh3::new();
        content.update(method.as_bytes());
        // No method and no path holds a blank.
        content.update(b" ");
        content.update(path.as_bytes());
        content.update(b" ");
        content.update(body);
        Self {
            customer,
            content: content.digest(),
        }
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint has 24 hexadecimal digits")]
pub struct NoFingerprint;

impl FromStr for RequestFingerprint {
    type Err = NoFingerprint;

    fn from_str(text: &str) -> Result<Self, NoFingerprint> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != CUSTOMER_DIGITS + CONTENT_DIGITS || !is_hex {
            return Err(NoFingerprint);
        }
        let (customer, content) = text.split_at(CUSTOMER_DIGITS);
        Ok(Self {
            customer: u32::from_str_radix(customer, 16).map_err(|_| NoFingerprint)?,
            content: u64::from_str_radix(content, 16).map_err(|_| NoFingerprint)?,
        })
    }
}

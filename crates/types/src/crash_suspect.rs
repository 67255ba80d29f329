//! What may crash the endpoints that run it: one request, or a part of prompts that many requests have.

use crate::ServiceName;
use crate::request_fingerprint::{InvalidFingerprint, RequestFingerprint};
use crate::short_hash::short_hash;
use derive_more::{Display, Error, From};
use std::str::FromStr;

/// The text before a part's digits, which no request's fingerprint begins with.
const PART_PREFIX: &str = "part-";
/// The number of hexadecimal digits of [`PartFingerprint::service`].
const SERVICE_DIGITS: usize = 8;
/// The number of hexadecimal digits of [`PartFingerprint::part`].
const PART_DIGITS: usize = 16;

/// The identity of a part of prompts at one service, the same on every daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{PART_PREFIX}{service:08x}{part:016x}")]
pub struct PartFingerprint {
    /// Upper half of a hash of the service's name.
    pub service: u32,
    /// Hash of the part's name.
    pub part: u64,
}

impl PartFingerprint {
    /// Returns the fingerprint of the part with this hash.
    pub fn new(service: &ServiceName, part: u64) -> Self {
        let service = short_hash(service.as_str().as_bytes());
        Self { service, part }
    }
}

/// What may crash the endpoints that run it.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashSuspect {
    /// A request and its repetitions.
    Request(RequestFingerprint),
    /// All requests with a part in their prompts.
    Part(PartFingerprint),
}

impl CrashSuspect {
    /// Returns whether it is a request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// The error for a text that isn't a suspect.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a suspect is a request's fingerprint, or a part's behind \"part-\"")]
pub struct InvalidSuspect;

impl From<InvalidFingerprint> for InvalidSuspect {
    fn from(_: InvalidFingerprint) -> Self {
        Self
    }
}

impl FromStr for PartFingerprint {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Self, InvalidSuspect> {
        let digits = text.strip_prefix(PART_PREFIX).ok_or(InvalidSuspect)?;
        let is_hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits.len() != SERVICE_DIGITS + PART_DIGITS || !is_hex {
            return Err(InvalidSuspect);
        }
        let (service, part) = digits.split_at(SERVICE_DIGITS);
        Ok(Self {
            service: u32::from_str_radix(service, 16).map_err(|_| InvalidSuspect)?,
            part: u64::from_str_radix(part, 16).map_err(|_| InvalidSuspect)?,
        })
    }
}

impl FromStr for CrashSuspect {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Self, InvalidSuspect> {
        if text.starts_with(PART_PREFIX) {
            return Ok(Self::Part(text.parse()?));
        }
        Ok(Self::Request(text.parse()?))
    }
}

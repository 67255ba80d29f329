//! Stream version: at which software version may a stream begin, and at which may it go on?
//!
//! Inputs: the versions that are registered for the request's host ([`RegisteredVersions`]), when the stream
//! was taken up and when the newest proof was requested (ms of this daemon's clock), the age of that
//! proof (ms), and whether a registration may be missing after a return of the source from a copy.
//!
//! Rules:
//! - A resumable stream begins only at a version that is registered as active.
//! - The version of a stream that nobody reported is known only if a single version is registered,
//!   active or retired, in a state that was proved after the stream was taken up.
//! - Streams are reported while other daemons can't rely on that: while not exactly one version is
//!   registered, while registrations may be missing, and before this daemon's proof is as old as it
//!   gets when the source is away.
//!
//! Reason: what two versions write doesn't fit together, and endpoints don't check it. A client takes
//! up what has begun, so its version was registered before; a state that was the newest later than
//! that has the registration, also on a daemon that has just started or was cut off. Routes may lead to
//! several services, be moved and be split while a stream runs; its host stays. How long a version stays
//! registered is the rule [`super::version_registration`].
//!
//! Tests: `stream_version_rule.rs`, `stream_versions.rs`.

use bridgevane_types::{DurationMs, ServiceName, SoftwareVersion, TimeMs, short_hash};
use derive_more::{Display, Error};
use std::str::FromStr;

/// The age of a proof from which on streams are reported, unless proofs expire sooner. A daemon that
/// reaches the source has a younger one.
const MAX_SILENT_PROOF_AGE: DurationMs = DurationMs(2_000);
/// The share of a proof's lifetime from which on streams are reported at the latest.
const MAX_SILENT_SHARE: f64 = 2.0 / 3.0;
/// Separates the names of a service and its version, which don't contain it.
const SEPARATOR: char = '\0';

/// The identifier of a service's software version in messages between daemons and in the source: the
/// upper half of a 64-bit hash of both names. Endpoints of a service that report no version have one of
/// their own in common; equal versions of two services differ.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:08x}")]
pub struct VersionHash(pub u32);

impl VersionHash {
    /// Returns the hash of a version of a service.
    pub fn new(service: &ServiceName, version: Option<&SoftwareVersion>) -> Self {
        let version = version.map_or("", SoftwareVersion::as_str);
        let service = service.as_str();
        Self(short_hash(
            format!("{service}{SEPARATOR}{version}").as_bytes(),
        ))
    }
}

/// The identifier of a host of routes in the source's records of versions: the upper half of a 64-bit
/// hash of its name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:08x}")]
pub struct HostHash(pub u32);

impl HostHash {
    /// Returns the hash of a host's name, which is in lower case.
    pub fn new(host: &str) -> Self {
        Self(short_hash(host.as_bytes()))
    }
}

/// The error for a text that isn't a host's hash.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a host's hash has eight hexadecimal digits")]
pub struct InvalidHostHash;

impl FromStr for HostHash {
    type Err = InvalidHostHash;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = u32::from_str_radix(text, 16).map_err(|_| InvalidHostHash)?;
        // Other spellings of a number name no host.
        let is_canonical = Self(hash).to_string() == text;
        is_canonical.then_some(Self(hash)).ok_or(InvalidHostHash)
    }
}

/// The software versions of services at which streams of one host's routes may have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegisteredVersions {
    /// Those at which streams may begin.
    pub active: Vec<VersionHash>,
    /// Those at which no more streams begin, and earlier ones may still run.
    pub retired: Vec<VersionHash>,
}

/// What a daemon relies on when it concludes at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionEvidence {
    /// When the stream was taken up.
    pub taken_up_at: TimeMs,
    /// When the newest proof was requested; `None` without one.
    pub proved_at: Option<TimeMs>,
    /// Whether a registration may be missing: the source came back from a copy.
    pub may_lack_versions: bool,
}

/// What is known of the version of a stream that nobody reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreportedVersion {
    /// It began at this version.
    Known(VersionHash),
    /// It is known as soon as a proof is newer than the question.
    NeedsProof,
    /// It can't be concluded from the registered versions.
    Unknown,
}

impl RegisteredVersions {
    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = VersionHash> {
        self.active.iter().chain(&self.retired).copied()
    }

    /// Returns the only one.
    fn only(&self) -> Option<VersionHash> {
        let mut all = self.all();
        let only = all.next()?;
        all.next().is_none().then_some(only)
    }

    /// Returns the version at which a stream began that nobody reported.
    pub fn unreported(&self, evidence: VersionEvidence) -> UnreportedVersion {
        let Some(only) = self.only().filter(|_| !evidence.may_lack_versions) else {
            return UnreportedVersion::Unknown;
        };
        // A proof that was requested in the millisecond of the question may be older than it.
        let is_newer = evidence
            .proved_at
            .is_some_and(|at| at > evidence.taken_up_at);
        if is_newer {
            UnreportedVersion::Known(only)
        } else {
            UnreportedVersion::NeedsProof
        }
    }

    /// Returns whether streams that begin now are reported to the other daemons; `proof_age` is that of
    /// the newest proof, and `proof_lifetime` how long one is valid.
    pub fn needs_reports(
        &self,
        proof_age: Option<DurationMs>,
        proof_lifetime: DurationMs,
        may_lack_versions: bool,
    ) -> bool {
        let limit = silent_proof_age(proof_lifetime);
        may_lack_versions || self.only().is_none() || proof_age.is_none_or(|age| age >= limit)
    }
}

/// Returns the age of a proof from which on streams are reported.
fn silent_proof_age(proof_lifetime: DurationMs) -> DurationMs {
    let share = proof_lifetime.0 as f64 * MAX_SILENT_SHARE;
    MAX_SILENT_PROOF_AGE.min(DurationMs(share as u64))
}

//! Stream version: at which software version may a stream begin, and at which may it go on?
//!
//! Inputs: for each software version of a service when it was first seen and when its last endpoint
//! was gone ([`VersionSpan`], ms of this daemon's clock), how far back that is known, the age of the
//! newest proof (ms), and the notice time ([`notice_time`], ms).
//!
//! Rules:
//! - A resumable stream begins at versions that were first seen at least the notice time ago. If
//!   there is none, it begins at any.
//! - The version of a stream that nobody reported is known only if a single version can have begun
//!   it: within [`VERSION_MEMORY`] no other one served, or none of the others can have been seen by
//!   any daemon for the notice time.
//! - That holds only while the newest proof is younger than the notice time, and the versions of at
//!   least that time are known.
//! - Streams are reported while that can't be relied on by every daemon: while several versions are
//!   known, and before the proof or the history becomes too short.
//!
//! Reason: what two versions write doesn't fit together, and endpoints don't check it. A daemon whose
//! state is proved to be younger than the notice time knows every version that has begun streams, so
//! that a fleet of one version has to report nothing.
//!
//! Tests: `stream_version_rule.rs`, `stream_versions.rs`.

use bridgevane_types::{DurationMs, SoftwareVersion, TimeMs, short_hash};
use derive_more::Display;

/// For how long a version counts after its last endpoint was gone. It is longer than any stream with
/// all attempts of its client.
pub const VERSION_MEMORY: DurationMs = DurationMs(60_000);
/// The longest notice time. The state of a daemon that follows the source is at most half as old.
const MAX_NOTICE_TIME: DurationMs = DurationMs(3_000);

/// The identifier of a software version in messages between daemons: the upper half of a 64-bit hash.
/// Endpoints that report no version have one of their own in common.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:08x}")]
pub struct VersionHash(pub u32);

impl VersionHash {
    /// Returns the hash of a version.
    pub fn new(version: Option<&SoftwareVersion>) -> Self {
        let text = version.map_or("", SoftwareVersion::as_str);
        Self(short_hash(text.as_bytes()))
    }
}

/// Returns for how long a version must have been known before resumable streams begin there.
pub fn notice_time(proof_lifetime: DurationMs) -> DurationMs {
    proof_lifetime.min(MAX_NOTICE_TIME)
}

/// When a software version served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSpan {
    /// The version.
    pub version: VersionHash,
    /// When a daemon first saw it.
    pub seen_at: TimeMs,
    /// No daemon can have seen it before.
    pub not_before: TimeMs,
    /// When its last endpoint was gone; `None` while one is known.
    pub gone_at: Option<TimeMs>,
}

/// What a daemon relies on when it concludes at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The current time.
    pub now: TimeMs,
    /// The notice time.
    pub notice_time: DurationMs,
    /// The age of the newest proof; `None` without one.
    pub proof_age: Option<DurationMs>,
    /// Since when the versions of all services are known.
    pub known_since: TimeMs,
}

impl VersionEvidence {
    /// Returns whether every version that has begun streams is known.
    fn is_complete(&self) -> bool {
        let has_recent_proof = self.proof_age.is_some_and(|age| age < self.notice_time);
        has_recent_proof && self.now >= self.known_since + self.notice_time
    }

    /// Returns whether it becomes incomplete before long.
    fn is_ending(&self) -> bool {
        let limit = DurationMs(self.notice_time.0 * 2 / 3);
        !self.is_complete() || self.proof_age.is_none_or(|age| age >= limit)
    }
}

/// The software versions of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    spans: Vec<VersionSpan>,
}

impl ServiceVersions {
    /// Records the versions of the endpoints that are known now; `not_before` is the moment of the
    /// newest proof of a state without the new ones.
    pub fn observe(&mut self, now: TimeMs, not_before: TimeMs, present: &[VersionHash]) {
        for span in &mut self.spans {
            let is_present = present.contains(&span.version);
            span.gone_at = (!is_present).then(|| span.gone_at.unwrap_or(now));
        }
        self.expire(now);
        for version in present {
            if !self.spans.iter().any(|span| span.version == *version) {
                self.spans.push(VersionSpan {
                    version: *version,
                    seen_at: now,
                    not_before,
                    gone_at: None,
                });
            }
        }
    }

    /// Merges what another daemon knows of a version.
    pub fn merge(&mut self, now: TimeMs, other: VersionSpan) {
        let known = self
            .spans
            .iter_mut()
            .find(|span| span.version == other.version);
        match known {
            Some(span) => {
                span.seen_at = span.seen_at.min(other.seen_at);
                span.not_before = span.not_before.max(other.not_before);
            }
            // Without an endpoint here it counts as gone, also if others still know one.
            None => self.spans.push(VersionSpan {
                gone_at: Some(other.gone_at.unwrap_or(now)),
                ..other
            }),
        }
        self.expire(now);
    }

    fn expire(&mut self, now: TimeMs) {
        let is_recent = |at: TimeMs| now.since(at) < VERSION_MEMORY;
        self.spans.retain(|span| span.gone_at.is_none_or(is_recent));
    }

    fn recent(&self, now: TimeMs) -> impl Iterator<Item = &VersionSpan> {
        let is_recent = move |at: TimeMs| now.since(at) < VERSION_MEMORY;
        self.spans
            .iter()
            .filter(move |span| span.gone_at.is_none_or(is_recent))
    }

    /// Returns whether several versions served lately.
    pub fn is_mixed(&self, now: TimeMs) -> bool {
        self.recent(now).nth(1).is_some()
    }

    /// Returns the versions that served lately.
    pub fn spans(&self, now: TimeMs) -> impl Iterator<Item = VersionSpan> {
        self.recent(now).copied()
    }

    /// Returns the versions at which a resumable stream may begin; `None` if it may at any.
    pub fn may_begin(&self, now: TimeMs, notice_time: DurationMs) -> Option<Vec<VersionHash>> {
        if !self.is_mixed(now) {
            return None;
        }
        let established: Vec<VersionHash> = (self.spans.iter())
            .filter(|span| span.gone_at.is_none() && now >= span.seen_at + notice_time)
            .map(|span| span.version)
            .collect();
        (!established.is_empty()).then_some(established)
    }

    /// Returns the version at which a stream began that nobody reported; `None` if several versions
    /// can have begun it, or the evidence doesn't suffice.
    pub fn only_version(&self, evidence: VersionEvidence) -> Option<VersionHash> {
        if !evidence.is_complete() {
            return None;
        }
        let now = evidence.now;
        let can_have_begun = |span: &&VersionSpan| now >= span.not_before + evidence.notice_time;
        let mut candidates = self.recent(now).filter(can_have_begun);
        let only = candidates.next()?;
        candidates.next().is_none().then_some(only.version)
    }

    /// Returns whether the streams that begin are reported to all daemons.
    pub fn needs_reports(&self, evidence: VersionEvidence) -> bool {
        self.is_mixed(evidence.now) || evidence.is_ending()
    }
}

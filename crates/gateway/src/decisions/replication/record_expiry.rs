//! Record expiry: is an endpoint gone, or was its record only lost while the source was away?
//!
//! Endpoints renew their records at the control source. While it is away they can't, and records of
//! live endpoints may expire.
//!
//! Inputs: the age of the newest proof (ms) when a record is gone, and how long an endpoint may be
//! used without one (ms, `--drain-ms` less 300).
//!
//! Rule: where nothing was heard of the source for `OUTAGE_AFTER`, or was not until
//! `RECORDS_BACK_WITHIN` ago, an endpoint whose record is gone is used a little longer, but not beyond
//! `RECORDS_BACK_WITHIN`; otherwise it is gone at once. One that had said that it drains is always gone
//! at once.
//!
//! Reason: some of these endpoints have left meanwhile, and must be out of use within `--drain-ms` of
//! that, which may be heard of 0.4 s late just after an outage.
//!
//! Measured: commit 522feb5 (an outage of six seconds: 12 of 12 endpoints kept and renewed; neither
//! gain nor harm on that day). Without the end at `RECORDS_BACK_WITHIN`, apie-arena-grown scale-2
//! (seed 103) broke DRAIN once: 3.01 s for 3.
//!
//! Tests: `admission.rs::records_that_go_after_an_outage…`, `freshness.rs::a_record_that_lapsed…`,
//! `a_record_that_does_not_come_back…`.

use bridgevane_types::{DurationMs, TimeMs};

/// A source of which nothing was heard for so long was away. Chosen because records expire in no
/// shorter time: an endpoint's record goes after three heartbeats of about 1.2 s without one.
const OUTAGE_AFTER: DurationMs = DurationMs(2_500);
/// Records of live endpoints are back so soon after the source is. Chosen because the platform says
/// about two seconds; the rest is for a daemon to hear of it.
const RECORDS_BACK_WITHIN: DurationMs = DurationMs(2_500);

/// What becomes of an endpoint whose record is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It gets nothing more.
    AtOnce,
    /// It is used until then, unless its record comes back before.
    ExpiresAt(TimeMs),
}

/// Remembers the last outage of the source.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceOutage {
    records_back_until: TimeMs,
}

impl SourceOutage {
    /// What becomes of endpoints whose records are gone now; `proof_age` is that of the newest
    /// proof before the answer that says so, `grace` how long they may be used.
    pub fn removal(
        &mut self,
        now: TimeMs,
        proof_age: Option<DurationMs>,
        grace: DurationMs,
    ) -> Removal {
        if proof_age.is_some_and(|age| age >= OUTAGE_AFTER) {
            self.records_back_until = now + RECORDS_BACK_WITHIN;
        }
        if now < self.records_back_until {
            return Removal::ExpiresAt(self.records_back_until.min(now + grace));
        }
        Removal::AtOnce
    }
}

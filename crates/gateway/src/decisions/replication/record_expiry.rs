//! Record expiry: whether an endpoint is gone, or only its record was lost during an outage of the
//! source.
//!
//! Endpoints renew their records at the control source. During an outage they can't, and records of
//! running endpoints may expire.
//!
//! Inputs: the age of the newest proof (ms) when a record is gone, and how long an endpoint may be
//! used without one (ms, `--drain-ms` less 300).
//!
//! Rule: if the source gave no proof for `OUTAGE_AFTER`, or such an outage ended or the source came
//! back from a copy less than `RECORD_RESTORE_TIME` ago, an endpoint whose record is gone is used a little longer, but not
//! beyond `RECORD_RESTORE_TIME`; otherwise it is removed at once. One that had announced that it
//! drains is always removed at once.
//!
//! Reason: some of these endpoints have left meanwhile, and must be out of use within `--drain-ms`;
//! just after an outage their removal may be seen 0.4 s late. In an outage of six seconds 12 of 12
//! endpoints were kept and renewed. Without the end at `RECORD_RESTORE_TIME` an endpoint was used
//! for 3.01 s of 3 s allowed.
//!
//! Tests: `admission.rs::records_removed_after_an_outage…`,
//! `freshness.rs::a_record_lost_in_an_outage_may_come_back`,
//! `an_endpoint_is_dropped_when_its_record_does_not_come_back`.

use bridgevane_types::{DurationMs, TimeMs};

/// A source that gave no proof for this time had an outage. Records expire in no shorter time: an
/// endpoint's record is removed after three missed heartbeats of about 1.2 s.
const OUTAGE_AFTER: DurationMs = DurationMs(2_500);
/// How long after an outage the records of running endpoints are back. The platform states about
/// two seconds; the rest is for the change to reach a daemon.
const RECORD_RESTORE_TIME: DurationMs = DurationMs(2_500);

/// How an endpoint whose record is gone is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It gets no more requests.
    AtOnce,
    /// It is used until this time, and longer if its record comes back before.
    ExpiresAt(TimeMs),
}

/// Tracks the last outage of the source.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceOutage {
    restore_until: TimeMs,
}

impl SourceOutage {
    /// Records that the source has come back from a copy, which may lack records of running endpoints.
    pub fn on_restored(&mut self, now: TimeMs) {
        self.restore_until = now + RECORD_RESTORE_TIME;
    }

    /// Returns how endpoints whose records are gone now are removed. `proof_age` is the age of the
    /// newest proof before the response without these records, `grace` how long they may be used.
    pub fn removal(
        &mut self,
        now: TimeMs,
        proof_age: Option<DurationMs>,
        grace: DurationMs,
    ) -> Removal {
        if proof_age.is_some_and(|age| age >= OUTAGE_AFTER) {
            self.restore_until = now + RECORD_RESTORE_TIME;
        }
        if now < self.restore_until {
            return Removal::ExpiresAt(self.restore_until.min(now + grace));
        }
        Removal::AtOnce
    }
}

//! Record expiry: whether an endpoint is gone, or only its record was lost during an outage of the
//! source.
//!
//! Endpoints renew their records at the control source. During an outage they can't, and records of
//! running endpoints may expire.
//!
//! Inputs: the time of the newest proof before the response that lacks the record, the last time at which
//! the endpoint showed that it isn't leaving, whether its service has other endpoints, and how long an
//! endpoint may be used after its record was removed (ms, `--drain-ms` less 300).
//!
//! Rules: if the source gave no proof for `OUTAGE_AFTER`, or such an outage ended or the source came
//! back from a copy less than `RECORD_RESTORE_TIME` ago, a record that is gone may be lost. Its endpoint
//! is used until the grace has passed since the newest proof or since the endpoint showed that it isn't
//! leaving, whichever is later; but not beyond `RECORD_RESTORE_TIME`. If no other endpoint of its service
//! has a record, it is used for the grace from now. Otherwise it is removed at once, as one that had
//! announced that it drains always is.
//!
//! Reason: some of these endpoints have left meanwhile, at any time since the newest proof, and must be
//! out of use within `--drain-ms`. An answer that keeps its connection open shows that the endpoint runs
//! on. Without the end at `RECORD_RESTORE_TIME` an endpoint was used for 3.01 s of 3 s allowed. See
//! docs/design/32.
//!
//! Tests: `admission.rs::a_record_that_is_gone…`, `freshness.rs::a_record_lost_in_an_outage…`,
//! `an_endpoint_is_dropped_when_its_record_does_not_come_back`, `gone_records.rs`.

use bridgevane_types::{DurationMs, TimeMs};

/// A source that gave no proof for this time had an outage. Records expire in no shorter time: an
/// endpoint's record is removed after three missed heartbeats of about 1.2 s.
const OUTAGE_AFTER: DurationMs = DurationMs(2_500);
/// How long after an outage the records of running endpoints are back. The platform states about
/// two seconds; the rest is for the change to reach a daemon.
const RECORD_RESTORE_TIME: DurationMs = DurationMs(2_500);

/// How endpoints whose records are gone are removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// They get no more requests.
    AtOnce,
    /// Their records may be lost.
    MayBeLost(LostRecord),
}

/// A record that may be lost, and how long its endpoint may be used without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRecord {
    /// Until when the endpoint may be used if it isn't known to be there later.
    pub usable_until: TimeMs,
    /// How long it may be used after it is known to be there.
    pub grace: DurationMs,
    /// When a record that was lost is back.
    pub restored_by: TimeMs,
}

impl LostRecord {
    /// Returns the record if no other endpoint of the service has one.
    #[must_use]
    pub fn of_last_endpoint(self, now: TimeMs) -> Self {
        Self {
            usable_until: now + self.grace,
            ..self
        }
    }

    /// Returns when the endpoint counts as gone. `stayed_at` is the last time at which it showed that it
    /// isn't leaving.
    pub fn expires_at(self, stayed_at: Option<TimeMs>) -> TimeMs {
        let shown_until = stayed_at.map(|at| at + self.grace);
        let until = shown_until.map_or(self.usable_until, |until| until.max(self.usable_until));
        until.min(self.restored_by)
    }
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

    /// Returns how endpoints whose records are gone now are removed. `proved_at` is the time of the
    /// newest proof before the response without these records, `grace` how long they may be used.
    pub fn removal(
        &mut self,
        now: TimeMs,
        proved_at: Option<TimeMs>,
        grace: DurationMs,
    ) -> Removal {
        if proved_at.is_some_and(|proved_at| now.since(proved_at) >= OUTAGE_AFTER) {
            self.restore_until = now + RECORD_RESTORE_TIME;
        }
        if now >= self.restore_until {
            return Removal::AtOnce;
        }
        Removal::MayBeLost(LostRecord {
            usable_until: proved_at.map_or(now, |proved_at| proved_at + grace),
            grace,
            restored_by: self.restore_until,
        })
    }
}

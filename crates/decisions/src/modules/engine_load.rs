//! What runs on an engine: own work exactly, others' work from lagged reports.
//!
//! A report describes an earlier moment. Own work at that moment is subtracted from it, so
//! that what remains is the work of others; own work since then is known exactly.

use bridgevane_types::{DurationMs, TimeMs};

/// Samples of own work that are kept: with one a tenth of a second, 6.4 s of lag. Chosen because 64
/// samples of 100 ms cover the oldest report that counts.
const SAMPLES: usize = 64;
/// Time between two samples. Not measured, chosen because reports lag by hundreds of milliseconds,
/// and finer samples say no more.
const SAMPLE_EVERY_MS: u64 = 100;

/// A report that nothing follows for this long no longer counts: its requests have ended, or the
/// engine is gone, which its health tells. Not measured, chosen because engines are asked every 5
/// s.
const REPORT_MEMORY_MS: u64 = 5_000;

/// Work on one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineLoad {
    in_flight: u32,
    others: u32,
    reported_at: TimeMs,
    samples: [u32; SAMPLES],
    /// Number of the newest sample's interval.
    newest: u64,
}

impl EngineLoad {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: 0,
            others: 0,
            reported_at: TimeMs(0),
            samples: [0; SAMPLES],
            newest: 0,
        }
    }

    /// Own requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// All requests there, by own count and the engine's last load report.
    pub(crate) fn total(&self) -> u32 {
        self.in_flight + self.others
    }

    pub(crate) fn add(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.sample(now);
    }

    pub(crate) fn remove(&mut self, now: TimeMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sample(now);
    }

    /// Keeps the largest own work of the running interval.
    pub(crate) fn sample(&mut self, now: TimeMs) {
        let interval = now.0 / SAMPLE_EVERY_MS;
        let missed = interval.saturating_sub(self.newest).min(SAMPLES as u64);
        let carried = self.samples[(self.newest % SAMPLES as u64) as usize];
        for step in 0..missed {
            let at = (interval - step) % SAMPLES as u64;
            self.samples[at as usize] = carried;
        }
        if missed > 0 {
            self.samples[(interval % SAMPLES as u64) as usize] = self.in_flight;
        }
        self.newest = self.newest.max(interval);
        let newest = &mut self.samples[(self.newest % SAMPLES as u64) as usize];
        *newest = self.in_flight.max(*newest);
    }

    /// Takes a report of `busy` requests as of `age_ms` ago.
    pub(crate) fn report(&mut self, now: TimeMs, busy: u32, age_ms: DurationMs) {
        self.sample(now);
        let described_at = now.0.saturating_sub(age_ms.0) / SAMPLE_EVERY_MS;
        let oldest = self.newest.saturating_sub(SAMPLES as u64 - 1);
        let interval = described_at.clamp(oldest, self.newest);
        let own = self.samples[(interval % SAMPLES as u64) as usize];
        self.others = busy.saturating_sub(own);
        self.reported_at = now;
    }

    /// Forgets others' work when no report came for long.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        if now.since(self.reported_at).0 > REPORT_MEMORY_MS {
            self.others = 0;
        }
    }

    /// Forgets others' work, as when the engine restarted.
    pub(crate) fn forget_others(&mut self) {
        self.others = 0;
    }
}

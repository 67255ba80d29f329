//! The load of an engine: own requests are counted, those of other daemons come from reports.
//!
//! A load report describes an earlier time. The own requests in flight at that time are subtracted
//! from it, which leaves the requests of other daemons. Own requests since then are known exactly.

use bridgevane_types::{DurationMs, TimeMs};

/// The number of samples of own requests in flight: 64 samples of 100 ms cover 6.4 s of lag, more
/// than the age of the oldest report that counts.
const MAX_SAMPLES: usize = 64;
/// The interval of a sample (ms). Reports lag by hundreds of milliseconds, so that finer samples
/// would add nothing.
const SAMPLE_EVERY_MS: u64 = 100;

/// The time after which a report without a successor no longer counts (ms): its requests have
/// ended, or the engine is gone, which its health shows. Engines are polled every 5 s.
const REPORT_MEMORY_MS: u64 = 5_000;

/// The requests on one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineLoad {
    in_flight: u32,
    others_in_flight: u32,
    reported_at: TimeMs,
    samples: [u32; MAX_SAMPLES],
    /// The number of the newest sample's interval.
    newest_interval: u64,
}

impl EngineLoad {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: 0,
            others_in_flight: 0,
            reported_at: TimeMs(0),
            samples: [0; MAX_SAMPLES],
            newest_interval: 0,
        }
    }

    /// Returns the number of own requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of all requests on the engine, by own count and the last load report.
    pub(crate) fn total(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    pub(crate) fn add(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.sample(now);
    }

    pub(crate) fn remove(&mut self, now: TimeMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sample(now);
    }

    /// Samples the own requests in flight; an interval keeps its maximum.
    pub(crate) fn sample(&mut self, now: TimeMs) {
        let interval = now.0 / SAMPLE_EVERY_MS;
        let missed = interval
            .saturating_sub(self.newest_interval)
            .min(MAX_SAMPLES as u64);
        let carried = self.samples[(self.newest_interval % MAX_SAMPLES as u64) as usize];
        for step in 0..missed {
            let index = (interval - step) % MAX_SAMPLES as u64;
            self.samples[index as usize] = carried;
        }
        if missed > 0 {
            self.samples[(interval % MAX_SAMPLES as u64) as usize] = self.in_flight;
        }
        self.newest_interval = self.newest_interval.max(interval);
        let current = &mut self.samples[(self.newest_interval % MAX_SAMPLES as u64) as usize];
        *current = self.in_flight.max(*current);
    }

    /// Applies a report of the requests on the engine as of `age_ms` ago.
    pub(crate) fn apply_report(&mut self, now: TimeMs, reported_requests: u32, age_ms: DurationMs) {
        self.sample(now);
        let described_at = now.0.saturating_sub(age_ms.0) / SAMPLE_EVERY_MS;
        let oldest = self.newest_interval.saturating_sub(MAX_SAMPLES as u64 - 1);
        let interval = described_at.clamp(oldest, self.newest_interval);
        let own_in_flight = self.samples[(interval % MAX_SAMPLES as u64) as usize];
        self.others_in_flight = reported_requests.saturating_sub(own_in_flight);
        self.reported_at = now;
    }

    /// Drops the count of other daemons' requests if the last report is too old.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        if now.since(self.reported_at).0 > REPORT_MEMORY_MS {
            self.others_in_flight = 0;
        }
    }

    /// Drops the count of other daemons' requests, for example after a restart of the engine.
    pub(crate) fn clear_others(&mut self) {
        self.others_in_flight = 0;
    }
}

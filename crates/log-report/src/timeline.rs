//! Counts over time in a bounded number of buckets.

use crate::counts::OutcomeCounts;
use crate::row::SummaryRow;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, UNIX_EPOCH};

/// The maximum number of buckets, one per second of an hour; for longer logs, pairs of buckets are
/// merged.
const MAX_BUCKETS: usize = 3_600;
/// The initial width of a bucket in milliseconds, since rates are reported per second.
const INITIAL_WIDTH_MS: u64 = 1_000;

/// Counts over time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeline {
    width_ms: u64,
    buckets: BTreeMap<u64, OutcomeCounts>,
}

/// The counts of one time interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineBucket {
    /// The start of the interval, in Unix milliseconds.
    pub from_ms: u64,
    /// The counts in the interval.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}

impl TimelineBucket {
    /// Returns the bucket as a row of a table, named by its start.
    pub fn as_row(&self) -> SummaryRow {
        let from = UNIX_EPOCH + Duration::from_millis(self.from_ms);
        SummaryRow {
            name: humantime::format_rfc3339_seconds(from).to_string(),
            counts: self.counts,
            queue_p50_ms: None,
            queue_p99_ms: None,
        }
    }
}

impl Default for Timeline {
    fn default() -> Self {
        Self {
            width_ms: INITIAL_WIDTH_MS,
            buckets: BTreeMap::new(),
        }
    }
}

impl Timeline {
    /// Adds the counts of a line written at `at_ms`.
    pub(crate) fn add(&mut self, at_ms: u64, counts: OutcomeCounts) {
        let bucket = self.buckets.entry(at_ms / self.width_ms).or_default();
        *bucket += counts;
        while self.buckets.len() > MAX_BUCKETS {
            self.widen();
        }
    }

    fn widen(&mut self) {
        self.width_ms *= 2;
        for (at, counts) in std::mem::take(&mut self.buckets) {
            *self.buckets.entry(at / 2).or_default() += counts;
        }
    }

    /// Returns the width of a bucket, in milliseconds.
    pub fn width_ms(&self) -> u64 {
        self.width_ms
    }

    /// Returns the buckets in order of time, without empty ones.
    pub fn buckets(&self) -> impl Iterator<Item = TimelineBucket> {
        self.buckets.iter().map(|(at, counts)| TimelineBucket {
            from_ms: at * self.width_ms,
            counts: *counts,
        })
    }
}

//! Counts the outcomes of requests by reason, endpoint, route, customer and data centre, and over
//! time.

use crate::counts::OutcomeCounts;
use crate::line::LogLine;
use crate::row::SummaryRow;
use crate::timeline::Timeline;
use derive_more::Display;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// The maximum number of rows per dimension, which bounds the memory for any log; further names are
/// counted in one row. The largest deployment to design for has 850 endpoints and 1,100 customers.
const MAX_ROWS: usize = 4_096;
/// The name of the row for all names beyond the maximum.
const OTHERS: &str = "(others)";
/// The name of the row for lines without a value.
const UNKNOWN: &str = "(not said)";
/// The maximum recorded queueing time in milliseconds, which is above any client's deadline; longer
/// ones are recorded as this value.
const MAX_QUEUE_MS: u64 = 600_000;
/// The significant digits of a recorded queueing time, which is an estimate; one more digit would
/// take ten times the memory per row.
const QUEUE_DIGITS: u8 = 2;

/// The property by which requests are grouped into rows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Dimension {
    /// The reason of a refusal, or of the failure of an attempt or a stream.
    #[display("reason")]
    Reason,
    /// The endpoint.
    #[display("endpoint")]
    Endpoint,
    /// The service, which only decisions on retries name.
    #[display("service")]
    Service,
    /// The route.
    #[display("route")]
    Route,
    /// The customer.
    #[display("customer")]
    Customer,
    /// The data centre of the daemon.
    #[display("data centre")]
    DataCentre,
    /// The VM of the daemon.
    #[display("VM")]
    Vm,
}

impl Dimension {
    /// All dimensions, in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::Reason,
        Self::Service,
        Self::Route,
        Self::Customer,
        Self::Endpoint,
        Self::DataCentre,
        Self::Vm,
    ];

    fn value_in<'a>(self, line: &'a LogLine<'_>) -> Option<&'a str> {
        match self {
            Self::Reason => line.cause.as_deref(),
            Self::Endpoint => line.endpoint.as_deref(),
            Self::Service => line.service.as_deref(),
            Self::Route => line.route.as_deref(),
            Self::Customer => line.customer.as_deref(),
            Self::DataCentre => line.data_centre.as_deref(),
            Self::Vm => line.vm.as_deref(),
        }
    }
}

#[derive(Clone, Debug)]
struct RowState {
    counts: OutcomeCounts,
    queue_ms: Histogram<u32>,
}

impl Default for RowState {
    fn default() -> Self {
        let queue_ms = Histogram::new_with_max(MAX_QUEUE_MS, QUEUE_DIGITS);
        Self {
            counts: OutcomeCounts::default(),
            queue_ms: queue_ms.expect("the bounds are constants"),
        }
    }
}

impl RowState {
    fn add(&mut self, line: &LogLine<'_>, counts: OutcomeCounts) {
        self.counts += counts;
        if let Some(queue_ms) = line.queue_ms {
            self.queue_ms.saturating_record(queue_ms);
        }
    }

    fn row(&self, name: &str) -> SummaryRow {
        let quantile = |quantile| {
            let has_queues = !self.queue_ms.is_empty();
            has_queues.then(|| self.queue_ms.value_at_quantile(quantile))
        };
        SummaryRow {
            name: name.to_owned(),
            counts: self.counts,
            queue_p50_ms: quantile(0.5),
            queue_p99_ms: quantile(0.99),
        }
    }
}

/// A summary of logs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    total: RowState,
    rows: HashMap<(Dimension, String), RowState>,
    row_counts: HashMap<Dimension, usize>,
    timeline: Timeline,
}

impl Summary {
    /// Adds a line.
    pub fn add(&mut self, line: &LogLine<'_>) {
        let Some(counts) = OutcomeCounts::from_line(line) else {
            return;
        };
        self.total.add(line, counts);
        self.timeline.add(line.at_ms, counts);
        for dimension in Dimension::ALL {
            let name = dimension.value_in(line).unwrap_or(UNKNOWN);
            self.row(dimension, name).add(line, counts);
        }
    }

    fn row(&mut self, dimension: Dimension, name: &str) -> &mut RowState {
        let mut key = (dimension, name.to_owned());
        if !self.rows.contains_key(&key) {
            let rows = self.row_counts.entry(dimension).or_default();
            if *rows >= MAX_ROWS {
                key.1 = OTHERS.to_owned();
            } else {
                *rows += 1;
            }
        }
        self.rows.entry(key).or_default()
    }

    /// Returns the totals as one row.
    pub fn total(&self) -> SummaryRow {
        self.total.row("all")
    }

    /// Returns the rows of one dimension, those with the most failures first.
    pub fn rows(&self, dimension: Dimension) -> Vec<SummaryRow> {
        let entries = self.rows.iter();
        let dimension_entries = entries.filter(|((key, _), _)| *key == dimension);
        let mut rows: Vec<SummaryRow> = dimension_entries
            .map(|((_, name), state)| state.row(name))
            .collect();
        rows.sort_by(|a, b| {
            let by_failures = b.counts.failures().cmp(&a.counts.failures());
            by_failures.then_with(|| a.name.cmp(&b.name))
        });
        rows
    }

    /// Returns the counts over time.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }
}

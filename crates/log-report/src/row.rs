//! One row of a report table.

use crate::counts::OutcomeCounts;
use serde::Serialize;

/// The outcomes of the requests of one endpoint, customer, second …
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SummaryRow {
    /// The name of the reason, endpoint, customer …
    pub name: String,
    /// The counts of its requests.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
    /// The median of the queueing time expected when requests were sent or shed, in milliseconds.
    pub queue_p50_ms: Option<u64>,
    /// The 99th percentile of the same, in milliseconds.
    pub queue_p99_ms: Option<u64>,
}

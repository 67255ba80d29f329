//! The metrics of `serve`: requests by class, tokens, calls to the platform, bytes between daemons.
//!
//! Names and labels are an interface to operators' dashboards and must not change.

use crate::modules::process::metrics_page::MetricsPage;
use bridgevane_types::{ClassName, Tokens};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// The buckets of times to the first token, in seconds. The targets of classes range from 0.1 to
/// 15 s; 0.81 s is the target that the design aims for.
const LATENCY_BUCKETS_S: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.81, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// The daemon's instruments.
pub struct Metrics {
    page: MetricsPage,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    wasted_tokens: Counter<u64>,
    first_token_s: Histogram<f64>,
    platform_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments with their own registry.
    pub fn new() -> Self {
        let page = MetricsPage::new();
        let meter = page.meter();
        Self {
            requests: meter.u64_counter("bridgevane_requests").build(),
            tokens: meter.u64_counter("bridgevane_tokens").build(),
            wasted_tokens: meter.u64_counter("bridgevane_wasted_tokens").build(),
            first_token_s: meter
                .f64_histogram("bridgevane_first_token_seconds")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            platform_calls: meter.u64_counter("bridgevane_platform_calls").build(),
            peer_bytes: meter.u64_counter("bridgevane_peer_bytes").build(),
            page,
        }
    }

    /// Counts a request that got its final answer.
    pub(crate) fn count_request(&self, class: &ClassName, result: &'static str) {
        let labels = [class_label(class), KeyValue::new("result", result)];
        self.requests.add(1, &labels);
    }

    /// Records the time to the first token, or to the answer of a plain service.
    pub fn record_first_token(&self, class: &ClassName, seconds: f64) {
        self.first_token_s.record(seconds, &[class_label(class)]);
    }

    /// Counts tokens that were delivered to the caller.
    pub fn count_delivered_tokens(&self, class: &ClassName, tokens: Tokens) {
        self.tokens.add(tokens.0, &[class_label(class)]);
    }

    /// Counts tokens that were computed but not used.
    pub fn count_wasted_tokens(&self, cause: &'static str, tokens: Tokens) {
        self.wasted_tokens
            .add(tokens.0, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a call to the platform.
    pub(crate) fn count_platform_call(&self, kind: &'static str) {
        self.platform_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes that were sent to or received from other daemons.
    pub(crate) fn count_peer_bytes(
        &self,
        direction: &'static str,
        purpose: &'static str,
        bytes: u64,
    ) {
        let labels = [
            KeyValue::new("direction", direction),
            KeyValue::new("purpose", purpose),
        ];
        self.peer_bytes.add(bytes, &labels);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn page(&self) -> String {
        self.page.text()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn class_label(class: &ClassName) -> KeyValue {
    KeyValue::new("class", class.as_str().to_owned())
}

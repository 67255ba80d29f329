//! The gateway's metrics: answers, refusals, attempts, calls of the source and of other daemons.
//!
//! Names and labels are an interface to operators' dashboards (docs/OPERATIONS.md) and don't
//! change.

use crate::control::source::SourceError;
use crate::decisions::admission::refusal::RefusalReason;
use crate::decisions::duties::engine_plan::{EngineKind, EnginesByDataCentre};
use crate::decisions::replication::source_path::SourcePath;
use crate::decisions::replication::upstream::SourceCause;
use crate::decisions::resend::AttemptError;
use crate::replication::peer_error::PeerError;
use bridgevane_types::{DurationMs, ServiceName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use std::time::Duration;

/// Bounds of the buckets of the first byte, in seconds. Chosen because the users' targets are 0.1
/// to 1.5 s.
const FIRST_BYTE_BUCKETS_S: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0];

/// The gateway's instruments.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    served: Counter<u64>,
    refused: Counter<u64>,
    broken_off: Counter<u64>,
    failed_attempts: Counter<u64>,
    requests: Counter<u64>,
    retries: Counter<u64>,
    limits_heard: Counter<u64>,
    rests_wanted: Counter<u64>,
    source_calls: Counter<u64>,
    peer_questions: Counter<u64>,
    first_byte_s: Histogram<f64>,
    proof_age_s: Gauge<f64>,
    tree_depth: Gauge<u64>,
    holds_duties: Gauge<u64>,
    usage_told: Counter<u64>,
    engines: Gauge<u64>,
}

impl GatewayMetrics {
    /// The instruments of a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            served: counter("bridgevane_gateway_served"),
            refused: counter("bridgevane_gateway_refused"),
            broken_off: counter("bridgevane_gateway_broken_off"),
            failed_attempts: counter("bridgevane_gateway_failed_attempts"),
            requests: counter("bridgevane_gateway_requests"),
            retries: counter("bridgevane_gateway_retries"),
            limits_heard: counter("bridgevane_gateway_endpoint_limits"),
            rests_wanted: counter("bridgevane_gateway_endpoint_rests"),
            source_calls: counter("bridgevane_gateway_source_calls"),
            peer_questions: counter("bridgevane_gateway_peer_questions"),
            first_byte_s: meter
                .f64_histogram("bridgevane_gateway_first_byte_seconds")
                .with_boundaries(FIRST_BYTE_BUCKETS_S.to_vec())
                .build(),
            proof_age_s: meter
                .f64_gauge("bridgevane_gateway_proof_age_seconds")
                .build(),
            tree_depth: meter.u64_gauge("bridgevane_gateway_tree_depth").build(),
            holds_duties: meter.u64_gauge("bridgevane_gateway_holds_duties").build(),
            usage_told: counter("bridgevane_gateway_usage_windows_told"),
            engines: meter.u64_gauge("bridgevane_gateway_engines").build(),
        }
    }

    /// The age of the newest proof that the configuration is current; none: no proof yet.
    pub(crate) fn proof_age(&self, age: Option<DurationMs>) {
        if let Some(age) = age {
            self.proof_age_s.record(age.as_std().as_secs_f64(), &[]);
        }
    }

    /// An endpoint's answer reached its end.
    pub(crate) fn served(&self, service: &ServiceName, status: u16, first_byte: Duration) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        let status = KeyValue::new("status", i64::from(status));
        self.served.add(1, &[service.clone(), status]);
        self.first_byte_s
            .record(first_byte.as_secs_f64(), &[service]);
    }

    /// The daemon refused a request.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.refused.add(1, &[reason]);
    }

    /// An answer was cut on its way to the client.
    pub(crate) fn broken_off(&self) {
        self.broken_off.add(1, &[]);
    }

    /// An attempt gave no answer that can be used.
    pub(crate) fn attempt_failed(&self, cause: AttemptError) {
        let cause = KeyValue::new("cause", cause.to_string());
        self.failed_attempts.add(1, &[cause]);
    }

    /// A request for a service was admitted: the retry budget grows with it.
    pub(crate) fn request_admitted(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.requests.add(1, &[service]);
    }

    /// The retry budget was asked for a retry.
    pub(crate) fn retry_decided(&self, service: &ServiceName, is_granted: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.retries
            .add(1, &[service, KeyValue::new("granted", is_granted)]);
    }

    /// An endpoint of a service named another limit of its requests, or withdrew it.
    pub(crate) fn limit_heard(&self, service: &ServiceName, is_limited: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.limits_heard
            .add(1, &[service, KeyValue::new("limited", is_limited)]);
    }

    /// An endpoint of a service wants nothing from this daemon for a time.
    pub(crate) fn rest_wanted(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.rests_wanted.add(1, &[service]);
    }

    /// How many levels below the control source this daemon is; none: it follows nobody that does.
    pub(crate) fn tree_depth(&self, path: &SourcePath) {
        let depth = if path.reaches_source() {
            path.depth() as u64
        } else {
            0
        };
        self.tree_depth.record(depth, &[]);
    }

    /// The control source was called.
    pub(crate) fn source_called(&self, cause: SourceCause, result: Result<(), SourceError>) {
        let result = match result {
            Ok(()) => "ok".to_owned(),
            Err(error) => error.to_string(),
        };
        let result = KeyValue::new("result", result);
        let cause = KeyValue::new("cause", cause.to_string());
        self.source_calls.add(1, &[result, cause]);
    }

    /// Another daemon was asked.
    pub(crate) fn peer_asked(&self, error: Option<&PeerError>) {
        let result = error.map_or_else(|| "ok".to_owned(), ToString::to_string);
        self.peer_questions
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Whether this daemon holds the duties.
    pub(crate) fn duties_held(&self, is_held: bool) {
        self.holds_duties.record(u64::from(is_held), &[]);
    }

    /// A window's usage was told; `is_complete`: with the counts of every daemon.
    pub(crate) fn usage_told(&self, is_complete: bool) {
        self.usage_told
            .add(1, &[KeyValue::new("complete", is_complete)]);
    }

    /// Engines of a service that are planned and that run, as the holder sees them.
    pub(crate) fn engines(
        &self,
        service: &ServiceName,
        planned: &EnginesByDataCentre,
        running: &EnginesByDataCentre,
    ) {
        for (state, by_data_centre) in [("planned", planned), ("running", running)] {
            for (data_centre, counts) in by_data_centre {
                for kind in [EngineKind::Permanent, EngineKind::Reclaimable] {
                    let labels = [
                        KeyValue::new("service", service.to_string()),
                        KeyValue::new("data_centre", data_centre.to_string()),
                        KeyValue::new("kind", kind.to_string()),
                        KeyValue::new("state", state),
                    ];
                    self.engines.record(u64::from(counts.of(kind)), &labels);
                }
            }
        }
    }
}

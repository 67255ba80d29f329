//! The gateway's metrics: answers, refusals, attempts, and calls of the control source and of other
//! daemons.
//!
//! Names and labels are an interface to operators' dashboards (docs/OPERATIONS.md) and must not
//! change.

use crate::control::source::SourceError;
use crate::decisions::admission::refusal::RefusalReason;
use crate::decisions::duties::engine_plan::{EngineKind, EnginesByDataCentre};
use crate::decisions::replication::source_path::SourcePath;
use crate::decisions::replication::upstream::SourceCause;
use crate::decisions::resend::AttemptError;
use crate::replication::peer_error::PeerError;
use bridgevane_client_limits::ClientUsage;
use bridgevane_types::{DurationMs, ServiceName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use std::time::Duration;

/// The bucket bounds of the time to the first byte, in seconds. Users' targets are 0.1 to 1.5 s.
const FIRST_BYTE_BUCKETS_S: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0];

/// The gateway's metric instruments.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    served: Counter<u64>,
    refused: Counter<u64>,
    broken_off: Counter<u64>,
    failed_attempts: Counter<u64>,
    requests: Counter<u64>,
    retries: Counter<u64>,
    limit_changes: Counter<u64>,
    requested_backoffs: Counter<u64>,
    source_calls: Counter<u64>,
    peer_polls: Counter<u64>,
    first_byte_s: Histogram<f64>,
    proof_age_s: Gauge<f64>,
    tree_depth: Gauge<u64>,
    holds_duties: Gauge<u64>,
    submitted_usage_windows: Counter<u64>,
    engines: Gauge<u64>,
    quiet_engines: Gauge<u64>,
    quiet_streams: Gauge<u64>,
    out_of_reach: Gauge<u64>,
    forwarded: Counter<u64>,
    client_connections: Gauge<u64>,
    client_memory_bytes: Gauge<u64>,
    clients_turned_away: Gauge<u64>,
}

impl GatewayMetrics {
    /// Creates the instruments of a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            served: counter("bridgevane_gateway_served"),
            refused: counter("bridgevane_gateway_refused"),
            broken_off: counter("bridgevane_gateway_broken_off"),
            failed_attempts: counter("bridgevane_gateway_failed_attempts"),
            requests: counter("bridgevane_gateway_requests"),
            retries: counter("bridgevane_gateway_retries"),
            limit_changes: counter("bridgevane_gateway_endpoint_limits"),
            requested_backoffs: counter("bridgevane_gateway_endpoint_rests"),
            source_calls: counter("bridgevane_gateway_source_calls"),
            peer_polls: counter("bridgevane_gateway_peer_questions"),
            first_byte_s: meter
                .f64_histogram("bridgevane_gateway_first_byte_seconds")
                .with_boundaries(FIRST_BYTE_BUCKETS_S.to_vec())
                .build(),
            proof_age_s: meter
                .f64_gauge("bridgevane_gateway_proof_age_seconds")
                .build(),
            tree_depth: meter.u64_gauge("bridgevane_gateway_tree_depth").build(),
            holds_duties: meter.u64_gauge("bridgevane_gateway_holds_duties").build(),
            submitted_usage_windows: counter("bridgevane_gateway_usage_windows_told"),
            engines: meter.u64_gauge("bridgevane_gateway_engines").build(),
            quiet_engines: meter.u64_gauge("bridgevane_gateway_quiet_engines").build(),
            quiet_streams: meter.u64_gauge("bridgevane_gateway_quiet_streams").build(),
            out_of_reach: meter.u64_gauge("bridgevane_gateway_out_of_reach").build(),
            forwarded: counter("bridgevane_gateway_forwarded"),
            client_connections: meter
                .u64_gauge("bridgevane_gateway_client_connections")
                .build(),
            client_memory_bytes: meter
                .u64_gauge("bridgevane_gateway_client_memory_bytes")
                .build(),
            clients_turned_away: meter
                .u64_gauge("bridgevane_gateway_clients_turned_away")
                .build(),
        }
    }

    /// Records the age of the newest proof that the configuration is current; `None` before the first
    /// proof.
    pub(crate) fn proof_age(&self, age: Option<DurationMs>) {
        if let Some(age) = age {
            self.proof_age_s.record(age.as_std().as_secs_f64(), &[]);
        }
    }

    /// Records what clients make the process hold, and how many connections were turned away.
    pub(crate) fn clients(&self, usage: ClientUsage) {
        self.client_connections.record(usage.open as u64, &[]);
        self.client_memory_bytes.record(usage.held.0, &[]);
        let turned_away = [
            ("closed_for_others", usage.closed),
            ("no_room", usage.refused),
            ("late_head", usage.late_heads),
        ];
        for (reason, count) in turned_away {
            let reason = KeyValue::new("reason", reason);
            self.clients_turned_away.record(count, &[reason]);
        }
    }

    /// Counts a completed answer of an endpoint.
    pub(crate) fn served(&self, service: &ServiceName, status: u16, first_byte: Duration) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        let status = KeyValue::new("status", i64::from(status));
        self.served.add(1, &[service.clone(), status]);
        self.first_byte_s
            .record(first_byte.as_secs_f64(), &[service]);
    }

    /// Counts a request that the daemon refused.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.refused.add(1, &[reason]);
    }

    /// Counts a stream that broke off before its end.
    pub(crate) fn broken_off(&self) {
        self.broken_off.add(1, &[]);
    }

    /// Counts an attempt without a usable answer.
    pub(crate) fn attempt_failed(&self, cause: AttemptError) {
        let cause = KeyValue::new("cause", cause.to_string());
        self.failed_attempts.add(1, &[cause]);
    }

    /// Counts an admitted request of a service; the retry budget grows with it.
    pub(crate) fn request_admitted(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.requests.add(1, &[service]);
    }

    /// Counts a decision of the retry budget.
    pub(crate) fn retry_decided(&self, service: &ServiceName, is_granted: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.retries
            .add(1, &[service, KeyValue::new("granted", is_granted)]);
    }

    /// Counts a change of an endpoint's rate limit; `is_limited` is false if it was withdrawn.
    pub(crate) fn limit_changed(&self, service: &ServiceName, is_limited: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.limit_changes
            .add(1, &[service, KeyValue::new("limited", is_limited)]);
    }

    /// Counts an endpoint that asked this daemon for a back-off.
    pub(crate) fn backoff_requested(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.requested_backoffs.add(1, &[service]);
    }

    /// Records how many levels this daemon is below the control source; 0 if no path leads there.
    pub(crate) fn tree_depth(&self, path: &SourcePath) {
        let depth = if path.reaches_source() {
            path.depth() as u64
        } else {
            0
        };
        self.tree_depth.record(depth, &[]);
    }

    /// Counts a call of the control source.
    pub(crate) fn source_called(&self, cause: SourceCause, result: Result<(), SourceError>) {
        let result = match result {
            Ok(()) => "ok".to_owned(),
            Err(error) => error.to_string(),
        };
        let result = KeyValue::new("result", result);
        let cause = KeyValue::new("cause", cause.to_string());
        self.source_calls.add(1, &[result, cause]);
    }

    /// Counts a poll of another daemon; `None` stands for success.
    pub(crate) fn peer_polled(&self, error: Option<&PeerError>) {
        let result = error.map_or_else(|| "ok".to_owned(), ToString::to_string);
        self.peer_polls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records whether this daemon holds the duties.
    pub(crate) fn duties_held(&self, is_held: bool) {
        self.holds_duties.record(u64::from(is_held), &[]);
    }

    /// Counts a window whose usage was submitted; `is_complete` says whether the counts of every
    /// daemon were in it.
    pub(crate) fn usage_submitted(&self, is_complete: bool) {
        self.submitted_usage_windows
            .add(1, &[KeyValue::new("complete", is_complete)]);
    }

    /// Records how many engines of a service are quiet, and how many streams of all daemons need one.
    pub(crate) fn quiet_engines(&self, service: &ServiceName, engines: usize, streams: u32) {
        let service = [KeyValue::new("service", service.as_str().to_owned())];
        self.quiet_engines.record(engines as u64, &service);
        self.quiet_streams.record(u64::from(streams), &service);
    }

    /// Records whether this daemon reaches no endpoint of a service.
    pub(crate) fn out_of_reach(&self, service: &ServiceName, is_out_of_reach: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.out_of_reach
            .record(u64::from(is_out_of_reach), &[service]);
    }

    /// Counts a request that was sent through another daemon, by what came of it.
    pub(crate) fn forwarded(&self, service: &ServiceName, result: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.forwarded
            .add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records how many engines of a service are planned and how many run, as the holder sees them.
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
                    self.engines
                        .record(u64::from(counts.count_of(kind)), &labels);
                }
            }
        }
    }
}

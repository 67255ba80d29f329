//! Records the outcome of attempts and requests: endpoint health, customer usage, metrics and logs.

use super::Exchange;
use crate::decisions::duties::usage_start::{self, FailedRun, RunResult, UsageStart};
use crate::decisions::endpoint::reachability::Loss;
use crate::decisions::resend::AttemptError;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::selection::Selected;
use crate::forwarding::reach_probe;
use crate::requests::answer::Answer;
use crate::requests::attempt::EndpointAnswer;
use bridgevane_events::{Event, event};
use bridgevane_types::TimeMs;
use http::StatusCode;
use rand::RngExt;
use std::time::Duration;

/// One in this many plain successes is logged. Each line costs processor time, and a sample of the
/// successes is enough; everything else is logged.
const SUCCESS_SAMPLE: u32 = 16;

/// The timing of an answer, for logs and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTiming {
    /// The time from the request's arrival to the first bytes of the answer.
    pub(crate) first_byte: Duration,
    /// The longest gap between chunks after that.
    pub(crate) longest_gap: Duration,
}

impl Exchange {
    pub(super) fn on_answered(&mut self, answer: &EndpointAnswer, sent_at: TimeMs) {
        self.runs += 1;
        self.was_forwarded = false;
        let now = self.gateway.clock.now();
        self.gateway
            .reachability
            .on_answered(now, &self.inbound.service);
        answer.endpoint().brittle.on_run(sent_at);
        self.count_run(RunResult::Answered(answer.head.status), sent_at);
        if answer.head.status.is_server_error() {
            answer.endpoint().health.on_failed(self.gateway.clock.now());
        }
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        selected: &Selected,
        sent_at: TimeMs,
        error: AttemptError,
    ) {
        let now = self.gateway.clock.now();
        let endpoint = &selected.endpoint;
        if error.may_have_run() {
            self.runs += 1;
            let estimate = &selected.estimate;
            let failed = FailedRun {
                error,
                elapsed_ms: now.since(sent_at).0 as f64,
                expected_ms: estimate.queue_ms + estimate.prefill_ms,
            };
            self.count_run(RunResult::Failed(failed), sent_at);
            endpoint.health.on_failed(now);
        }
        if error == AttemptError::NotExecuted {
            endpoint.brittle.on_turned_away(now);
        }
        let was_active = endpoint.load.was_active_after(sent_at);
        self.record_reach(endpoint, error, was_active);
        let is_lost = match error {
            AttemptError::NotSent(_) | AttemptError::Misdirected => true,
            AttemptError::TimedOut => !was_active,
            _ => false,
        };
        if !is_lost {
            return;
        }
        let record = endpoint.record.load();
        if endpoint.health.on_lost(now) {
            event!(Event::EndpointEjected, endpoint = record.id);
        }
        if !self
            .data_centres_with_lost_endpoints
            .contains(&record.data_centre)
        {
            self.data_centres_with_lost_endpoints
                .push(record.data_centre.clone());
        }
    }

    /// Records what a failed attempt shows about this daemon's reach of the service.
    fn record_reach(&self, endpoint: &Endpoint, error: AttemptError, was_active: bool) {
        let loss = match error {
            AttemptError::NotSent(_) => Loss::NoConnection,
            AttemptError::TimedOut | AttemptError::Silent if !was_active => Loss::Silent,
            // An answer arrived, or the connection worked until it broke.
            _ => return,
        };
        let gateway = &self.gateway;
        let service = &self.inbound.service;
        let directory = gateway.control.directory();
        let endpoints = directory.service(service).map_or(0, |all| all.all.len());
        let now = gateway.clock.now();
        let reach = &gateway.reachability;
        if reach.on_lost(now, service, endpoint.index, loss, endpoints) {
            reach_probe::start(gateway, service);
        }
    }

    /// Counts a run as its customer's usage if it began. A successful run with a prompt is counted at
    /// its first token instead ([`crate::requests::relay`]).
    pub(super) fn count_run(&mut self, run: RunResult, sent_at: TimeMs) {
        let is_plain = self.inbound.prompt.is_empty();
        if let Some(usage_start) = usage_start::usage_start(is_plain, run) {
            let at = match usage_start {
                UsageStart::WhenSent => sent_at,
                UsageStart::Now => self.gateway.clock.now(),
            };
            self.count_usage(at);
        }
    }

    /// Counts the first run of the request that began as its customer's usage.
    pub(crate) fn count_usage(&mut self, began_at: TimeMs) {
        if std::mem::replace(&mut self.is_usage_counted, true) {
            return;
        }
        if let Some(customer) = &self.inbound.customer {
            let tracker = &self.gateway.usage_tracker;
            tracker.on_request_began(began_at, &customer.id);
        }
    }

    /// Counts a completed answer, and logs it (of the plain successes only a sample).
    pub(crate) fn on_served(&self, answer: &Answer, timing: AnswerTiming) {
        let status = answer.head().status;
        if status.is_success() {
            let suspects = || self.inbound.crash_suspects();
            self.gateway.quarantine.on_served(suspects);
        }
        // The other daemon counts and logs an answer that it forwards.
        let Answer::Endpoint(answer) = answer else {
            return;
        };
        let metrics = &self.gateway.metrics;
        metrics.served(&self.inbound.service, status.as_u16(), timing.first_byte);
        let is_plain_success = status == StatusCode::OK && self.runs == 1;
        if is_plain_success && !rand::rng().random_ratio(1, SUCCESS_SAMPLE) {
            return;
        }
        let estimate = answer.selected.estimate;
        event!(
            Event::RequestServed,
            request = self.inbound.id_text(),
            endpoint = answer.endpoint().record.load().id,
            status = status.as_u16(),
            runs = self.runs,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            queue_ms = estimate.queue_ms as u64,
            urgency = self.inbound.priority,
            prompt_tokens = self.inbound.prompt.tokens,
            max_answer_tokens = self.inbound.prompt.max_answer_tokens,
            prefill_tokens = estimate.prefill_tokens,
            fetched_tokens = estimate.fetch.map_or(0, |fetch| fetch.tokens),
            cost_ms = estimate.cost_ms as u64,
            own_running = answer.load.own_running,
            others_running = answer.load.others_running,
            first_ms = timing.first_byte.as_millis(),
            longest_gap_ms = timing.longest_gap.as_millis(),
            took_ms = self.inbound.arrived.elapsed().as_millis()
        );
    }
}

//! Resending after a failure: gathers the inputs of the rule [`crate::decisions::resend`], and logs
//! its result.

use super::Exchange;
use crate::decisions::admission::refusal::Refusal;
use crate::decisions::resend::{
    self, AttemptError, Failure, NoResend, ResendPolicy, ResendProgress,
};
use crate::endpoints::endpoint::Endpoint;
use crate::requests::answer::Answer;
use crate::requests::attempt::EndpointAnswer;
use crate::route::Route;
use bridgevane_events::{Event, event};

impl Exchange {
    /// Returns `Ok` if the request is sent again after a failed attempt, else its refusal.
    pub(super) fn after_failed_attempt(
        &self,
        endpoint: &Endpoint,
        error: AttemptError,
    ) -> Result<(), Refusal> {
        let resend = self.may_resend(Failure::Attempt(error));
        let load = endpoint.load.snapshot(self.gateway.clock.now());
        self.gateway.metrics.attempt_failed(error);
        event!(
            Event::AttemptFailed,
            request = self.inbound.id_text(),
            endpoint = endpoint.record.load().id,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            fingerprint = self.inbound.fingerprint(),
            parts = self.inbound.shared_parts_text(),
            cause = error,
            running = load.running(),
            runs = self.runs,
            left_ms = self.inbound.remaining().as_millis(),
            resend = resend_text(resend)
        );
        resend.map_err(|_| Refusal::after_failure(error, self.runs, self.time_until_available()))
    }

    /// Like [`Self::after_failed_attempt`], for an answer whose body broke off or wasn't complete in
    /// time.
    pub(super) fn after_incomplete_answer(
        &self,
        answer: Answer,
        error: AttemptError,
    ) -> Result<(), Refusal> {
        let source = answer.source_text();
        let status = answer.head().status;
        if let Some(endpoint) = answer.endpoint() {
            endpoint.health.on_failed(self.gateway.clock.now());
        }
        // Closes the connection and counts the request at that endpoint as ended.
        drop(answer);
        let resend = self.may_resend(Failure::Attempt(error));
        self.gateway.metrics.attempt_failed(error);
        event!(
            Event::AttemptFailed,
            request = self.inbound.id_text(),
            endpoint = source,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            fingerprint = self.inbound.fingerprint(),
            parts = self.inbound.shared_parts_text(),
            cause = error,
            status = status.as_u16(),
            runs = self.runs,
            resend = resend_text(resend)
        );
        resend.map_err(|_| Refusal::after_failure(error, self.runs, self.time_until_available()))
    }

    /// Checks whether the request may be sent again after a failure; takes a retry from the budget
    /// if it may.
    pub(crate) fn may_resend(&self, failure: Failure) -> Result<(), NoResend> {
        let progress = ResendProgress {
            endpoints_tried: self.tried.len(),
            runs: self.runs,
            remaining: self.inbound.remaining(),
            suspected_crashes: self.suspected_crashes(),
        };
        let policy = resend_policy(&self.inbound.route);
        resend::check(failure, policy, progress, || self.withdraw_retry())
    }

    /// Takes one retry from the budget; returns whether one was left.
    fn withdraw_retry(&self) -> bool {
        let now = self.gateway.clock.now();
        let service = &self.inbound.service;
        let decision = self.gateway.retry_budgets.withdraw(now, service);
        self.gateway
            .metrics
            .retry_decided(service, decision.is_granted);
        event!(
            Event::RetryDecided,
            request = self.inbound.id_text(),
            service = service,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            is_granted = decision.is_granted,
            window_requests = decision.requests,
            window_retries = decision.retries,
            allowed = format_args!("{:.2}", decision.allowed),
            slack_share = format_args!("{:.2}", decision.slack_share)
        );
        decision.is_granted
    }

    /// Returns whether the answer is a server error and the request is sent to another endpoint
    /// instead; takes a retry from the budget if so.
    pub(super) fn retries_server_error(&self, answer: &EndpointAnswer) -> bool {
        answer.head.status.is_server_error() && self.may_resend(Failure::ServerError).is_ok()
    }
}

/// Returns the log text of a resend decision: "yes", or the reason against it.
pub(crate) fn resend_text(resend: Result<(), NoResend>) -> String {
    resend.map_or_else(|reason| reason.to_string(), |()| "yes".to_owned())
}

/// Returns what a route allows after a failure.
fn resend_policy(route: &Route) -> ResendPolicy {
    ResendPolicy {
        may_run_again: route.may_run_again(),
        is_resumable: route.is_resumable(),
        max_runs: route.max_attempts,
    }
}

//! The outcome of a model request: reported to its pool and its caller, logged, and counted in the
//! metrics and the service levels.

use crate::modules::serve::observation::service_levels::RequestEnd;
use crate::modules::serve::requests::model_request::{CallerEvent, EngineAttempt, RequestRunner};
use crate::modules::serve::requests::refusal::CallerRefusal;
use bridgevane_adapters::EndReason;
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{AttemptNumber, DurationMs, Outcome, Tokens};

impl RequestRunner {
    /// Reports to the pool that the caller has disconnected.
    pub(super) async fn finish_caller_gone(&self) {
        let number = AttemptNumber(self.attempts.saturating_sub(1));
        self.finish_attempt(number, AttemptEnd::CallerGone).await;
        self.context
            .metrics
            .count_request(self.class(), "caller_gone");
    }

    pub(super) async fn complete(&mut self, reason: EndReason) {
        let tokens = Tokens(self.delivered);
        let now = self.context.now();
        let first_token_ms = self.first_token_at.unwrap_or(now).since(self.arrived_at).0;
        let whole_ms = now.since(self.arrived_at).0;
        let is_in_target = self
            .request
            .targets
            .are_met(first_token_ms, whole_ms, tokens.0);
        let result = if is_in_target { "in_target" } else { "late" };
        self.context.metrics.count_request(self.class(), result);
        self.context
            .metrics
            .count_delivered_tokens(self.class(), tokens);
        let ended = RequestEnd::Complete {
            is_in_target,
            is_resumed: self.attempts > 1,
            tokens,
            first_token_ms: DurationMs(first_token_ms),
        };
        self.context
            .service_levels
            .count_request(now, self.class(), ended);
        self.send_to_caller(CallerEvent::End(reason, tokens)).await;
    }

    pub(super) async fn refuse(&self, refusal: CallerRefusal) {
        let now = self.context.now();
        let is_cut = self.delivered > 0 || refusal.outcome != Outcome::NotRun;
        let ended = if is_cut {
            RequestEnd::Cut
        } else {
            RequestEnd::Refused
        };
        self.context
            .service_levels
            .count_request(now, self.class(), ended);
        let result = if is_cut { "cut" } else { "refused" };
        self.context.metrics.count_request(self.class(), result);
        let kind = if is_cut {
            Event::RequestFailed
        } else {
            Event::RequestRefused
        };
        event!(
            kind,
            request = self.id(),
            class = self.class(),
            code = refusal.code
        );
        self.send_to_caller(CallerEvent::Refused(refusal)).await;
    }

    /// Counts the tokens that a resumption computes again: prompt and delivered tokens less the
    /// cached ones.
    pub(super) fn count_recomputed(&self, attempt: &EngineAttempt) {
        let computed = self.request.offer.prompt_tokens.0 + self.delivered;
        let again = computed.saturating_sub(attempt.cached_tokens.0);
        self.count_wasted(self.interrupted_by, again);
    }

    pub(super) fn count_wasted(&self, cause: &'static str, tokens: u64) {
        let tokens = Tokens(tokens);
        self.context.metrics.count_wasted_tokens(cause, tokens);
        self.context
            .service_levels
            .count_wasted_tokens(self.context.now(), self.class(), tokens);
    }
}

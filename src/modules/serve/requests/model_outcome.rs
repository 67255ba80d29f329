//! What became of a model request: reported to its pool and its caller, counted in metrics and burn,
//! logged.

use crate::modules::serve::observation::burn::RequestEnd;
use crate::modules::serve::requests::model_request::{CallerEvent, EngineAttempt, Runner};
use crate::modules::serve::requests::refusal::CallerRefusal;
use bridgevane_adapters::EndReason;
use bridgevane_decisions::AttemptEnd;
use bridgevane_events::{Event, event};
use bridgevane_types::{AttemptNumber, DurationMs, Outcome, Tokens};

impl Runner {
    /// Tells the pool that the caller is gone.
    pub(super) async fn leave(&self) {
        let number = AttemptNumber(self.attempts.saturating_sub(1));
        self.finish_attempt(number, AttemptEnd::CallerGone).await;
        self.context
            .metrics
            .request_ended(self.class(), "caller_gone");
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
        self.context.metrics.request_ended(self.class(), result);
        self.context.metrics.delivered(self.class(), tokens);
        let ended = RequestEnd::Whole {
            is_in_target,
            is_resumed: self.attempts > 1,
            tokens,
            first_token_ms: DurationMs(first_token_ms),
        };
        self.context.burn.ended(now, self.class(), ended);
        self.send(CallerEvent::End(reason, tokens)).await;
    }

    pub(super) async fn refuse(&self, refusal: CallerRefusal) {
        let now = self.context.now();
        let is_cut = self.delivered > 0 || refusal.outcome != Outcome::NotRun;
        let ended = if is_cut {
            RequestEnd::Cut
        } else {
            RequestEnd::Refused
        };
        self.context.burn.ended(now, self.class(), ended);
        let result = if is_cut { "cut" } else { "refused" };
        self.context.metrics.request_ended(self.class(), result);
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
        self.send(CallerEvent::Refused(refusal)).await;
    }

    /// A resumption computes prompt and delivered tokens again, less what is cached.
    pub(super) fn count_recomputed(&self, attempt: &EngineAttempt) {
        let computed = self.request.offer.prompt_tokens.0 + self.delivered;
        let again = computed.saturating_sub(attempt.cached_tokens.0);
        self.waste(self.interrupted_by, again);
    }

    pub(super) fn waste(&self, cause: &'static str, tokens: u64) {
        let tokens = Tokens(tokens);
        self.context.metrics.wasted(cause, tokens);
        self.context
            .burn
            .wasted(self.context.now(), self.class(), tokens);
    }
}

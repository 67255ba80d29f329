//! Recovery from lost attempts and from engines that are slow, silent or unreachable.

use super::Pool;
use super::entry::RunningAttempt;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::CancelCause;
use crate::index::EndpointIx;
use crate::modules::engine_health::{HealthContext, HealthEvent};
use crate::modules::request_lifecycle::LifecycleState;
use bridgevane_types::{AttemptNumber, RefusalCode, RequestId, Tokens};

/// The `Retry-After` (ms) of a refusal after the retries ran out. Engines that failed a request
/// several times need some time to recover.
const EXHAUSTED_RETRY_MS: f64 = 1_000.0;

impl Pool {
    /// Handles an attempt that certainly didn't run: every request may be sent again.
    pub(super) fn retry_not_run<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        running: RunningAttempt,
    ) {
        context.record(Decision::Lost {
            request,
            attempt,
            may_have_run: false,
        });
        self.retry(context, request, running.engine);
    }

    /// Refuses a request that an engine rejected: the other engines would reject it, too.
    pub(super) fn refuse_rejected<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        context.record(Decision::Lost {
            request,
            attempt,
            may_have_run: false,
        });
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.return_to_queue(context.now);
        }
        self.refuse(context, request, RefusalCode::Rejected, 0.0);
    }

    /// Handles an attempt that may have run: only a repeatable request is sent again.
    pub(super) fn retry_lost<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        running: RunningAttempt,
        delivered: Tokens,
    ) {
        context.record(Decision::Lost {
            request,
            attempt,
            may_have_run: true,
        });
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.may_have_run = true;
        entry.delivered = entry.delivered.max(delivered.0);
        if entry.offer.is_repeatable {
            self.retry(context, request, running.engine);
            return;
        }
        entry.return_to_queue(context.now);
        self.refuse(context, request, RefusalCode::OutcomeUnknown, 0.0);
    }

    /// Requeues a request after a failed attempt, or refuses it if it is under quarantine or has no
    /// retries left.
    fn retry<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        failed: EndpointIx,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.return_to_queue(context.now);
        entry.avoided_engine = Some(failed);
        let fingerprint = entry.offer.fingerprint;
        let has_attempts = entry.lifecycle.attempts() < context.settings.retry.max_attempts;
        let class = entry.offer.class;
        if self.is_quarantined(context.now, fingerprint) {
            self.refuse(context, request, RefusalCode::EndsEngines, 0.0);
            return;
        }
        if has_attempts && self.classes[class.index()].retries.withdraw() {
            self.requeue(request);
            return;
        }
        let code = RefusalCode::RetriesExhausted;
        self.refuse(context, request, code, EXHAUSTED_RETRY_MS);
    }

    /// Handles a stream that an engine broke off. One broken stream doesn't eject the engine: in a
    /// pool of two, one fault on each would leave none. A second one without tokens at normal speed
    /// in between does.
    pub(super) fn on_stream_lost<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
    ) {
        self.report_health_event(context, engine_ix, HealthEvent::Unavailable);
    }

    /// Handles an engine that can't be reached or has crashed.
    pub(super) fn on_engine_unreachable<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
    ) {
        self.engines[engine_ix.index()].load.clear_others();
        self.report_health_event(context, engine_ix, HealthEvent::Unreachable);
    }

    /// Passes an event to an engine's health; if it ejects a slow engine, moves its requests off.
    pub(super) fn report_health_event<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
        event: HealthEvent,
    ) {
        let mut health_context = HealthContext {
            now: context.now,
            config: &context.settings.engine_health,
        };
        let engine = &mut self.engines[engine_ix.index()];
        let is_ejected = engine.health.handle(&mut health_context, event);
        self.refresh_cost(context.settings, engine_ix);
        if !is_ejected {
            return;
        }
        self.engines[engine_ix.index()]
            .between_tokens_ms
            .set(self.estimates.between_tokens_ms());
        self.update_slot_totals();
        self.record_use(context);
        if matches!(event, HealthEvent::Slow { .. }) {
            self.move_requests_off(context, engine_ix, false);
        }
    }

    /// Cancels and requeues the repeatable, preemptible requests of a slow engine. Streaming
    /// answers without a target for their gaps stay unless the engine is silent: moving them would
    /// waste what the engine has computed.
    pub(super) fn move_requests_off<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
        is_silent: bool,
    ) {
        let running = self.engines[engine_ix.index()].running.clone();
        for request in running {
            let Some(entry) = self.requests.get_mut(&request) else {
                continue;
            };
            if !entry.offer.is_repeatable || !entry.offer.is_preemptible {
                continue;
            }
            let class = &self.policy.classes[entry.offer.class.index()];
            let is_gap_tolerant = class.between_tokens_target_ms.is_none()
                && entry.lifecycle.state() == LifecycleState::Streaming;
            if is_gap_tolerant && !is_silent {
                continue;
            }
            entry.avoided_engine = Some(engine_ix);
            self.cancel_and_requeue(context, request, CancelCause::Moved, None);
        }
    }
}

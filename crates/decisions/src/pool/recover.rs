//! Recovery: lost attempts, retries, engines that are slow, silent or gone.

use super::Pool;
use super::entry::Running;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::CancelCause;
use crate::index::EndpointIx;
use crate::modules::engine_health::{HealthContext, HealthEvent};
use crate::modules::request_life::LifecycleState;
use bridgevane_types::{AttemptNumber, RefusalCode, RequestId, Tokens};

/// When to come back after retries ran out. Not measured, chosen because engines that failed a
/// request several times need a while.
const EXHAUSTED_RETRY_MS: f64 = 1_000.0;

impl Pool {
    /// An attempt that surely did not run: any request may be sent again.
    pub(super) fn retry_unrun<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        running: Running,
    ) {
        context.record(Decision::Lost {
            request,
            attempt,
            may_have_run: false,
        });
        self.retry(context, request, running.engine);
    }

    /// A request that engines find fault with: trying others would only spread it.
    pub(super) fn reject<L: DecisionLog>(
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
        self.give_up(context, request, RefusalCode::Rejected, 0.0);
    }

    /// An attempt that may have run: only a repeatable request is sent again.
    pub(super) fn retry_lost<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        running: Running,
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
        self.give_up(context, request, RefusalCode::OutcomeUnknown, 0.0);
    }

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
        entry.avoid = Some(failed);
        let fingerprint = entry.offer.fingerprint;
        let has_attempts = entry.life.attempts() < context.settings.retry.max_attempts;
        let class = entry.offer.class;
        if self.is_stopped(context.now, fingerprint) {
            self.give_up(context, request, RefusalCode::EndsEngines, 0.0);
            return;
        }
        if has_attempts && self.classes[class.at()].retries.withdraw() {
            self.requeue(request);
            return;
        }
        let code = RefusalCode::RetriesExhausted;
        self.give_up(context, request, code, EXHAUSTED_RETRY_MS);
    }

    /// An engine broke off a stream. One broken stream doesn't take it out: in a pool of two,
    /// one fault on each would leave none. A second one with no token between does.
    pub(super) fn stream_lost<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
    ) {
        self.tell_health(context, at, HealthEvent::Unavailable);
    }

    /// An engine could not be reached.
    pub(super) fn engine_lost<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
    ) {
        self.engines[at.at()].load.clear_others();
        self.tell_health(context, at, HealthEvent::Unreachable);
    }

    /// Tells an engine's health; moves its work away when it was ejected by that.
    pub(super) fn tell_health<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
        event: HealthEvent,
    ) {
        let mut health_context = HealthContext {
            now: context.now,
            config: &context.settings.engine_health,
        };
        let engine = &mut self.engines[at.at()];
        let is_ejected = engine.health.handle(&mut health_context, event);
        self.refresh_cost(context.settings, at);
        if !is_ejected {
            return;
        }
        self.engines[at.at()]
            .between_tokens_ms
            .set(self.estimates.between_tokens_ms());
        self.count_slots();
        self.record_use(context);
        if matches!(event, HealthEvent::Slow { .. }) {
            self.move_work_from(context, at, false);
        }
    }

    /// Takes repeatable work back from a slow engine; it resumes elsewhere. Answers that stream
    /// and have no bound on their gaps stay, unless the engine is silent: moving them would
    /// waste what the engine has computed.
    pub(super) fn move_work_from<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
        is_silent: bool,
    ) {
        let running = self.engines[at.at()].running.clone();
        for request in running {
            let Some(entry) = self.requests.get_mut(&request) else {
                continue;
            };
            if !entry.offer.is_repeatable || !entry.offer.is_preemptible {
                continue;
            }
            let class = &self.policy.classes[entry.offer.class.at()];
            let is_patient = class.between_tokens_target_ms.is_none()
                && entry.life.state() == LifecycleState::Streaming;
            if is_patient && !is_silent {
                continue;
            }
            entry.avoid = Some(at);
            self.take_back(context, request, CancelCause::Moved, None);
        }
    }
}

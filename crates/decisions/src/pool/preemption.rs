//! Preemption of lower tiers by higher ones.

use super::Pool;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::{CancelCause, Effect};
use crate::index::{ClassIx, EndpointIx};
use crate::modules::engine_health::HealthState;
use bridgevane_types::{RequestId, Tier};

impl Pool {
    /// Preempts the cheapest request of the lowest tier below that of `class`, and dispatches the
    /// head of `class`'s queue to its slot. Returns false if there is no such request.
    pub(super) fn preempt_for<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        if !context.settings.admission.is_preemption_enabled {
            return false;
        }
        let tier = self.class_policy(class).tier;
        let Some(victim) = self.cheapest_victim(tier) else {
            return false;
        };
        let Some(engine) =
            self.cancel_and_requeue(context, victim, CancelCause::Preempted, Some(tier))
        else {
            return false;
        };
        let Some(request) = self.classes[class.index()].queue.pop() else {
            return false;
        };
        self.queued -= 1;
        self.dispatch_to(context, request, engine);
        true
    }

    /// Returns the cheapest preemptible request below `tier` on an engine in use; other engines
    /// accept no requests.
    pub(super) fn cheapest_victim(&self, tier: Tier) -> Option<RequestId> {
        self.victims.cheapest_below(tier, |request| {
            let running = self.requests.get(&request).and_then(|entry| entry.running);
            running.is_some_and(|running| {
                let engine = &self.engines[running.engine.index()];
                engine.health.state() == HealthState::Active && !engine.is_drained
            })
        })
    }

    /// Cancels a running attempt and requeues its request; returns the engine with the freed slot.
    pub(super) fn cancel_and_requeue<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        cause: CancelCause,
        for_tier: Option<Tier>,
    ) -> Option<EndpointIx> {
        let running = self.release_slot(context, request)?;
        let entry = self.requests.get_mut(&request)?;
        let attempt = entry.lifecycle.attempt();
        entry.return_to_queue(context.now);
        // The attempt may have run: only repeatable requests are cancelled and requeued.
        entry.may_have_run = true;
        entry.preemptions += u32::from(cause == CancelCause::Preempted);
        context.record(Decision::Cancelled {
            request,
            attempt,
            cause,
            for_tier,
        });
        context.effects.push(Effect::Cancel {
            request,
            attempt,
            engine: running.engine,
            cause,
        });
        self.requeue(request);
        Some(running.engine)
    }

    /// Adds a request that ran before to its queue, ahead of those that never ran.
    pub(super) fn requeue(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let work_ms = self.work_ms(entry);
        self.classes[entry.offer.class.index()]
            .queue
            .push_requeued(request, work_ms);
        self.queued += 1;
    }
}

//! Periodic maintenance: credits, health checks, limits, late requests.

use super::Pool;
use super::entry::RequestEntry;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::CancelCause;
use crate::index::{ClassIx, EndpointIx};
use crate::modules::engine_health::{HealthContext, HealthEvent, HealthState};
use crate::modules::request_lifecycle::LifecycleState;
use bridgevane_types::{DurationMs, RefusalCode, RequestId};

impl Pool {
    /// Runs the periodic maintenance of the pool.
    pub(super) fn maintain<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let elapsed_ms = context.now.since(self.last_tick_at).0;
        self.last_tick_at = context.now;
        self.accrue_shares(context);
        self.measure_use(elapsed_ms);
        self.check_engines(context);
        self.check_awaiting_first_token(context);
        self.dispatch_all(context);
        self.check_queued(context);
    }

    /// Adds to the guaranteed-share credit of each class since the last tick.
    fn accrue_shares<L: DecisionLog>(&mut self, context: &PoolContext<'_, L>) {
        for (class, policy) in self.classes.iter_mut().zip(&self.policy.classes) {
            let guaranteed_slots = policy.min_share.0 * self.total_slots;
            let is_waiting = !class.queue.is_empty();
            class
                .share
                .accrue(context.now, guaranteed_slots, is_waiting);
        }
    }

    /// Updates the number of slots that each class uses, from which expected waits are estimated.
    fn measure_use(&mut self, elapsed_ms: u64) {
        if elapsed_ms == 0 {
            return;
        }
        for class in &mut self.classes {
            class
                .use_rate
                .add(class.used_since_tick_ms / elapsed_ms as f64);
            class.used_since_tick_ms = 0.0;
        }
    }

    /// Checks all engines and adjusts their limits, at most once per check interval.
    fn check_engines<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let check_every_ms = context.settings.engine_health.check_every_ms;
        if context.now.since(self.last_check_at).0 < check_every_ms {
            return;
        }
        self.last_check_at = context.now;
        let median_ms = self.median_between_tokens_ms();
        for index in 0..self.engines.len() as u32 {
            self.check_engine(context, EndpointIx(index), median_ms);
        }
        self.adjust_limits(context);
        self.record_use(context);
        self.update_slot_totals();
        self.refresh_all_costs(context.settings);
    }

    /// Returns the median time between tokens of the active engines (ms).
    fn median_between_tokens_ms(&self) -> f64 {
        let mut gaps: Vec<f64> = self
            .engines
            .iter()
            .filter(|engine| engine.health.state() == HealthState::Active)
            .map(|engine| engine.between_tokens_ms.value())
            .collect();
        if gaps.is_empty() {
            return self.estimates.between_tokens_ms();
        }
        let middle = gaps.len() / 2;
        *gaps.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Checks whether an engine with running requests is slow or silent.
    fn check_engine<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
        median_ms: f64,
    ) {
        let config = &context.settings.engine_health;
        let engine = &mut self.engines[engine_ix.index()];
        engine.load.sample(context.now);
        engine.load.expire(context.now);
        let mut health_context = HealthContext {
            now: context.now,
            config,
        };
        engine.health.handle(&mut health_context, HealthEvent::Tick);
        if engine.running.is_empty() {
            return;
        }
        let silent_ms = context.now.since(engine.last_activity_at).0 as f64;
        let streaming = engine
            .running
            .len()
            .saturating_sub(engine.prefilling as usize);
        let report_ms = config.report_every_ms as f64 / streaming.max(1) as f64;
        let usual_ms = report_ms.max(median_ms);
        let silence_ms = (usual_ms * config.silence_factor).max(config.min_silence_ms as f64);
        let is_silent = silent_ms > silence_ms && streaming > 0;
        if is_silent && engine.health.state() == HealthState::Ejected {
            self.move_requests_off(context, engine_ix, true);
            return;
        }
        let is_slow = engine.between_tokens_ms.value() > median_ms * config.slow_factor;
        let event = if is_slow || is_silent {
            HealthEvent::Slow {
                may_eject: self.may_eject(config.max_ejected_share),
            }
        } else {
            HealthEvent::Normal
        };
        self.report_health_event(context, engine_ix, event);
    }

    /// Returns whether one more engine may be ejected for slowness.
    fn may_eject(&self, max_ejected_share: f64) -> bool {
        let is_inactive = |health: HealthState| health != HealthState::Active;
        let inactive = self
            .engines
            .iter()
            .filter(|e| is_inactive(e.health.state()))
            .count()
            + 1;
        inactive as f64 <= (self.engines.len() as f64 * max_ejected_share).max(1.0)
            && self.engines.len() > 1
    }

    /// Logs the engines that came into use or went out of use.
    pub(super) fn record_use<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let is_in_use = engine.health.state() == HealthState::Active && !engine.is_drained;
            if is_in_use != engine.was_in_use {
                engine.was_in_use = is_in_use;
                context.record(Decision::EngineUse {
                    engine: EndpointIx(index as u32),
                    is_in_use,
                });
            }
        }
    }

    /// Adjusts all concurrency limits to the strictest target for the time between tokens.
    fn adjust_limits<L: DecisionLog>(&mut self, context: &PoolContext<'_, L>) {
        let targets = self
            .policy
            .classes
            .iter()
            .filter_map(|c| c.between_tokens_target_ms);
        let target_ms = targets.min().map(|target| target.0 as f64);
        for engine in &mut self.engines {
            let gap_ms = engine.between_tokens_ms.value();
            let config = &context.settings.concurrency;
            engine.limit.adjust(context.now, config, gap_ms, target_ms);
        }
    }

    /// Reports an engine as slow if a first token is overdue and it produces no other tokens
    /// either. An engine that processes the prompts of higher tiers isn't slow.
    fn check_awaiting_first_token<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let mut still_waiting = Vec::new();
        while let Some((request, attempt)) = self.awaiting_first_token.front().copied() {
            let entry = self.requests.get(&request);
            let is_current = |entry: &&RequestEntry| {
                entry.lifecycle.state() == LifecycleState::Started
                    && entry.lifecycle.attempt() == attempt
            };
            let Some(entry) = entry.filter(is_current) else {
                self.awaiting_first_token.pop_front();
                continue;
            };
            let Some(running) = entry.running else {
                self.awaiting_first_token.pop_front();
                continue;
            };
            let config = &context.settings.engine_health;
            let usual_ms = self.estimates.prefill_ms(running.engine_tokens)
                + self.estimates.between_tokens_ms();
            let overdue_ms = (usual_ms * config.silence_factor).max(config.min_silence_ms as f64);
            if (context.now.since(running.started_at).0 as f64) < overdue_ms {
                break;
            }
            self.awaiting_first_token.pop_front();
            let silent_ms = context
                .now
                .since(self.engines[running.engine.index()].last_activity_at)
                .0;
            if (silent_ms as f64) < overdue_ms {
                if self.is_starved_in_engine(context, entry) {
                    self.cancel_and_requeue(context, request, CancelCause::Moved, None);
                } else {
                    still_waiting.push((request, attempt));
                }
                continue;
            }
            let may_eject = self.may_eject(config.max_ejected_share);
            self.report_health_event(context, running.engine, HealthEvent::Slow { may_eject });
        }
        self.awaiting_first_token.extend(still_waiting);
    }

    /// Returns whether a request has a slot but waits inside its engine for the prompts of others,
    /// and its class's longest wait is reached. Dispatched again, it is processed before them.
    fn is_starved_in_engine<L: DecisionLog>(
        &self,
        context: &PoolContext<'_, L>,
        entry: &RequestEntry,
    ) -> bool {
        let class = entry.offer.class;
        let is_aged = entry.running.is_some_and(|running| running.is_aged);
        let waited_ms = context.now.since(entry.arrived_at).0;
        let is_next = self.can_use_aged_slot(context, class) && !is_aged && entry.delivered == 0;
        is_next
            && entry.offer.is_preemptible
            && waited_ms >= self.max_wait_ms(class, context.settings)
    }

    /// Checks waiting requests: those that run out of time preempt a lower tier or are refused.
    fn check_queued<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for index in 0..self.class_order.len() {
            let class = self.class_order[index];
            while self.check_queue_head(context, class) {}
            self.refuse_late_requeued(context, class);
            self.refuse_unmeetable(context, class);
        }
    }

    /// Handles the head of a class's queue; returns whether it left the queue.
    fn check_queue_head<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        let Some(head) = self.classes[class.index()].queue.peek() else {
            return false;
        };
        let Some(entry) = self.requests.get(&head) else {
            self.classes[class.index()].queue.pop();
            self.queued -= 1;
            return true;
        };
        let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
        let waited_ms = context.now.since(entry.waiting_since).0 as f64;
        let delivered = entry.delivered;
        let prefill_ms = self
            .estimates
            .prefill_ms(entry.offer.prompt_tokens.0 + delivered);
        let admission = &context.settings.admission;
        // The caller of an interrupted stream waits between two tokens.
        let is_mid_stream =
            delivered > 0 && self.class_policy(class).between_tokens_target_ms.is_some();
        let is_at_risk =
            is_mid_stream || waited_ms + prefill_ms > admission.preempt_at_ms(target_ms);
        if is_at_risk && self.preempt_for(context, class) {
            return true;
        }
        // A request with delivered tokens is never refused: its caller has part of the answer.
        let mut latest_ms = target_ms * (1.0 + admission.late_grace_share);
        if self.can_use_aged_slot(context, class) {
            // The request gets an aged slot once its class's longest wait is reached; the slot may
            // take as long again to become free.
            latest_ms += target_ms;
        }
        if waited_ms > latest_ms && delivered == 0 {
            self.refuse(context, head, RefusalCode::CannotMeetTarget, target_ms);
            return true;
        }
        false
    }

    /// Returns whether the head of the class's queue may use an aged slot.
    fn can_use_aged_slot<L: DecisionLog>(
        &self,
        context: &PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        let is_lower = self.class_order.first() != Some(&class);
        let per_class = self.aged_slots_per_class(context.settings);
        is_lower && self.classes[class.index()].aged_running < per_class
    }

    /// Refuses late requeued requests without a token. They may be queued behind interrupted
    /// streams, which are never refused.
    fn refuse_late_requeued<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) {
        let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
        let latest_ms = target_ms * (2.0 + context.settings.admission.late_grace_share);
        let is_late = |request: &RequestId| {
            self.requests.get(request).is_some_and(|entry| {
                let waited_ms = context.now.since(entry.waiting_since).0 as f64;
                entry.delivered == 0 && waited_ms > latest_ms
            })
        };
        let late: Vec<RequestId> = self.classes[class.index()]
            .queue
            .requeued()
            .filter(is_late)
            .collect();
        for request in late {
            self.refuse(context, request, RefusalCode::CannotMeetTarget, target_ms);
        }
    }

    /// Refuses the newest waiting requests while the work ahead of them makes them miss their
    /// target.
    fn refuse_unmeetable<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) {
        /// Ticks come every 20 ms; handling more at once would delay other decisions.
        const MAX_AT_ONCE: usize = 8;
        for _ in 0..MAX_AT_ONCE {
            if self.classes[class.index()].queue.len() <= 1 {
                return;
            }
            let Some(newest) = self.classes[class.index()].queue.shed_candidate() else {
                return;
            };
            let Some(entry) = self.requests.get(&newest) else {
                return;
            };
            let admission = &context.settings.admission;
            let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
            let latest_ms = target_ms * (1.0 + admission.late_grace_share);
            let customer = entry.offer.customer;
            let waited_ms = context.now.since(entry.waiting_since).0 as f64;
            let expected_ms = waited_ms + self.expected_wait_ms(context, class, customer);
            if expected_ms <= latest_ms {
                return;
            }
            if self.preempt_for(context, class) {
                continue;
            }
            let retry_after = DurationMs((expected_ms - target_ms) as u64);
            let code = RefusalCode::CannotMeetTarget;
            self.refuse(context, newest, code, retry_after.0 as f64);
        }
    }
}

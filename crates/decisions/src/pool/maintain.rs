//! What happens as time passes: credits, health checks, limits, late requests.

use super::Pool;
use super::entry::Entry;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::CancelCause;
use crate::index::{ClassIx, EndpointIx};
use crate::modules::engine_health::{HealthContext, HealthEvent, HealthState};
use crate::modules::request_life::LifecycleState;
use bridgevane_types::{DurationMs, RefusalCode, RequestId};

impl Pool {
    pub(super) fn maintain<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let elapsed_ms = context.now.since(self.ticked_at).0;
        self.ticked_at = context.now;
        self.accrue_shares(context);
        self.measure_use(elapsed_ms);
        self.check_engines(context);
        self.check_started(context);
        self.dispatch_all(context);
        self.rescue_waiting(context);
    }

    fn accrue_shares<L: DecisionLog>(&mut self, context: &PoolContext<'_, L>) {
        for (class, policy) in self.classes.iter_mut().zip(&self.policy.classes) {
            let guaranteed_slots = policy.min_share.0 * self.total_slots;
            let is_waiting = !class.queue.is_empty();
            class
                .share
                .accrue(context.now, guaranteed_slots, is_waiting);
        }
    }

    /// Follows how many slots each class uses, for the estimate of what it leaves.
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

    fn check_engines<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let check_every_ms = context.settings.engine_health.check_every_ms;
        if context.now.since(self.checked_at).0 < check_every_ms {
            return;
        }
        self.checked_at = context.now;
        let median_ms = self.median_between_tokens_ms();
        for at in 0..self.engines.len() as u32 {
            self.check_engine(context, EndpointIx(at), median_ms);
        }
        self.adjust_limits(context);
        self.record_use(context);
        self.count_slots();
        self.refresh_all_costs(context.settings);
    }

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

    fn check_engine<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
        median_ms: f64,
    ) {
        let config = &context.settings.engine_health;
        let engine = &mut self.engines[at.at()];
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
        let silent_ms = context.now.since(engine.heard_at).0 as f64;
        let streaming = engine
            .running
            .len()
            .saturating_sub(engine.prefilling as usize);
        let report_ms = config.report_every_ms as f64 / streaming.max(1) as f64;
        let usual_ms = report_ms.max(median_ms);
        let silence_ms = (usual_ms * config.silence_factor).max(config.min_silence_ms as f64);
        let is_silent = silent_ms > silence_ms && streaming > 0;
        if is_silent && engine.health.state() == HealthState::Ejected {
            self.move_work_from(context, at, true);
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
        self.tell_health(context, at, event);
    }

    /// Whether one more engine may be out.
    fn may_eject(&self, max_ejected_share: f64) -> bool {
        let is_out = |health: HealthState| health != HealthState::Active;
        let out = self
            .engines
            .iter()
            .filter(|e| is_out(e.health.state()))
            .count()
            + 1;
        out as f64 <= (self.engines.len() as f64 * max_ejected_share).max(1.0)
            && self.engines.len() > 1
    }

    /// Notes in the log which engines came into use or fell out of it.
    pub(super) fn record_use<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for (at, engine) in self.engines.iter_mut().enumerate() {
            let is_in_use = engine.health.state() == HealthState::Active && !engine.is_drained;
            if is_in_use != engine.was_in_use {
                engine.was_in_use = is_in_use;
                context.record(Decision::EngineUse {
                    engine: EndpointIx(at as u32),
                    is_in_use,
                });
            }
        }
    }

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

    /// Attempts whose first token is overdue count against their engine, when it has given
    /// nothing else either: an engine that works on prompts of higher tiers isn't slow.
    fn check_started<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        let mut later = Vec::new();
        while let Some((request, attempt)) = self.started.front().copied() {
            let entry = self.requests.get(&request);
            let is_current = |entry: &&Entry| {
                entry.life.state() == LifecycleState::Started && entry.life.attempt() == attempt
            };
            let Some(entry) = entry.filter(is_current) else {
                self.started.pop_front();
                continue;
            };
            let Some(running) = entry.running else {
                self.started.pop_front();
                continue;
            };
            let config = &context.settings.engine_health;
            let usual_ms = self.estimates.prefill_ms(running.engine_tokens)
                + self.estimates.between_tokens_ms();
            let overdue_ms = (usual_ms * config.silence_factor).max(config.min_silence_ms as f64);
            if (context.now.since(running.since).0 as f64) < overdue_ms {
                break;
            }
            self.started.pop_front();
            let silent_ms = context
                .now
                .since(self.engines[running.engine.at()].heard_at)
                .0;
            if (silent_ms as f64) < overdue_ms {
                if self.is_starved_inside(context, entry) {
                    self.take_back(context, request, CancelCause::Moved, None);
                } else {
                    later.push((request, attempt));
                }
                continue;
            }
            let may_eject = self.may_eject(config.max_ejected_share);
            if !entry.offer.is_preemptible {
                continue;
            }
            self.tell_health(context, running.engine, HealthEvent::Slow { may_eject });
        }
        self.started.extend(later);
    }

    /// Whether a request has a slot but its engine works on others' prompts for so long that
    /// its class's longest wait is reached: sent again, it goes before them.
    fn is_starved_inside<L: DecisionLog>(
        &self,
        context: &PoolContext<'_, L>,
        entry: &Entry,
    ) -> bool {
        let class = entry.offer.class;
        let is_aged = entry.running.is_some_and(|running| running.is_aged);
        let waited_ms = context.now.since(entry.arrived_at).0;
        let is_next = self.is_next_aged(context, class) && !is_aged && entry.delivered == 0;
        is_next
            && entry.offer.is_preemptible
            && waited_ms >= self.max_wait_ms(class, context.settings)
    }

    /// Waiting requests that run out of time make room or are given up, at once.
    fn rescue_waiting<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for at in 0..self.class_order.len() {
            let class = self.class_order[at];
            while self.rescue_head(context, class) {}
            self.give_up_returned(context, class);
            self.give_up_hopeless(context, class);
        }
    }

    /// Acts on the head of a class's queue; true when it left the queue.
    fn rescue_head<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        let Some(head) = self.classes[class.at()].queue.peek() else {
            return false;
        };
        let Some(entry) = self.requests.get(&head) else {
            self.classes[class.at()].queue.pop();
            self.queued -= 1;
            return true;
        };
        let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
        let waited_ms = context.now.since(entry.waits_since).0 as f64;
        let delivered = entry.delivered;
        let prefill_ms = self
            .estimates
            .prefill_ms(entry.offer.prompt_tokens.0 + delivered);
        let admission = &context.settings.admission;
        // A stream that broke off makes its caller wait between tokens.
        let is_mid_stream =
            delivered > 0 && self.class_policy(class).between_tokens_target_ms.is_some();
        let is_at_risk =
            is_mid_stream || waited_ms + prefill_ms > admission.preempt_at_ms(target_ms);
        if is_at_risk && self.preempt_for(context, class) {
            return true;
        }
        // A request that ran before is never given up: its caller has part of the answer.
        let mut latest_ms = target_ms * (1.0 + admission.late_grace_share);
        if self.is_next_aged(context, class) {
            // The slot that its longest wait gives it may take as long again to come free.
            latest_ms += target_ms;
        }
        if waited_ms > latest_ms && delivered == 0 {
            self.give_up(context, head, RefusalCode::CannotMeetTarget, target_ms);
            return true;
        }
        false
    }

    /// Whether the head of the class's queue is the one that its longest wait protects.
    fn is_next_aged<L: DecisionLog>(&self, context: &PoolContext<'_, L>, class: ClassIx) -> bool {
        let is_lower = self.class_order.first() != Some(&class);
        let of_class = self.aged_slots_of_class(context.settings);
        is_lower && self.classes[class.at()].aged_running < of_class
    }

    /// Requests that were sent and came back without a token are given up like others; they
    /// stand behind streams that broke off, which never are.
    fn give_up_returned<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) {
        let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
        let latest_ms = target_ms * (2.0 + context.settings.admission.late_grace_share);
        let is_late = |request: &RequestId| {
            self.requests.get(request).is_some_and(|entry| {
                let waited_ms = context.now.since(entry.waits_since).0 as f64;
                entry.delivered == 0 && waited_ms > latest_ms
            })
        };
        let late: Vec<RequestId> = self.classes[class.at()]
            .queue
            .requeued()
            .filter(is_late)
            .collect();
        for request in late {
            self.give_up(context, request, RefusalCode::CannotMeetTarget, target_ms);
        }
    }

    /// The newest waiting requests are given up while those before them take all the time.
    fn give_up_hopeless<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) {
        /// Not measured, chosen because a tick comes every 20 ms: more would stop other decisions
        /// for longer.
        const MAX_AT_ONCE: usize = 8;
        for _ in 0..MAX_AT_ONCE {
            if self.classes[class.at()].queue.len() <= 1 {
                return;
            }
            let Some(newest) = self.classes[class.at()].queue.shed_candidate() else {
                return;
            };
            let Some(entry) = self.requests.get(&newest) else {
                return;
            };
            let admission = &context.settings.admission;
            let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
            let latest_ms = target_ms * (1.0 + admission.late_grace_share);
            let customer = entry.offer.customer;
            let waited_ms = context.now.since(entry.waits_since).0 as f64;
            let expected_ms = waited_ms + self.expected_wait_ms(context, class, customer);
            if expected_ms <= latest_ms {
                return;
            }
            if self.preempt_for(context, class) {
                continue;
            }
            let retry_after = DurationMs((expected_ms - target_ms) as u64);
            let code = RefusalCode::CannotMeetTarget;
            self.give_up(context, newest, code, retry_after.0 as f64);
        }
    }
}

//! What running attempts report: first token, progress, end.

use super::Pool;
use super::entry::{Entry, Running};
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::{CancelCause, Effect};
use crate::event::AttemptEnd;
use crate::index::EndpointIx;
use crate::modules::engine_health::{HealthContext, HealthEvent, HealthState};
use crate::modules::request_life::{LifecycleEvent, LifecycleState};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, Tokens};

impl Pool {
    /// The running entry of this very attempt; reports of earlier attempts find none.
    fn running_entry(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<&mut Entry> {
        let entry = self.requests.get_mut(&request)?;
        let is_current = entry.life.is_running() && entry.life.attempt() == attempt;
        is_current.then_some(entry)
    }

    pub(super) fn note_first_token<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let now = context.now;
        let Some(entry) = self.running_entry(request, attempt) else {
            return;
        };
        if entry.life.state() != LifecycleState::Started {
            return;
        }
        entry.life.handle(LifecycleEvent::FirstToken);
        entry.delivered += 1;
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        running.heard_at = now;
        let took_ms = now.since(running.since).0 as f64;
        let uncached = running.uncached_tokens;
        let engine_tokens = running.engine_tokens;
        let at = running.engine;
        let blocks = std::mem::take(&mut entry.offer.blocks);
        for block in &blocks {
            self.cache
                .stored(now, *block, at, context.settings.routing.max_blocks);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.offer.blocks = blocks;
        }
        self.note_alive(at);
        let engine = &mut self.engines[at.at()];
        engine.prefilling = engine.prefilling.saturating_sub(1);
        engine.prefill_tokens = engine.prefill_tokens.saturating_sub(uncached);
        engine.heard_at = now;
        if engine.health.state() == HealthState::Active {
            self.estimates.learn_prefill(engine_tokens, took_ms);
        }
        self.refresh_cost(context.settings, at);
    }

    pub(super) fn note_progress<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        delivered: Tokens,
        last_gap_ms: DurationMs,
    ) {
        let now = context.now;
        let Some(entry) = self.running_entry(request, attempt) else {
            return;
        };
        if delivered.0 <= entry.delivered {
            return;
        }
        let gained = delivered.0 - entry.delivered;
        entry.delivered = delivered.0;
        let tier_of = entry.offer.class;
        let new_cost = entry.resume_cost();
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        let mean_gap_ms = now.since(running.heard_at).0 as f64 / gained as f64;
        // The last gap tells of an engine that has just become slow; the mean hides it.
        let gap_ms = mean_gap_ms.max(last_gap_ms.0 as f64);
        running.heard_at = now;
        let engine = running.engine;
        let old_cost = running.victim_cost;
        if old_cost.is_some() {
            running.victim_cost = Some(new_cost);
        }
        if let Some(old_cost) = old_cost.filter(|old| *old != new_cost) {
            let tier = self.policy.classes[tier_of.at()].tier;
            self.victims.remove(tier, old_cost, request);
            self.victims.insert(tier, new_cost, request);
        }
        self.note_tokens(context, engine, gained, gap_ms, mean_gap_ms);
    }

    /// Learns an engine's speed from `gained` tokens with a mean gap.
    fn note_tokens<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        at: EndpointIx,
        gained: u64,
        gap_ms: f64,
        mean_gap_ms: f64,
    ) {
        let usual_ms = self.estimates.between_tokens_ms();
        let slow_factor = context.settings.engine_health.slow_factor;
        let is_good = gap_ms <= usual_ms * slow_factor;
        let engine = &mut self.engines[at.at()];
        engine.heard_at = context.now;
        engine.between_tokens_ms.add(gap_ms);
        if is_good {
            let mut health_context = HealthContext {
                now: context.now,
                config: &context.settings.engine_health,
            };
            let event = HealthEvent::GoodTokens(gained);
            engine.health.handle(&mut health_context, event);
        }
        let state = engine.health.state();
        if state == HealthState::Active && !engine.was_in_use {
            self.record_use(context);
            self.count_slots();
        }
        if state == HealthState::Active {
            self.estimates.learn_token_gap(mean_gap_ms);
        }
    }

    pub(super) fn end_attempt<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        if end == AttemptEnd::CallerGone {
            self.abandon(context, request);
            self.dispatch_all(context);
            return;
        }
        if self.running_entry(request, attempt).is_none() {
            // A whole answer crossed a cancellation: the request is over all the same.
            if let AttemptEnd::Done(tokens) = end {
                self.complete_crossed(context, request, attempt, tokens);
            }
            return;
        }
        let Some(running) = self.release_slot(context, request) else {
            return;
        };
        match end {
            AttemptEnd::Done(tokens) => {
                self.note_alive(running.engine);
                self.complete(context, request, attempt, tokens);
            }
            AttemptEnd::NotReached => {
                self.engine_lost(context, running.engine);
                self.retry_unrun(context, request, attempt, running);
            }
            AttemptEnd::Unavailable => {
                self.tell_health(context, running.engine, HealthEvent::Unavailable);
                self.retry_unrun(context, request, attempt, running);
            }
            AttemptEnd::Rejected => self.reject(context, request, attempt),
            AttemptEnd::Lost { delivered } => {
                self.stream_lost(context, running.engine);
                self.retry_lost(context, request, attempt, running, delivered);
            }
            AttemptEnd::EngineEnded { delivered } => {
                self.note_ended(context, request, running);
                self.engine_lost(context, running.engine);
                self.retry_lost(context, request, attempt, running, delivered);
            }
            AttemptEnd::CallerGone => {}
        }
        self.dispatch_all(context);
    }

    /// Ends a request whose answer was whole before its cancellation arrived.
    fn complete_crossed<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        tokens: Tokens,
    ) {
        self.release_slot(context, request);
        self.complete(context, request, attempt, tokens);
        self.dispatch_all(context);
    }

    fn complete<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        tokens: Tokens,
    ) {
        let Some(entry) = self.end_request(request) else {
            return;
        };
        let offer = &entry.offer;
        self.note_served(context.now, offer.fingerprint);
        self.customers
            .release(offer.customer, entry.expected_tokens, tokens.0 as f64);
        self.estimates.learn_length(
            offer.kind,
            offer.customer,
            tokens.0,
            &context.settings.estimates,
        );
        context.record(Decision::Done {
            request,
            attempt,
            tokens,
        });
    }

    /// The caller went away: whatever runs is cancelled, whatever waits is forgotten.
    fn abandon<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, request: RequestId) {
        let running = self.release_slot(context, request);
        let Some(entry) = self.end_request(request) else {
            return;
        };
        let attempt = entry.life.attempt();
        self.customers.release(
            entry.offer.customer,
            entry.expected_tokens,
            entry.delivered as f64,
        );
        let cause = CancelCause::CallerGone;
        context.record(Decision::Cancelled {
            request,
            attempt,
            cause,
            for_tier: None,
        });
        if let Some(running) = running {
            context.effects.push(Effect::Cancel {
                request,
                attempt,
                engine: running.engine,
                cause,
            });
        }
    }

    /// Frees the slot of a running request and forgets it as a victim.
    pub(super) fn release_slot<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) -> Option<Running> {
        let entry = self.requests.get_mut(&request)?;
        let was_started = entry.life.state() == LifecycleState::Started;
        let running = entry.running.take()?;
        let class_ix = entry.offer.class;
        let tier = self.policy.classes[class_ix.at()].tier;
        if let Some(cost) = running.victim_cost {
            self.victims.remove(tier, cost, request);
        }
        let class = &mut self.classes[class_ix.at()];
        class.aged_running -= u32::from(running.is_aged);
        let used_ms = context.now.since(running.since).0 as f64;
        class.used_since_tick_ms += used_ms - running.charged_ms;
        if self.policy.classes[class_ix.at()].min_share.0 > 0.0 {
            class.share.charge(used_ms - running.charged_ms);
        }
        let engine = &mut self.engines[running.engine.at()];
        engine.load.remove(context.now);
        if was_started {
            engine.prefilling = engine.prefilling.saturating_sub(1);
            engine.prefill_tokens = engine
                .prefill_tokens
                .saturating_sub(running.uncached_tokens);
        }
        if let Some(at) = engine.running.iter().position(|id| *id == request) {
            engine.running.swap_remove(at);
        }
        self.refresh_cost(context.settings, running.engine);
        Some(running)
    }
}

//! Reports of running attempts: first token, progress, end.

use super::Pool;
use super::entry::{RequestEntry, RunningAttempt};
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::{CancelCause, Effect};
use crate::event::AttemptEnd;
use crate::index::EndpointIx;
use crate::modules::engine_health::{HealthContext, HealthEvent, HealthState};
use crate::modules::request_lifecycle::{LifecycleEvent, LifecycleState};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, Tokens};

impl Pool {
    /// Returns the request if `attempt` is its running attempt; reports of earlier attempts get
    /// `None`.
    fn running_entry(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<&mut RequestEntry> {
        let entry = self.requests.get_mut(&request)?;
        let is_current = entry.lifecycle.is_running() && entry.lifecycle.attempt() == attempt;
        is_current.then_some(entry)
    }

    /// Handles the first token of an attempt.
    pub(super) fn on_first_token<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let now = context.now;
        let Some(entry) = self.running_entry(request, attempt) else {
            return;
        };
        if entry.lifecycle.state() != LifecycleState::Started {
            return;
        }
        entry.lifecycle.handle(LifecycleEvent::FirstToken);
        entry.delivered += 1;
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        running.last_progress_at = now;
        let elapsed_ms = now.since(running.started_at).0 as f64;
        let uncached = running.uncached_tokens;
        let engine_tokens = running.engine_tokens;
        let engine_ix = running.engine;
        let blocks = std::mem::take(&mut entry.offer.blocks);
        for block in &blocks {
            self.cache
                .record_stored(now, *block, engine_ix, context.settings.routing.max_blocks);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.offer.blocks = blocks;
        }
        self.mark_alive(engine_ix);
        let engine = &mut self.engines[engine_ix.index()];
        engine.prefilling = engine.prefilling.saturating_sub(1);
        engine.prefill_tokens = engine.prefill_tokens.saturating_sub(uncached);
        engine.last_activity_at = now;
        if engine.health.state() == HealthState::Active {
            self.estimates.learn_prefill(engine_tokens, elapsed_ms);
        }
        self.refresh_cost(context.settings, engine_ix);
    }

    /// Handles further tokens of an attempt.
    pub(super) fn on_progress<L: DecisionLog>(
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
        let new_tokens = delivered.0 - entry.delivered;
        entry.delivered = delivered.0;
        let class_ix = entry.offer.class;
        let new_cost = entry.resume_cost();
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        let mean_gap_ms = now.since(running.last_progress_at).0 as f64 / new_tokens as f64;
        // The last gap shows an engine that has just become slow; the mean hides it.
        let gap_ms = mean_gap_ms.max(last_gap_ms.0 as f64);
        running.last_progress_at = now;
        let engine = running.engine;
        let old_cost = running.victim_cost;
        if old_cost.is_some() {
            running.victim_cost = Some(new_cost);
        }
        if let Some(old_cost) = old_cost.filter(|old| *old != new_cost) {
            let tier = self.policy.classes[class_ix.index()].tier;
            self.victims.remove(tier, old_cost, request);
            self.victims.insert(tier, new_cost, request);
        }
        self.record_tokens(context, engine, new_tokens, gap_ms, mean_gap_ms);
    }

    /// Updates an engine's speed and health by `new_tokens` tokens, and the pool's estimates.
    fn record_tokens<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine_ix: EndpointIx,
        new_tokens: u64,
        gap_ms: f64,
        mean_gap_ms: f64,
    ) {
        let usual_ms = self.estimates.between_tokens_ms();
        let slow_factor = context.settings.engine_health.slow_factor;
        let is_good = gap_ms <= usual_ms * slow_factor;
        let engine = &mut self.engines[engine_ix.index()];
        engine.last_activity_at = context.now;
        engine.between_tokens_ms.add(gap_ms);
        if is_good {
            let mut health_context = HealthContext {
                now: context.now,
                config: &context.settings.engine_health,
            };
            let event = HealthEvent::GoodTokens(new_tokens);
            engine.health.handle(&mut health_context, event);
        }
        let state = engine.health.state();
        if state == HealthState::Active && !engine.was_in_use {
            self.record_use(context);
            self.update_slot_totals();
        }
        if state == HealthState::Active {
            self.estimates.learn_token_gap(mean_gap_ms);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_end<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        if end == AttemptEnd::CallerGone {
            self.cancel_request(context, request);
            self.dispatch_all(context);
            return;
        }
        if self.running_entry(request, attempt).is_none() {
            // A complete answer crossed a cancellation: the request is over anyway.
            if let AttemptEnd::Done(tokens) = end {
                self.complete_after_cancel(context, request, attempt, tokens);
            }
            return;
        }
        let Some(running) = self.release_slot(context, request) else {
            return;
        };
        match end {
            AttemptEnd::Done(tokens) => {
                self.mark_alive(running.engine);
                self.complete(context, request, attempt, tokens);
            }
            AttemptEnd::NotReached => {
                self.on_engine_unreachable(context, running.engine);
                self.retry_not_run(context, request, attempt, running);
            }
            AttemptEnd::Unavailable => {
                self.report_health_event(context, running.engine, HealthEvent::Unavailable);
                self.retry_not_run(context, request, attempt, running);
            }
            AttemptEnd::Rejected => self.refuse_rejected(context, request, attempt),
            AttemptEnd::Lost { delivered } => {
                self.on_stream_lost(context, running.engine);
                self.retry_lost(context, request, attempt, running, delivered);
            }
            AttemptEnd::EngineCrashed { delivered } => {
                self.record_crash(context, request, running);
                self.on_engine_unreachable(context, running.engine);
                self.retry_lost(context, request, attempt, running, delivered);
            }
            AttemptEnd::CallerGone => {}
        }
        self.dispatch_all(context);
    }

    /// Ends a request whose answer was complete before its cancellation arrived, and cancels the
    /// attempt that was dispatched since.
    fn complete_after_cancel<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        tokens: Tokens,
    ) {
        let newer = self.requests.get(&request);
        let newer = newer.map(|entry| entry.lifecycle.attempt());
        let running = self.release_slot(context, request);
        self.complete(context, request, attempt, tokens);
        if let Some((running, newer)) = running.zip(newer) {
            context.effects.push(Effect::Cancel {
                request,
                attempt: newer,
                engine: running.engine,
                cause: CancelCause::CallerGone,
            });
        }
        self.dispatch_all(context);
    }

    /// Ends a request with a complete answer.
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
        self.record_served(context.now, offer.fingerprint);
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

    /// Ends a request whose caller disconnected, and cancels its running attempt.
    fn cancel_request<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) {
        let running = self.release_slot(context, request);
        let Some(entry) = self.end_request(request) else {
            return;
        };
        let attempt = entry.lifecycle.attempt();
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

    /// Frees the slot of a running request and removes it from the list for preemption.
    pub(super) fn release_slot<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) -> Option<RunningAttempt> {
        let entry = self.requests.get_mut(&request)?;
        let was_started = entry.lifecycle.state() == LifecycleState::Started;
        let running = entry.running.take()?;
        let class_ix = entry.offer.class;
        let tier = self.policy.classes[class_ix.index()].tier;
        if let Some(cost) = running.victim_cost {
            self.victims.remove(tier, cost, request);
        }
        let class = &mut self.classes[class_ix.index()];
        class.aged_running -= u32::from(running.is_aged);
        let used_ms = context.now.since(running.started_at).0 as f64;
        class.used_since_tick_ms += used_ms - running.charged_ms;
        if self.policy.classes[class_ix.index()].min_share.0 > 0.0 {
            class.share.charge(used_ms - running.charged_ms);
        }
        let engine = &mut self.engines[running.engine.index()];
        engine.load.remove(context.now);
        if was_started {
            engine.prefilling = engine.prefilling.saturating_sub(1);
            engine.prefill_tokens = engine
                .prefill_tokens
                .saturating_sub(running.uncached_tokens);
        }
        if let Some(index) = engine.running.iter().position(|id| *id == request) {
            engine.running.swap_remove(index);
        }
        self.refresh_cost(context.settings, running.engine);
        Some(running)
    }
}

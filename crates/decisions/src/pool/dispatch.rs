//! Dispatch: which waiting request is sent next, and to which engine.

use super::entry::RunningAttempt;
use super::{Pool, PoolEngine};
use crate::configs::Settings;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::Effect;
use crate::event::Offer;
use crate::index::{ClassIx, EndpointIx};
use crate::modules::engine_health::HealthState;
use crate::modules::request_lifecycle::LifecycleEvent;
use bridgevane_types::{AttemptNumber, RequestId, Tier, TimeMs, Tokens};
use rand::RngExt;

/// The class to serve next, and the reason for its choice.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClassSelection {
    class: ClassIx,
    /// Whether the class's longest wait was reached.
    is_aged: bool,
    /// Whether the class has credit of its guaranteed share.
    is_guaranteed: bool,
}

impl ClassSelection {
    /// Selects a class by the order of the tiers alone.
    fn by_tier(class: ClassIx) -> Self {
        Self {
            class,
            is_aged: false,
            is_guaranteed: false,
        }
    }
}

/// An engine with the cost of running a request there.
#[derive(Clone, Copy, Debug)]
struct EngineChoice {
    engine: EndpointIx,
    cached_tokens: u64,
    cost_ms: f64,
}

impl Pool {
    /// Dispatches waiting requests while there are free slots.
    pub(super) fn dispatch_all<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        while self.queued > 0 {
            let Some(selection) = self.select_class(context) else {
                return;
            };
            let Some(request) = self.classes[selection.class.index()].queue.peek() else {
                return;
            };
            let Some(choice) = self.choose_engine(context, request) else {
                break;
            };
            self.dispatch_head(context, selection, request, choice);
        }
        if self.has_engine_on_probation {
            self.probe(context);
        }
    }

    /// Dispatches the least important waiting requests to engines on probation: a slow engine must
    /// not make an important request miss its target.
    fn probe<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for index in 0..self.engines.len() as u32 {
            let engine = &self.engines[index as usize];
            let is_on_probation = engine.health.state() == HealthState::Probation;
            if !is_on_probation || self.free_slots(context.settings, engine) == 0 {
                continue;
            }
            let Some(class) = self.class_to_probe() else {
                return;
            };
            let Some(request) = self.classes[class.index()].queue.peek() else {
                return;
            };
            let selection = ClassSelection::by_tier(class);
            let choice = EngineChoice {
                engine: EndpointIx(index),
                cached_tokens: 0,
                cost_ms: 0.0,
            };
            self.dispatch_head(context, selection, request, choice);
        }
    }

    /// Returns the least important class with waiting requests. A class of the top tier qualifies
    /// only if no lower tier runs preemptible requests or no engine is active.
    fn class_to_probe(&self) -> Option<ClassIx> {
        let is_waiting = |class: &&ClassIx| !self.classes[class.index()].queue.is_empty();
        let class = self.class_order.iter().rev().find(is_waiting).copied()?;
        let tier = self.class_policy(class).tier;
        let is_top = self
            .class_order
            .first()
            .is_some_and(|first| self.class_policy(*first).tier == tier);
        let has_others = self
            .engines
            .iter()
            .any(|e| e.health.state() == HealthState::Active);
        let has_lower = self.cheapest_victim(tier).is_some();
        (!is_top || !has_lower || !has_others).then_some(class)
    }

    /// Returns the class to serve next: one whose longest wait is reached, else one with credit of
    /// its guaranteed share, else the most important one; within a tier, the earliest deadline.
    fn select_class<L: DecisionLog>(&self, context: &PoolContext<'_, L>) -> Option<ClassSelection> {
        if let Some(class) = self.aged_class(context) {
            return Some(ClassSelection {
                class,
                is_aged: true,
                is_guaranteed: false,
            });
        }
        let is_guaranteed = |class: &&ClassIx| {
            let waiting = &self.classes[class.index()];
            !waiting.queue.is_empty() && waiting.share.has_credit()
        };
        if let Some(class) = self.class_order.iter().find(is_guaranteed) {
            return Some(ClassSelection {
                class: *class,
                is_aged: false,
                is_guaranteed: true,
            });
        }
        let mut best: Option<(ClassIx, u64)> = None;
        for class in &self.class_order {
            let Some(head) = self.classes[class.index()].queue.peek() else {
                continue;
            };
            let tier = self.class_policy(*class).tier;
            if best.is_some_and(|(other, _)| self.class_policy(other).tier < tier) {
                break;
            }
            let deadline = self.requests.get(&head).map_or(0, |entry| entry.deadline.0);
            if best.is_none_or(|(_, earliest)| deadline < earliest) {
                best = Some((*class, deadline));
            }
        }
        best.map(|(class, _)| ClassSelection::by_tier(class))
    }

    /// Returns the most important class whose longest wait is reached and that has a free aged
    /// slot.
    fn aged_class<L: DecisionLog>(&self, context: &PoolContext<'_, L>) -> Option<ClassIx> {
        if !context.settings.admission.is_ageing_enabled {
            return None;
        }
        let aged_running: u32 = self.classes.iter().map(|class| class.aged_running).sum();
        if aged_running >= self.aged_slots(context.settings) {
            return None;
        }
        let per_class = self.aged_slots_per_class(context.settings);
        let is_aged = |class: &&ClassIx| {
            let Some(head) = self.classes[class.index()].queue.peek() else {
                return false;
            };
            let Some(entry) = self.requests.get(&head) else {
                return false;
            };
            let waited_ms = context.now.since(entry.waiting_since).0;
            let has_slot = self.classes[class.index()].aged_running < per_class;
            has_slot && waited_ms >= self.max_wait_ms(**class, context.settings)
        };
        // The most important class is skipped: its tier makes it first anyway.
        self.class_order.iter().skip(1).find(is_aged).copied()
    }

    /// Returns the number of aged slots: those for requests that have reached their class's longest
    /// wait.
    fn aged_slots(&self, settings: &Settings) -> u32 {
        let per_aged = f64::from(settings.admission.slots_per_aged_request);
        (self.total_slots / per_aged).max(1.0) as u32
    }

    /// Returns the number of aged slots that one class may use.
    pub(super) fn aged_slots_per_class(&self, settings: &Settings) -> u32 {
        (self.aged_slots(settings) / self.classes.len().max(1) as u32).max(1)
    }

    /// Returns the cheapest engine with a free slot, by prompt tokens to process and load.
    fn choose_engine<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) -> Option<EngineChoice> {
        let entry = self.requests.get(&request)?;
        let avoided_engine = entry.avoided_engine;
        let tokens = entry.offer.prompt_tokens.0 + entry.delivered;
        let mut best: Option<EngineChoice> = None;
        if context.settings.routing.is_cache_aware {
            let memory_ms = context.settings.routing.block_memory_ms;
            let holders = self
                .cache
                .holders_of(context.now, &entry.offer.blocks, memory_ms);
            for (engine, blocks) in holders.into_iter().flatten() {
                let cached_tokens = cached_tokens(&entry.offer, blocks);
                let choice = self.cost_at(engine, tokens, cached_tokens, avoided_engine);
                best = cheaper(best, choice);
            }
        }
        let uncached = match context.settings.routing.choices {
            None => self.least_loaded(avoided_engine),
            Some(choices) => self.least_loaded_of_sample(choices, avoided_engine),
        };
        let choice =
            uncached.and_then(|engine_ix| self.cost_at(engine_ix, tokens, 0, avoided_engine));
        cheaper(best, choice)
    }

    /// Returns the engine with the lowest load cost. The first of several equal ones wins;
    /// to avoid a bias, each search starts at a random engine.
    fn least_loaded(&mut self, avoided_engine: Option<EndpointIx>) -> Option<EndpointIx> {
        let count = self.load_costs_ms.len();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        let mut least = (f64::INFINITY, None);
        for index in (start..count).chain(0..start) {
            let cost_ms = self.load_costs_ms[index];
            if cost_ms < least.0 && avoided_engine != Some(EndpointIx(index as u32)) {
                least = (cost_ms, Some(EndpointIx(index as u32)));
            }
        }
        // The engine to avoid is better than no engine.
        least.1.or(avoided_engine)
    }

    /// Returns the least loaded of `choices` random engines, or of all engines if those are full.
    fn least_loaded_of_sample(
        &mut self,
        choices: u32,
        avoided_engine: Option<EndpointIx>,
    ) -> Option<EndpointIx> {
        let count = self.load_costs_ms.len();
        let mut least = (f64::INFINITY, None);
        for _ in 0..choices.min(count as u32) {
            let index = self.rng.random_range(0..count);
            let cost_ms = self.load_costs_ms[index];
            if cost_ms < least.0 && avoided_engine != Some(EndpointIx(index as u32)) {
                least = (cost_ms, Some(EndpointIx(index as u32)));
            }
        }
        match least.1 {
            Some(engine_ix) => Some(engine_ix),
            None => self.least_loaded(avoided_engine),
        }
    }

    /// Returns the cost of serving `tokens` at an engine that has cached `cached_tokens` of them;
    /// `None` if it has no free slot.
    fn cost_at(
        &self,
        engine_ix: EndpointIx,
        tokens: u64,
        cached_tokens: u64,
        avoided_engine: Option<EndpointIx>,
    ) -> Option<EngineChoice> {
        /// Exceeds the cost of any queue, so that an avoided engine is chosen only if there is no
        /// other.
        const COST_OF_AVOIDED_MS: f64 = 100_000.0;
        let load_cost_ms = *self.load_costs_ms.get(engine_ix.index())?;
        if !load_cost_ms.is_finite() {
            return None;
        }
        let uncached = tokens.saturating_sub(cached_tokens);
        let avoided_ms = if avoided_engine == Some(engine_ix) {
            COST_OF_AVOIDED_MS
        } else {
            0.0
        };
        Some(EngineChoice {
            engine: engine_ix,
            cached_tokens,
            cost_ms: self.estimates.prefill_ms(uncached) + load_cost_ms + avoided_ms,
        })
    }

    /// Dispatches `request`, the head of its class's queue, to the chosen engine.
    fn dispatch_head<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        selection: ClassSelection,
        request: RequestId,
        choice: EngineChoice,
    ) {
        let class = &mut self.classes[selection.class.index()];
        class.queue.pop();
        self.queued -= 1;
        self.dispatch(context, selection, request, choice);
    }

    /// Dispatches `request`, which is in no queue, to an engine with a slot that was just freed.
    pub(super) fn dispatch_to<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        engine: EndpointIx,
    ) {
        let Some(class) = self.requests.get(&request).map(|entry| entry.offer.class) else {
            return;
        };
        let selection = ClassSelection::by_tier(class);
        let choice = EngineChoice {
            engine,
            cached_tokens: 0,
            cost_ms: 0.0,
        };
        self.dispatch(context, selection, request, choice);
    }

    /// Dispatches a request to an engine: records it with the engine and the class, logs it, and
    /// emits the effect.
    fn dispatch<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        selection: ClassSelection,
        request: RequestId,
        choice: EngineChoice,
    ) {
        let Some(started) = self.mark_running(context.now, &selection, request, &choice) else {
            return;
        };
        self.charge_class(&selection, started.charged_ms);
        let engine = choice.engine;
        occupy_slot(&mut self.engines[engine.index()], context.now, request);
        self.refresh_cost(context.settings, engine);
        self.awaiting_first_token
            .push_back((request, started.attempt));
        let cached_tokens = Tokens(choice.cached_tokens);
        context.record(Decision::Dispatched {
            request,
            attempt: started.attempt,
            engine,
            cached_tokens,
            is_protected: started.is_protected,
        });
        context.effects.push(Effect::Dispatch {
            request,
            attempt: started.attempt,
            engine,
            priority: started.engine_priority,
            resume_from: started.delivered,
            cached_tokens,
        });
    }

    /// Marks a request as running on its engine, and lists it for preemption if it isn't protected.
    fn mark_running(
        &mut self,
        now: TimeMs,
        selection: &ClassSelection,
        request: RequestId,
        choice: &EngineChoice,
    ) -> Option<StartedAttempt> {
        let charged_ms = self.work_ms(self.requests.get(&request)?);
        let tier = self.policy.classes[selection.class.index()].tier;
        let entry = self.requests.get_mut(&request)?;
        entry.lifecycle.handle(LifecycleEvent::Dispatch);
        entry.waited_ms = now.since(entry.waiting_since).0;
        let is_protected = selection.is_aged || selection.is_guaranteed;
        let can_be_victim = entry.offer.is_preemptible && !is_protected;
        let victim_cost = can_be_victim.then(|| entry.resume_cost());
        let tokens = entry.offer.prompt_tokens.0 + entry.delivered;
        let uncached_tokens = tokens.saturating_sub(choice.cached_tokens);
        let engine = &mut self.engines[choice.engine.index()];
        engine.prefill_tokens += uncached_tokens;
        entry.running = Some(RunningAttempt {
            engine: choice.engine,
            started_at: now,
            uncached_tokens,
            engine_tokens: engine.prefill_tokens,
            is_aged: selection.is_aged,
            victim_cost,
            last_progress_at: now,
            charged_ms,
        });
        if let Some(cost) = victim_cost {
            self.victims.insert(tier, cost, request);
        }
        Some(StartedAttempt {
            attempt: entry.lifecycle.attempt(),
            is_protected,
            // A protected request gets the top priority inside the engine, too: with a low one its
            // prompt would starve behind those of higher tiers.
            engine_priority: if is_protected { Tier(0) } else { tier },
            delivered: Tokens(entry.delivered),
            charged_ms,
        })
    }

    /// Charges the expected work of a request to its class.
    fn charge_class(&mut self, selection: &ClassSelection, charged_ms: f64) {
        let min_share = self.policy.classes[selection.class.index()].min_share;
        let class = &mut self.classes[selection.class.index()];
        class.aged_running += u32::from(selection.is_aged);
        class.used_since_tick_ms += charged_ms;
        if min_share.0 > 0.0 {
            class.share.charge(charged_ms);
        }
    }
}

/// A request that was marked as running.
struct StartedAttempt {
    attempt: AttemptNumber,
    /// Whether it can't be preempted: its class's longest wait was reached, or it runs on the
    /// class's guaranteed share.
    is_protected: bool,
    engine_priority: Tier,
    /// The number of tokens that the caller already has.
    delivered: Tokens,
    charged_ms: f64,
}

/// Adds an attempt to the state of its engine.
fn occupy_slot(engine: &mut PoolEngine, now: bridgevane_types::TimeMs, request: RequestId) {
    if engine.load.in_flight() == 0 {
        engine.last_activity_at = now;
    }
    engine.load.add(now);
    engine.limit.note_use(engine.load.total());
    engine.prefilling += 1;
    engine.running.push(request);
}

/// Returns the number of prompt tokens in `blocks` blocks.
fn cached_tokens(offer: &Offer, blocks: u32) -> u64 {
    (u64::from(blocks) * u64::from(offer.block_tokens)).min(offer.prompt_tokens.0)
}

/// Returns the cheaper choice; `best` wins a tie.
fn cheaper(best: Option<EngineChoice>, choice: Option<EngineChoice>) -> Option<EngineChoice> {
    match (best, choice) {
        (Some(best), Some(choice)) if best.cost_ms <= choice.cost_ms => Some(best),
        (best, None) => best,
        (_, choice) => choice,
    }
}

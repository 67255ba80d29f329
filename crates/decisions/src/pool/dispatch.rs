//! Which waiting request goes next, and to which engine.

use super::entry::Running;
use super::{Pool, PoolEngine};
use crate::configs::Settings;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::Effect;
use crate::event::Offer;
use crate::index::{ClassIx, EndpointIx};
use crate::modules::engine_health::HealthState;
use crate::modules::request_life::LifecycleEvent;
use bridgevane_types::{AttemptNumber, RequestId, Tier, TimeMs, Tokens};
use rand::RngExt;

/// The class that goes next, and on what ground.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Turn {
    class: ClassIx,
    is_aged: bool,
    is_owed: bool,
}

impl Turn {
    /// A turn by the tiers' order alone: neither by age nor by an owed share.
    fn by_tier(class: ClassIx) -> Self {
        Self {
            class,
            is_aged: false,
            is_owed: false,
        }
    }
}

/// An engine with what it would have to process.
#[derive(Clone, Copy, Debug)]
struct Choice {
    engine: EndpointIx,
    cached_tokens: u64,
    cost_ms: f64,
}

impl Pool {
    /// Sends waiting requests while there is room.
    pub(super) fn dispatch_all<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        while self.queued > 0 {
            let Some(turn) = self.next_turn(context) else {
                return;
            };
            let Some(request) = self.classes[turn.class.at()].queue.peek() else {
                return;
            };
            let Some(choice) = self.choose_engine(context, request) else {
                break;
            };
            self.send(context, turn, request, choice);
        }
        if self.is_probing {
            self.probe(context);
        }
    }

    /// Gives engines on probation the least important waiting work: a slow engine must not
    /// cost an important request its target.
    fn probe<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        for at in 0..self.engines.len() as u32 {
            let engine = &self.engines[at as usize];
            let is_probed = engine.health.state() == HealthState::Probation;
            if !is_probed || self.free_slots(context.settings, engine) == 0 {
                continue;
            }
            let Some(class) = self.class_to_probe_with() else {
                return;
            };
            let Some(request) = self.classes[class.at()].queue.peek() else {
                return;
            };
            let turn = Turn::by_tier(class);
            let choice = Choice {
                engine: EndpointIx(at),
                cached_tokens: 0,
                cost_ms: 0.0,
            };
            self.send(context, turn, request, choice);
        }
    }

    /// The least important class that waits; the most important one only when nothing else
    /// runs, or there is no engine but those on probation.
    fn class_to_probe_with(&self) -> Option<ClassIx> {
        let is_waiting = |class: &&ClassIx| !self.classes[class.at()].queue.is_empty();
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

    /// The class that goes next: one whose longest wait is reached, else one that is owed
    /// its guaranteed part, else the most important; within a tier the earliest deadline.
    fn next_turn<L: DecisionLog>(&self, context: &PoolContext<'_, L>) -> Option<Turn> {
        if let Some(class) = self.aged_class(context) {
            return Some(Turn {
                class,
                is_aged: true,
                is_owed: false,
            });
        }
        let is_owed = |class: &&ClassIx| {
            let waiting = &self.classes[class.at()];
            !waiting.queue.is_empty() && waiting.share.has_credit()
        };
        if let Some(class) = self.class_order.iter().find(is_owed) {
            return Some(Turn {
                class: *class,
                is_aged: false,
                is_owed: true,
            });
        }
        let mut best: Option<(ClassIx, u64)> = None;
        for class in &self.class_order {
            let Some(head) = self.classes[class.at()].queue.peek() else {
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
        best.map(|(class, _)| Turn::by_tier(class))
    }

    fn aged_class<L: DecisionLog>(&self, context: &PoolContext<'_, L>) -> Option<ClassIx> {
        if !context.settings.admission.is_ageing_enabled {
            return None;
        }
        let aged_running: u32 = self.classes.iter().map(|class| class.aged_running).sum();
        if aged_running >= self.aged_slots(context.settings) {
            return None;
        }
        let of_class = self.aged_slots_of_class(context.settings);
        let is_aged = |class: &&ClassIx| {
            let Some(head) = self.classes[class.at()].queue.peek() else {
                return false;
            };
            let Some(entry) = self.requests.get(&head) else {
                return false;
            };
            let waited_ms = context.now.since(entry.waits_since).0;
            let has_slot = self.classes[class.at()].aged_running < of_class;
            has_slot && waited_ms >= self.max_wait_ms(**class, context.settings)
        };
        // The most important class never needs it: it goes first by its tier.
        self.class_order.iter().skip(1).find(is_aged).copied()
    }

    /// Slots that may run requests which waited for their class's longest wait.
    fn aged_slots(&self, settings: &Settings) -> u32 {
        let per_aged = f64::from(settings.admission.slots_per_aged_request);
        (self.total_slots / per_aged).max(1.0) as u32
    }

    /// What one class may have of them.
    pub(super) fn aged_slots_of_class(&self, settings: &Settings) -> u32 {
        (self.aged_slots(settings) / self.classes.len().max(1) as u32).max(1)
    }

    /// The cheapest engine with room: prompt tokens to process, then load.
    fn choose_engine<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) -> Option<Choice> {
        let entry = self.requests.get(&request)?;
        let avoid = entry.avoid;
        let tokens = entry.offer.prompt_tokens.0 + entry.delivered;
        let mut best: Option<Choice> = None;
        if context.settings.routing.is_cache_aware {
            let memory_ms = context.settings.routing.block_memory_ms;
            let holders = self
                .cache
                .holders_of(context.now, &entry.offer.blocks, memory_ms);
            for (engine, blocks) in holders.into_iter().flatten() {
                let cached_tokens = cached_tokens(&entry.offer, blocks);
                let choice = self.price(engine, tokens, cached_tokens, avoid);
                best = cheaper(best, choice);
            }
        }
        let uncached = match context.settings.routing.choices {
            None => self.least_loaded(avoid),
            Some(choices) => self.least_loaded_of(choices, avoid),
        };
        let choice = uncached.and_then(|at| self.price(at, tokens, 0, avoid));
        cheaper(best, choice)
    }

    /// The engine whose load costs least; ties go to the first one seen, so each look starts
    /// elsewhere.
    fn least_loaded(&mut self, avoid: Option<EndpointIx>) -> Option<EndpointIx> {
        let count = self.load_costs_ms.len();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        let mut least = (f64::INFINITY, None);
        for at in (start..count).chain(0..start) {
            let cost_ms = self.load_costs_ms[at];
            if cost_ms < least.0 && avoid != Some(EndpointIx(at as u32)) {
                least = (cost_ms, Some(EndpointIx(at as u32)));
            }
        }
        // The engine to avoid is better than none.
        least.1.or(avoid)
    }

    /// The least loaded of a few engines drawn at random, or of all when those are full.
    fn least_loaded_of(&mut self, choices: u32, avoid: Option<EndpointIx>) -> Option<EndpointIx> {
        let count = self.load_costs_ms.len();
        let mut least = (f64::INFINITY, None);
        for _ in 0..choices.min(count as u32) {
            let at = self.rng.random_range(0..count);
            let cost_ms = self.load_costs_ms[at];
            if cost_ms < least.0 && avoid != Some(EndpointIx(at as u32)) {
                least = (cost_ms, Some(EndpointIx(at as u32)));
            }
        }
        match least.1 {
            Some(at) => Some(at),
            None => self.least_loaded(avoid),
        }
    }

    /// What serving `tokens` costs at an engine, of which `cached_tokens` are there already.
    fn price(
        &self,
        at: EndpointIx,
        tokens: u64,
        cached_tokens: u64,
        avoid: Option<EndpointIx>,
    ) -> Option<Choice> {
        /// Not measured, chosen because it must exceed any queue: such an engine gets work only
        /// when all are avoided.
        const COST_OF_AVOIDED_MS: f64 = 100_000.0;
        let load_cost_ms = *self.load_costs_ms.get(at.at())?;
        if !load_cost_ms.is_finite() {
            return None;
        }
        let uncached = tokens.saturating_sub(cached_tokens);
        let avoided_ms = if avoid == Some(at) {
            COST_OF_AVOIDED_MS
        } else {
            0.0
        };
        Some(Choice {
            engine: at,
            cached_tokens,
            cost_ms: self.estimates.prefill_ms(uncached) + load_cost_ms + avoided_ms,
        })
    }

    /// Sends `request`, the head of its class's queue, to the chosen engine.
    fn send<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        turn: Turn,
        request: RequestId,
        choice: Choice,
    ) {
        let class = &mut self.classes[turn.class.at()];
        class.queue.pop();
        self.queued -= 1;
        self.start(context, turn, request, choice);
    }

    /// Sends `request`, which stands in no queue, to an engine whose slot was just cleared.
    pub(super) fn send_to<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        engine: EndpointIx,
    ) {
        let Some(class) = self.requests.get(&request).map(|entry| entry.offer.class) else {
            return;
        };
        let turn = Turn::by_tier(class);
        let choice = Choice {
            engine,
            cached_tokens: 0,
            cost_ms: 0.0,
        };
        self.start(context, turn, request, choice);
    }

    /// Starts a request on an engine: books it there and with its class, logs it, and gives the
    /// order.
    fn start<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        turn: Turn,
        request: RequestId,
        choice: Choice,
    ) {
        let Some(started) = self.mark_running(context.now, &turn, request, &choice) else {
            return;
        };
        self.charge_class(&turn, started.charged_ms);
        let engine = choice.engine;
        occupy(&mut self.engines[engine.at()], context.now, request);
        self.refresh_cost(context.settings, engine);
        self.started.push_back((request, started.attempt));
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

    /// Books a request on its engine, and as a possible victim of higher tiers.
    fn mark_running(
        &mut self,
        now: TimeMs,
        turn: &Turn,
        request: RequestId,
        choice: &Choice,
    ) -> Option<Started> {
        let charged_ms = self.work_ms(self.requests.get(&request)?);
        let tier = self.policy.classes[turn.class.at()].tier;
        let entry = self.requests.get_mut(&request)?;
        entry.life.handle(LifecycleEvent::Dispatch);
        entry.waited_ms = now.since(entry.waits_since).0;
        let is_protected = turn.is_aged || turn.is_owed;
        let can_be_victim = entry.offer.is_preemptible && !is_protected;
        let victim_cost = can_be_victim.then(|| entry.resume_cost());
        let tokens = entry.offer.prompt_tokens.0 + entry.delivered;
        let uncached_tokens = tokens.saturating_sub(choice.cached_tokens);
        let engine = &mut self.engines[choice.engine.at()];
        engine.prefill_tokens += uncached_tokens;
        entry.running = Some(Running {
            engine: choice.engine,
            since: now,
            uncached_tokens,
            engine_tokens: engine.prefill_tokens,
            is_aged: turn.is_aged,
            victim_cost,
            heard_at: now,
            charged_ms,
        });
        if let Some(cost) = victim_cost {
            self.victims.insert(tier, cost, request);
        }
        Some(Started {
            attempt: entry.life.attempt(),
            is_protected,
            // Inside the engine, too, nothing may keep it waiting: a low priority would starve
            // its prompt behind those of higher tiers.
            engine_priority: if is_protected { Tier(0) } else { tier },
            delivered: Tokens(entry.delivered),
            charged_ms,
        })
    }

    /// Charges the work of a request to its class.
    fn charge_class(&mut self, turn: &Turn, charged_ms: f64) {
        let min_share = self.policy.classes[turn.class.at()].min_share;
        let class = &mut self.classes[turn.class.at()];
        class.aged_running += u32::from(turn.is_aged);
        class.used_since_tick_ms += charged_ms;
        if min_share.0 > 0.0 {
            class.share.charge(charged_ms);
        }
    }
}

/// A request that was booked on an engine.
struct Started {
    attempt: AttemptNumber,
    /// It waited for its class's longest wait, or its class is owed its part: it isn't preempted.
    is_protected: bool,
    engine_priority: Tier,
    /// Tokens that the caller has already.
    delivered: Tokens,
    charged_ms: f64,
}

fn occupy(engine: &mut PoolEngine, now: bridgevane_types::TimeMs, request: RequestId) {
    if engine.load.in_flight() == 0 {
        engine.heard_at = now;
    }
    engine.load.add(now);
    engine.limit.note_use(engine.load.total());
    engine.prefilling += 1;
    engine.running.push(request);
}

fn cached_tokens(offer: &Offer, blocks: u32) -> u64 {
    (u64::from(blocks) * u64::from(offer.block_tokens)).min(offer.prompt_tokens.0)
}

fn cheaper(best: Option<Choice>, choice: Option<Choice>) -> Option<Choice> {
    match (best, choice) {
        (Some(best), Some(choice)) if best.cost_ms <= choice.cost_ms => Some(best),
        (best, None) => best,
        (_, choice) => choice,
    }
}

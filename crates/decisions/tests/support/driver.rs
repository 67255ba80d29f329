//! Runs deciders against engine models in virtual time.

use super::workload::{Arrival, BLOCK_TOKENS, MAX_TOKENS, Workload};
use bridgevane_adapters::EndReason;
use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, CancelCause, ClassIx, CustomerIx, Decision, Effect, EndpointIx, KindIx, Offer,
    Policy, PoolContext, Recorder,
};
use bridgevane_standins::{
    BrokenPromise, EngineModel, EngineSpec, Job, ModelEvent, check_promises,
};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, Slots, Tier, TimeMs, Tokens};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// What goes wrong, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An engine's steps take `factor` times as long.
    Slow {
        engine: usize,
        factor: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// An engine loses its streams and can't be reached.
    Crash {
        engine: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// An engine refuses all new work at once, while its streams go on.
    Refuse {
        engine: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// The callers of every `nth` request go away after their first token.
    CallersVanish { nth: u64 },
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub workload: Workload,
    pub engines: usize,
    pub slots: u32,
    /// Load as a part of capacity.
    pub load: f64,
    pub seed: u64,
    pub duration_ms: u64,
    /// How old load reports are.
    pub report_lag_ms: u64,
    pub faults: Vec<Fault>,
    pub settings: Settings,
}

impl Setup {
    pub fn new(workload: Workload, load: f64, seed: u64) -> Self {
        Self {
            workload,
            engines: 12,
            slots: 16,
            load,
            seed,
            duration_ms: 120_000,
            report_lag_ms: 500,
            faults: Vec::new(),
            settings: Settings::default(),
        }
    }

    pub fn spec(&self) -> EngineSpec {
        EngineSpec {
            slots: Slots(self.slots),
            block_tokens: BLOCK_TOKENS,
            ..EngineSpec::default()
        }
    }

    /// Time of a step with every slot in use.
    pub fn full_step_ms(&self) -> f64 {
        let spec = self.spec();
        (spec.step_base_us + spec.step_per_sequence_us * f64::from(self.slots)) / 1000.0
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let service_ms = self
            .workload
            .mean_service_ms(self.full_step_ms(), self.spec().prefill_tokens_per_ms);
        let slots = (self.engines as f64) * f64::from(self.slots);
        let rate = self.load * slots / service_ms;
        self.workload.arrivals(self.seed, self.duration_ms, rate)
    }
}

/// What became of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    pub offered: u64,
    pub in_target: u64,
    pub late: u64,
    pub refused: u64,
    pub unfinished: u64,
    pub good_tokens: u64,
    pub worst_first_token_ms: u64,
}

impl ClassResult {
    pub fn attainment(&self) -> f64 {
        self.in_target as f64 / (self.offered.max(1)) as f64
    }
}

/// What became of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub classes: Vec<ClassResult>,
    /// Tokens of answers within target, a second.
    pub goodput_tps: f64,
    /// What someone who knows everything could reach at most.
    pub bound_tps: f64,
    /// Computed tokens that were for nothing, as a part of all.
    pub wasted: f64,
    pub broken: Vec<BrokenPromise>,
    /// Attempts that were taken back or lost, by cause.
    pub interrupted: BTreeMap<&'static str, u64>,
    pub refused_within_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    Step(usize),
    Tick,
    Reports,
    FaultBegins(usize),
    FaultEnds(usize),
    NotReached(RequestId, AttemptNumber),
    Unavailable(RequestId, AttemptNumber),
}

struct Attempt {
    number: AttemptNumber,
    engine: usize,
    reported: u64,
    reported_ms: u64,
    token_ms: u64,
}

struct Live {
    arrival: usize,
    decider: usize,
    attempt: Option<Attempt>,
    attempts: u64,
    delivered: u64,
    /// Tokens that were delivered while requests still arrived.
    delivered_in_time: u64,
    first_token_ms: Option<u64>,
    is_over: bool,
}

const TICK_MS: u64 = 20;
const REPORT_EVERY_MS: u64 = 100;
const PROGRESS_TOKENS: u64 = 32;
const PROGRESS_MS: u64 = 1_000;
/// A token that comes so late is reported at once.
const SLOW_GAP_MS: u64 = 150;
/// Time after the last arrival for answers to end.
const DRAIN_MS: u64 = 60_000;

/// One run.
pub struct Driver<P> {
    setup: Setup,
    deciders: Vec<P>,
    logs: Vec<Recorder>,
    engines: Vec<EngineModel>,
    is_down: Vec<bool>,
    is_refusing: Vec<bool>,
    arrivals: Vec<Arrival>,
    live: HashMap<RequestId, Live>,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    order: u64,
    now_us: u64,
    reports: Vec<VecDeque<(u64, u32)>>,
    result: RunResult,
    wasted_tokens: u64,
}

impl<P: Policy> Driver<P> {
    /// A run with these deciders: one is a home, several each decide alone.
    pub fn new(setup: Setup, deciders: Vec<P>) -> Self {
        let arrivals = setup.arrivals();
        let engines = vec![EngineModel::new(setup.spec()); setup.engines];
        let mut driver = Self {
            logs: deciders.iter().map(|_| Recorder::new(usize::MAX)).collect(),
            is_down: vec![false; setup.engines],
            is_refusing: vec![false; setup.engines],
            reports: vec![VecDeque::new(); setup.engines],
            result: RunResult {
                classes: vec![ClassResult::default(); setup.workload.classes.len()],
                ..RunResult::default()
            },
            deciders,
            engines,
            arrivals,
            live: HashMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            now_us: 0,
            wasted_tokens: 0,
            setup,
        };
        driver.schedule_all();
        driver
    }

    fn schedule_all(&mut self) {
        for at in 0..self.arrivals.len() {
            self.schedule(self.arrivals[at].at_ms * 1000, Happening::Arrive(at));
        }
        for at in 0..self.setup.faults.len() {
            match self.setup.faults[at] {
                Fault::Slow { from_ms, to_ms, .. }
                | Fault::Crash { from_ms, to_ms, .. }
                | Fault::Refuse { from_ms, to_ms, .. } => {
                    self.schedule(from_ms * 1000, Happening::FaultBegins(at));
                    self.schedule(to_ms * 1000, Happening::FaultEnds(at));
                }
                Fault::CallersVanish { .. } => {}
            }
        }
        self.schedule(0, Happening::Tick);
        self.schedule(0, Happening::Reports);
    }

    fn schedule(&mut self, at_us: u64, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at_us, self.order, happening)));
    }

    /// Runs to the end.
    pub fn run(mut self) -> RunResult {
        let end_us = (self.setup.duration_ms + DRAIN_MS) * 1000;
        while let Some(Reverse((at_us, _, happening))) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            match happening {
                Happening::Arrive(at) => self.arrive(at),
                Happening::Step(engine) => self.step(engine),
                Happening::Tick => {
                    for decider in 0..self.deciders.len() {
                        self.decide(decider, |policy, context| policy.tick(context));
                    }
                    self.schedule(self.now_us + TICK_MS * 1000, Happening::Tick);
                }
                Happening::Reports => self.report_loads(),
                Happening::FaultBegins(at) => self.begin_fault(at),
                Happening::FaultEnds(at) => self.end_fault(at),
                Happening::NotReached(request, attempt) => {
                    self.not_taken(request, attempt, AttemptEnd::NotReached);
                }
                Happening::Unavailable(request, attempt) => {
                    self.not_taken(request, attempt, AttemptEnd::Unavailable);
                }
            }
        }
        self.finish()
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1000
    }

    fn decide(
        &mut self,
        decider: usize,
        decide: impl FnOnce(&mut P, &mut PoolContext<'_, Recorder>),
    ) {
        let mut effects = Vec::new();
        let mut context = PoolContext {
            now: TimeMs(self.now_us / 1000),
            settings: &self.setup.settings,
            effects: &mut effects,
            log: &mut self.logs[decider],
        };
        decide(&mut self.deciders[decider], &mut context);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn arrive(&mut self, at: usize) {
        let request = RequestId(at as u128);
        let arrival = &self.arrivals[at];
        let decider = at % self.deciders.len();
        let offer = Offer {
            request,
            class: ClassIx(arrival.class as u16),
            customer: CustomerIx(arrival.customer),
            kind: KindIx(arrival.class as u16),
            prompt_tokens: Tokens(arrival.prompt_tokens),
            max_tokens: Tokens(MAX_TOKENS),
            blocks: arrival.blocks.clone(),
            block_tokens: BLOCK_TOKENS as u32,
            fingerprint: None,
            is_repeatable: true,
            is_preemptible: true,
        };
        self.result.classes[arrival.class].offered += 1;
        let live = Live {
            arrival: at,
            decider,
            attempt: None,
            attempts: 0,
            delivered: 0,
            delivered_in_time: 0,
            first_token_ms: None,
            is_over: false,
        };
        self.live.insert(request, live);
        self.decide(decider, |policy, context| policy.offer(context, offer));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                request,
                attempt,
                engine,
                priority,
                ..
            } => self.dispatch(request, attempt, engine, priority),
            Effect::Cancel {
                request,
                attempt,
                engine,
                ..
            } => {
                self.engines[engine.at()].cancel(request, attempt);
                if let Some(live) = self.live.get_mut(&request) {
                    live.attempt = None;
                }
            }
            Effect::Refuse { request, .. } => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: RequestId) {
        let now_ms = self.now_ms();
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.is_over = true;
        let arrival = &self.arrivals[live.arrival];
        self.result.classes[arrival.class].refused += 1;
        self.wasted_tokens += live.delivered;
        let waited = now_ms - arrival.at_ms;
        self.result.refused_within_ms = self.result.refused_within_ms.max(waited);
    }

    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        engine: EndpointIx,
        priority: Tier,
    ) {
        let at = engine.at();
        let now_us = self.now_us;
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.attempts += 1;
        live.attempt = Some(Attempt {
            number: attempt,
            engine: at,
            reported: live.delivered,
            reported_ms: now_us / 1000,
            token_ms: now_us / 1000,
        });
        if self.is_down[at] {
            live.attempt = None;
            let refused = Happening::NotReached(request, attempt);
            self.schedule(now_us + 1000, refused);
            return;
        }
        if self.is_refusing[at] {
            live.attempt = None;
            let refused = Happening::Unavailable(request, attempt);
            self.schedule(now_us + 1000, refused);
            return;
        }
        let arrival = &self.arrivals[live.arrival];
        let job = Job {
            request,
            attempt,
            priority,
            blocks: arrival.blocks.clone(),
            prompt_tokens: arrival.prompt_tokens,
            resume_from: live.delivered,
            total_tokens: arrival.answer_tokens,
            end: EndReason::Stop,
        };
        let is_again = live.attempts > 1;
        if is_again {
            self.wasted_tokens += self.engines[at].uncached_tokens(&job);
        }
        let was_idle = self.engines[at].step_ends_us().is_none();
        self.engines[at].submit(now_us, job);
        if let (true, Some(ends_us)) = (was_idle, self.engines[at].step_ends_us()) {
            self.schedule(ends_us, Happening::Step(at));
        }
    }

    fn not_taken(&mut self, request: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        let Some(decider) = self.live.get(&request).map(|live| live.decider) else {
            return;
        };
        self.decide(decider, |policy, context| {
            policy.finished(context, request, attempt, end);
        });
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].step_ends_us() != Some(self.now_us) {
            return;
        }
        let mut events = Vec::new();
        let now_us = self.now_us;
        self.engines[engine].step(now_us, &mut events);
        if let Some(ends_us) = self.engines[engine].step_ends_us() {
            self.schedule(ends_us, Happening::Step(engine));
        }
        for event in events {
            match event {
                ModelEvent::Token {
                    request,
                    attempt,
                    offset,
                } => self.token(request, attempt, offset),
                ModelEvent::End {
                    request, attempt, ..
                } => self.answer_ended(request, attempt),
            }
        }
    }

    fn current(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<&mut Live> {
        let live = self.live.get_mut(&request)?;
        let is_current = live.attempt.as_ref().is_some_and(|a| a.number == attempt);
        (is_current && !live.is_over).then_some(live)
    }

    fn token(&mut self, request: RequestId, attempt: AttemptNumber, offset: u64) {
        let now_ms = self.now_ms();
        let duration_ms = self.setup.duration_ms;
        let vanish = self.vanishing();
        let Some(live) = self.current(request, attempt) else {
            return;
        };
        assert_eq!(
            offset, live.delivered,
            "an answer must go on where it stopped"
        );
        let decider = live.decider;
        let is_first_of_attempt = live
            .attempt
            .as_ref()
            .is_some_and(|a| a.reported == live.delivered);
        live.delivered += 1;
        live.delivered_in_time += u64::from(now_ms < duration_ms);
        live.first_token_ms.get_or_insert(now_ms);
        let delivered = live.delivered;
        let due = !is_first_of_attempt
            && live.attempt.as_ref().is_some_and(|a| {
                delivered >= a.reported + PROGRESS_TOKENS
                    || now_ms >= a.reported_ms + PROGRESS_MS
                    || now_ms >= a.token_ms + SLOW_GAP_MS
            });
        let mut gap_ms = DurationMs(0);
        if let Some(attempt) = live.attempt.as_mut() {
            gap_ms = DurationMs(now_ms - attempt.token_ms);
            attempt.token_ms = now_ms;
            if due {
                attempt.reported = delivered;
                attempt.reported_ms = now_ms;
            }
        }
        if is_first_of_attempt {
            if vanish.is_some_and(|nth| request.0.is_multiple_of(u128::from(nth))) {
                self.vanish(request, attempt);
                return;
            }
            self.decide(decider, |policy, context| {
                policy.first_token(context, request, attempt);
            });
        }
        if due {
            self.decide(decider, |policy, context| {
                policy.progress(context, request, attempt, Tokens(delivered), gap_ms);
            });
        }
    }

    fn vanishing(&self) -> Option<u64> {
        self.setup.faults.iter().find_map(|fault| match fault {
            Fault::CallersVanish { nth } => Some(*nth),
            _ => None,
        })
    }

    fn vanish(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.is_over = true;
        let decider = live.decider;
        self.wasted_tokens += live.delivered;
        let class = self.arrivals[live.arrival].class;
        self.result.classes[class].offered -= 1;
        let end = AttemptEnd::CallerGone;
        self.decide(decider, |policy, context| {
            policy.finished(context, request, attempt, end);
        });
    }

    fn answer_ended(&mut self, request: RequestId, attempt: AttemptNumber) {
        let now_ms = self.now_ms();
        let Some(live) = self.current(request, attempt) else {
            return;
        };
        live.is_over = true;
        live.attempt = None;
        let decider = live.decider;
        let (at, delivered, first_ms) = (live.arrival, live.delivered, live.first_token_ms);
        let in_time = live.delivered_in_time;
        self.count_whole(at, delivered, in_time, first_ms.unwrap_or(now_ms));
        let end = AttemptEnd::Done(Tokens(delivered));
        self.decide(decider, |policy, context| {
            policy.finished(context, request, attempt, end);
        });
    }

    fn count_whole(&mut self, at: usize, tokens: u64, in_time: u64, first_ms: u64) {
        let now_ms = self.now_ms();
        let arrival = &self.arrivals[at];
        assert_eq!(tokens, arrival.answer_tokens, "an answer must be whole");
        let class = &self.setup.workload.classes[arrival.class];
        let waited_ms = first_ms - arrival.at_ms;
        let gap_ms = (now_ms - first_ms) / tokens.saturating_sub(1).max(1);
        let gap_met = class
            .between_tokens_ms
            .is_none_or(|target| gap_ms <= target);
        let result = &mut self.result.classes[arrival.class];
        result.worst_first_token_ms = result.worst_first_token_ms.max(waited_ms);
        if waited_ms <= class.first_token_ms && gap_met {
            result.in_target += 1;
            result.good_tokens += in_time;
        } else {
            result.late += 1;
        }
    }

    fn report_loads(&mut self) {
        let now_ms = self.now_ms();
        let lag_ms = self.setup.report_lag_ms;
        for engine in 0..self.engines.len() {
            let load = self.engines[engine].load();
            let reports = &mut self.reports[engine];
            reports.push_back((now_ms, load.running.0 + load.waiting.0));
            while reports.len() > 1 && reports[1].0 + lag_ms <= now_ms {
                reports.pop_front();
            }
            let (at_ms, busy) = reports[0];
            let age_ms = DurationMs(now_ms - at_ms);
            if self.is_down[engine] || age_ms.0 < lag_ms {
                continue;
            }
            for decider in 0..self.deciders.len() {
                let engine = EndpointIx(engine as u32);
                self.decide(decider, |policy, context| {
                    policy.load_report(context, engine, busy, age_ms);
                });
            }
        }
        self.schedule(self.now_us + REPORT_EVERY_MS * 1000, Happening::Reports);
    }

    fn begin_fault(&mut self, at: usize) {
        match self.setup.faults[at] {
            Fault::Slow { engine, factor, .. } => self.engines[engine].set_slowdown(factor),
            Fault::Crash { engine, .. } => self.crash(engine),
            Fault::Refuse { engine, .. } => self.is_refusing[engine] = true,
            Fault::CallersVanish { .. } => {}
        }
    }

    fn end_fault(&mut self, at: usize) {
        match self.setup.faults[at] {
            Fault::Slow { engine, .. } => self.engines[engine].set_slowdown(1.0),
            Fault::Crash { engine, .. } => self.is_down[engine] = false,
            Fault::Refuse { engine, .. } => self.is_refusing[engine] = false,
            Fault::CallersVanish { .. } => {}
        }
    }

    fn crash(&mut self, engine: usize) {
        self.is_down[engine] = true;
        self.engines[engine].clear();
        let mut lost: Vec<_> = self
            .live
            .iter()
            .filter(|(_, live)| live.attempt.as_ref().is_some_and(|a| a.engine == engine))
            .map(|(request, _)| *request)
            .collect();
        lost.sort();
        for request in lost {
            let Some(live) = self.live.get_mut(&request) else {
                continue;
            };
            let Some(attempt) = live.attempt.take() else {
                continue;
            };
            let decider = live.decider;
            let end = AttemptEnd::Lost {
                delivered: Tokens(live.delivered),
            };
            self.decide(decider, |policy, context| {
                policy.finished(context, request, attempt.number, end);
            });
        }
    }

    fn finish(mut self) -> RunResult {
        for live in self.live.values().filter(|live| !live.is_over) {
            let class = self.arrivals[live.arrival].class;
            self.result.classes[class].unfinished += 1;
        }
        let seconds = self.setup.duration_ms as f64 / 1000.0;
        let good: u64 = self
            .result
            .classes
            .iter()
            .map(|class| class.good_tokens)
            .sum();
        self.result.goodput_tps = good as f64 / seconds;
        self.result.bound_tps = self.bound_tokens() / seconds;
        let decoded: u64 = self.engines.iter().map(|e| e.decoded_tokens().0).sum();
        let prefilled: u64 = self.engines.iter().map(|e| e.prefilled_tokens().0).sum();
        let computed = (decoded + prefilled).max(1);
        self.result.wasted = self.wasted_tokens as f64 / computed as f64;
        for log in &self.logs {
            for record in log.records() {
                let cause = match record.decision {
                    Decision::Cancelled {
                        cause, for_tier, ..
                    } => match cause {
                        CancelCause::Preempted if for_tier == Some(Tier(0)) => "for tier 0",
                        CancelCause::Preempted => "preempted",
                        CancelCause::Moved => "moved",
                        CancelCause::CallerGone => "caller gone",
                    },
                    Decision::Lost { .. } => "lost",
                    _ => continue,
                };
                *self.result.interrupted.entry(cause).or_default() += 1;
            }
            self.result.broken.extend(check_promises(log.records()));
        }
        self.result
    }

    /// What nobody can exceed while requests arrive: the engines' slots, less what faults
    /// take, filled with the answers that cost least a token, with true lengths, each prompt's
    /// own part processed once, and no waiting.
    fn bound_tokens(&self) -> f64 {
        let step_ms = self.setup.full_step_ms();
        let prefill = self.setup.spec().prefill_tokens_per_ms;
        let cost = |arrival: &Arrival| {
            let shared = self.setup.workload.classes[arrival.class].shared_prefix;
            let own = arrival.prompt_tokens.saturating_sub(shared) as f64 / prefill;
            (
                arrival.answer_tokens as f64,
                arrival.answer_tokens as f64 * step_ms + own,
            )
        };
        let mut costs: Vec<(f64, f64)> = self.arrivals.iter().map(cost).collect();
        costs.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
        let engine_ms = self.setup.engines as f64 * self.setup.duration_ms as f64;
        let mut left_ms = (engine_ms - self.lost_engine_ms()) * f64::from(self.setup.slots);
        let mut tokens = 0.0;
        for (answer, cost_ms) in costs {
            tokens += answer * (left_ms / cost_ms).clamp(0.0, 1.0);
            left_ms -= cost_ms;
        }
        tokens
    }

    /// Engine time that faults take.
    fn lost_engine_ms(&self) -> f64 {
        let lost = |fault: &Fault| match fault {
            Fault::Slow {
                factor,
                from_ms,
                to_ms,
                ..
            } => (to_ms - from_ms) as f64 * (1.0 - 1.0 / factor),
            Fault::Crash { from_ms, to_ms, .. } | Fault::Refuse { from_ms, to_ms, .. } => {
                (to_ms - from_ms) as f64
            }
            Fault::CallersVanish { .. } => 0.0,
        };
        self.setup.faults.iter().map(lost).sum()
    }
}

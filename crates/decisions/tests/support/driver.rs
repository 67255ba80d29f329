//! Runs schedulers against engine models in virtual time.

use super::workload::{Arrival, BLOCK_TOKENS, MAX_TOKENS, Workload};
use bridgevane_adapters::EndReason;
use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, CancelCause, ClassIx, CustomerIx, Decision, Effect, EndpointIx, KindIx, Offer,
    PoolContext, Recorder, Scheduler,
};
use bridgevane_standins::{
    BrokenPromise, EngineModel, EngineSpec, Job, ModelEvent, check_promises,
};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, Slots, Tier, TimeMs, Tokens};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An engine's steps take `factor` times as long.
    Slow {
        engine: usize,
        factor: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// An engine loses its streams and is unreachable.
    Crash {
        engine: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// An engine refuses all new requests at once, while its streams continue.
    Refuse {
        engine: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// The callers of every `nth` request disconnect after their first token.
    CallersDisconnect { nth: u64 },
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub workload: Workload,
    pub engines: usize,
    pub slots: u32,
    /// The load as a multiple of the capacity.
    pub load: f64,
    pub seed: u64,
    pub duration_ms: u64,
    /// The age of load reports (ms).
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

    /// Returns the duration of an engine step with every slot in use (ms).
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

/// The results of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    pub offered: u64,
    pub in_target: u64,
    pub late: u64,
    pub refused: u64,
    pub unfinished: u64,
    pub in_target_tokens: u64,
    pub worst_first_token_ms: u64,
}

impl ClassResult {
    pub fn attainment(&self) -> f64 {
        self.in_target as f64 / (self.offered.max(1)) as f64
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub classes: Vec<ClassResult>,
    /// The tokens per second of answers within target.
    pub goodput_tps: f64,
    /// The upper bound of the goodput, which needs full knowledge of all requests.
    pub bound_tps: f64,
    /// The share of computed tokens that were wasted.
    pub wasted_share: f64,
    pub violations: Vec<BrokenPromise>,
    /// The number of attempts that were cancelled or lost, by cause.
    pub interrupted: BTreeMap<&'static str, u64>,
    /// The longest time from the arrival of a request to its refusal (ms).
    pub longest_refusal_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RequestArrives(usize),
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

struct RequestState {
    arrival: usize,
    scheduler: usize,
    attempt: Option<Attempt>,
    attempts: u64,
    delivered: u64,
    /// The tokens that were delivered while requests still arrived.
    delivered_in_time: u64,
    first_token_ms: Option<u64>,
    is_finished: bool,
}

const TICK_MS: u64 = 20;
const REPORT_EVERY_MS: u64 = 100;
const PROGRESS_TOKENS: u64 = 32;
const PROGRESS_MS: u64 = 1_000;
/// The gap from which on a token is reported at once.
const SLOW_GAP_MS: u64 = 150;
/// The time after the last arrival in which answers can end.
const DRAIN_MS: u64 = 60_000;

/// A run of a simulation.
pub struct Driver<P> {
    setup: Setup,
    schedulers: Vec<P>,
    logs: Vec<Recorder>,
    engines: Vec<EngineModel>,
    is_down: Vec<bool>,
    is_refusing: Vec<bool>,
    arrivals: Vec<Arrival>,
    requests: HashMap<RequestId, RequestState>,
    event_queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    event_sequence: u64,
    now_us: u64,
    reports: Vec<VecDeque<(u64, u32)>>,
    result: RunResult,
    wasted_tokens: u64,
}

impl<P: Scheduler> Driver<P> {
    /// Creates a run. One scheduler acts as the home daemon; several decide independently.
    pub fn new(setup: Setup, schedulers: Vec<P>) -> Self {
        let arrivals = setup.arrivals();
        let engines = vec![EngineModel::new(setup.spec()); setup.engines];
        let mut driver = Self {
            logs: schedulers
                .iter()
                .map(|_| Recorder::new(usize::MAX))
                .collect(),
            is_down: vec![false; setup.engines],
            is_refusing: vec![false; setup.engines],
            reports: vec![VecDeque::new(); setup.engines],
            result: RunResult {
                classes: vec![ClassResult::default(); setup.workload.classes.len()],
                ..RunResult::default()
            },
            schedulers,
            engines,
            arrivals,
            requests: HashMap::new(),
            event_queue: BinaryHeap::new(),
            event_sequence: 0,
            now_us: 0,
            wasted_tokens: 0,
            setup,
        };
        driver.schedule_all();
        driver
    }

    fn schedule_all(&mut self) {
        for index in 0..self.arrivals.len() {
            self.schedule(
                self.arrivals[index].at_ms * 1000,
                SimEvent::RequestArrives(index),
            );
        }
        for index in 0..self.setup.faults.len() {
            match self.setup.faults[index] {
                Fault::Slow { from_ms, to_ms, .. }
                | Fault::Crash { from_ms, to_ms, .. }
                | Fault::Refuse { from_ms, to_ms, .. } => {
                    self.schedule(from_ms * 1000, SimEvent::FaultBegins(index));
                    self.schedule(to_ms * 1000, SimEvent::FaultEnds(index));
                }
                Fault::CallersDisconnect { .. } => {}
            }
        }
        self.schedule(0, SimEvent::Tick);
        self.schedule(0, SimEvent::Reports);
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.event_sequence += 1;
        self.event_queue
            .push(Reverse((at_us, self.event_sequence, event)));
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> RunResult {
        let end_us = (self.setup.duration_ms + DRAIN_MS) * 1000;
        while let Some(Reverse((at_us, _, event))) = self.event_queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            match event {
                SimEvent::RequestArrives(index) => self.on_arrival(index),
                SimEvent::Step(engine) => self.step(engine),
                SimEvent::Tick => {
                    for scheduler in 0..self.schedulers.len() {
                        self.decide(scheduler, |scheduler, context| scheduler.tick(context));
                    }
                    self.schedule(self.now_us + TICK_MS * 1000, SimEvent::Tick);
                }
                SimEvent::Reports => self.report_loads(),
                SimEvent::FaultBegins(index) => self.begin_fault(index),
                SimEvent::FaultEnds(index) => self.end_fault(index),
                SimEvent::NotReached(request, attempt) => {
                    self.on_not_accepted(request, attempt, AttemptEnd::NotReached);
                }
                SimEvent::Unavailable(request, attempt) => {
                    self.on_not_accepted(request, attempt, AttemptEnd::Unavailable);
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
        scheduler: usize,
        decide: impl FnOnce(&mut P, &mut PoolContext<'_, Recorder>),
    ) {
        let mut effects = Vec::new();
        let mut context = PoolContext {
            now: TimeMs(self.now_us / 1000),
            settings: &self.setup.settings,
            effects: &mut effects,
            log: &mut self.logs[scheduler],
        };
        decide(&mut self.schedulers[scheduler], &mut context);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn on_arrival(&mut self, index: usize) {
        let request = RequestId(index as u128);
        let arrival = &self.arrivals[index];
        let scheduler = index % self.schedulers.len();
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
        let state = RequestState {
            arrival: index,
            scheduler,
            attempt: None,
            attempts: 0,
            delivered: 0,
            delivered_in_time: 0,
            first_token_ms: None,
            is_finished: false,
        };
        self.requests.insert(request, state);
        self.decide(scheduler, |scheduler, context| {
            scheduler.offer(context, offer)
        });
    }

    fn apply_effect(&mut self, effect: Effect) {
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
                self.engines[engine.index()].cancel(request, attempt);
                if let Some(state) = self.requests.get_mut(&request) {
                    state.attempt = None;
                }
            }
            Effect::Refuse { request, .. } => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: RequestId) {
        let now_ms = self.now_ms();
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.is_finished = true;
        let arrival = &self.arrivals[state.arrival];
        self.result.classes[arrival.class].refused += 1;
        self.wasted_tokens += state.delivered;
        let waited = now_ms - arrival.at_ms;
        self.result.longest_refusal_ms = self.result.longest_refusal_ms.max(waited);
    }

    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        engine: EndpointIx,
        priority: Tier,
    ) {
        let index = engine.index();
        let now_us = self.now_us;
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.attempts += 1;
        state.attempt = Some(Attempt {
            number: attempt,
            engine: index,
            reported: state.delivered,
            reported_ms: now_us / 1000,
            token_ms: now_us / 1000,
        });
        if self.is_down[index] {
            state.attempt = None;
            let refused = SimEvent::NotReached(request, attempt);
            self.schedule(now_us + 1000, refused);
            return;
        }
        if self.is_refusing[index] {
            state.attempt = None;
            let refused = SimEvent::Unavailable(request, attempt);
            self.schedule(now_us + 1000, refused);
            return;
        }
        let arrival = &self.arrivals[state.arrival];
        let job = Job {
            request,
            attempt,
            priority,
            blocks: arrival.blocks.clone(),
            prompt_tokens: arrival.prompt_tokens,
            resume_from: state.delivered,
            total_tokens: arrival.answer_tokens,
            end: EndReason::Stop,
        };
        let is_resumed = state.attempts > 1;
        if is_resumed {
            self.wasted_tokens += self.engines[index].uncached_tokens(&job);
        }
        let was_idle = self.engines[index].step_ends_us().is_none();
        self.engines[index].submit(now_us, job);
        if let (true, Some(ends_us)) = (was_idle, self.engines[index].step_ends_us()) {
            self.schedule(ends_us, SimEvent::Step(index));
        }
    }

    fn on_not_accepted(&mut self, request: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        let Some(scheduler) = self.requests.get(&request).map(|state| state.scheduler) else {
            return;
        };
        self.decide(scheduler, |scheduler, context| {
            scheduler.attempt_ended(context, request, attempt, end);
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
            self.schedule(ends_us, SimEvent::Step(engine));
        }
        for event in events {
            match event {
                ModelEvent::Token {
                    request,
                    attempt,
                    offset,
                } => self.on_token(request, attempt, offset),
                ModelEvent::End {
                    request, attempt, ..
                } => self.on_answer_end(request, attempt),
            }
        }
    }

    fn current_request(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<&mut RequestState> {
        let state = self.requests.get_mut(&request)?;
        let is_current = state.attempt.as_ref().is_some_and(|a| a.number == attempt);
        (is_current && !state.is_finished).then_some(state)
    }

    fn on_token(&mut self, request: RequestId, attempt: AttemptNumber, offset: u64) {
        let now_ms = self.now_ms();
        let duration_ms = self.setup.duration_ms;
        let disconnect_interval = self.disconnect_interval();
        let Some(state) = self.current_request(request, attempt) else {
            return;
        };
        assert_eq!(
            offset, state.delivered,
            "an answer must resume at its last delivered token"
        );
        let scheduler = state.scheduler;
        let is_first_of_attempt = state
            .attempt
            .as_ref()
            .is_some_and(|a| a.reported == state.delivered);
        state.delivered += 1;
        state.delivered_in_time += u64::from(now_ms < duration_ms);
        state.first_token_ms.get_or_insert(now_ms);
        let delivered = state.delivered;
        let due = !is_first_of_attempt
            && state.attempt.as_ref().is_some_and(|a| {
                delivered >= a.reported + PROGRESS_TOKENS
                    || now_ms >= a.reported_ms + PROGRESS_MS
                    || now_ms >= a.token_ms + SLOW_GAP_MS
            });
        let mut gap_ms = DurationMs(0);
        if let Some(attempt) = state.attempt.as_mut() {
            gap_ms = DurationMs(now_ms - attempt.token_ms);
            attempt.token_ms = now_ms;
            if due {
                attempt.reported = delivered;
                attempt.reported_ms = now_ms;
            }
        }
        if is_first_of_attempt {
            if disconnect_interval.is_some_and(|nth| request.0.is_multiple_of(u128::from(nth))) {
                self.disconnect_caller(request, attempt);
                return;
            }
            self.decide(scheduler, |scheduler, context| {
                scheduler.first_token(context, request, attempt);
            });
        }
        if due {
            self.decide(scheduler, |scheduler, context| {
                scheduler.progress(context, request, attempt, Tokens(delivered), gap_ms);
            });
        }
    }

    fn disconnect_interval(&self) -> Option<u64> {
        self.setup.faults.iter().find_map(|fault| match fault {
            Fault::CallersDisconnect { nth } => Some(*nth),
            _ => None,
        })
    }

    fn disconnect_caller(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.is_finished = true;
        let scheduler = state.scheduler;
        self.wasted_tokens += state.delivered;
        let class = self.arrivals[state.arrival].class;
        self.result.classes[class].offered -= 1;
        let end = AttemptEnd::CallerGone;
        self.decide(scheduler, |scheduler, context| {
            scheduler.attempt_ended(context, request, attempt, end);
        });
    }

    fn on_answer_end(&mut self, request: RequestId, attempt: AttemptNumber) {
        let now_ms = self.now_ms();
        let Some(state) = self.current_request(request, attempt) else {
            return;
        };
        state.is_finished = true;
        state.attempt = None;
        let scheduler = state.scheduler;
        let (index, delivered, first_ms) = (state.arrival, state.delivered, state.first_token_ms);
        let in_time = state.delivered_in_time;
        self.count_answer(index, delivered, in_time, first_ms.unwrap_or(now_ms));
        let end = AttemptEnd::Done(Tokens(delivered));
        self.decide(scheduler, |scheduler, context| {
            scheduler.attempt_ended(context, request, attempt, end);
        });
    }

    fn count_answer(&mut self, index: usize, tokens: u64, in_time: u64, first_ms: u64) {
        let now_ms = self.now_ms();
        let arrival = &self.arrivals[index];
        assert_eq!(tokens, arrival.answer_tokens, "an answer must be complete");
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
            result.in_target_tokens += in_time;
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
            for scheduler in 0..self.schedulers.len() {
                let engine = EndpointIx(engine as u32);
                self.decide(scheduler, |scheduler, context| {
                    scheduler.load_report(context, engine, busy, age_ms);
                });
            }
        }
        self.schedule(self.now_us + REPORT_EVERY_MS * 1000, SimEvent::Reports);
    }

    fn begin_fault(&mut self, index: usize) {
        match self.setup.faults[index] {
            Fault::Slow { engine, factor, .. } => self.engines[engine].set_slowdown(factor),
            Fault::Crash { engine, .. } => self.crash(engine),
            Fault::Refuse { engine, .. } => self.is_refusing[engine] = true,
            Fault::CallersDisconnect { .. } => {}
        }
    }

    fn end_fault(&mut self, index: usize) {
        match self.setup.faults[index] {
            Fault::Slow { engine, .. } => self.engines[engine].set_slowdown(1.0),
            Fault::Crash { engine, .. } => self.is_down[engine] = false,
            Fault::Refuse { engine, .. } => self.is_refusing[engine] = false,
            Fault::CallersDisconnect { .. } => {}
        }
    }

    fn crash(&mut self, engine: usize) {
        self.is_down[engine] = true;
        self.engines[engine].clear();
        let mut lost: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, state)| state.attempt.as_ref().is_some_and(|a| a.engine == engine))
            .map(|(request, _)| *request)
            .collect();
        lost.sort();
        for request in lost {
            let Some(state) = self.requests.get_mut(&request) else {
                continue;
            };
            let Some(attempt) = state.attempt.take() else {
                continue;
            };
            let scheduler = state.scheduler;
            let end = AttemptEnd::Lost {
                delivered: Tokens(state.delivered),
            };
            self.decide(scheduler, |scheduler, context| {
                scheduler.attempt_ended(context, request, attempt.number, end);
            });
        }
    }

    fn finish(mut self) -> RunResult {
        for state in self.requests.values().filter(|state| !state.is_finished) {
            let class = self.arrivals[state.arrival].class;
            self.result.classes[class].unfinished += 1;
        }
        let seconds = self.setup.duration_ms as f64 / 1000.0;
        let good: u64 = self
            .result
            .classes
            .iter()
            .map(|class| class.in_target_tokens)
            .sum();
        self.result.goodput_tps = good as f64 / seconds;
        self.result.bound_tps = self.goodput_bound_tokens() / seconds;
        let decoded: u64 = self.engines.iter().map(|e| e.decoded_tokens().0).sum();
        let prefilled: u64 = self.engines.iter().map(|e| e.prefilled_tokens().0).sum();
        let computed = (decoded + prefilled).max(1);
        self.result.wasted_share = self.wasted_tokens as f64 / computed as f64;
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
            self.result.violations.extend(check_promises(log.records()));
        }
        self.result
    }

    /// Returns an upper bound of the tokens of answers while requests arrive. It fills the engines'
    /// slots, less the time lost to faults, with the answers that cost least per token, and assumes
    /// known lengths, no waiting, and that the unshared part of each prompt is processed once.
    fn goodput_bound_tokens(&self) -> f64 {
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
        let mut left_ms =
            (engine_ms - self.engine_ms_lost_to_faults()) * f64::from(self.setup.slots);
        let mut tokens = 0.0;
        for (answer, cost_ms) in costs {
            tokens += answer * (left_ms / cost_ms).clamp(0.0, 1.0);
            left_ms -= cost_ms;
        }
        tokens
    }

    /// Returns the engine time lost to faults (ms).
    fn engine_ms_lost_to_faults(&self) -> f64 {
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
            Fault::CallersDisconnect { .. } => 0.0,
        };
        self.setup.faults.iter().map(lost).sum()
    }
}

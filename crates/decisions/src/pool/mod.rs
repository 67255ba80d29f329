//! The decisions of one pool, which consists of the engines of one service in one data centre.

mod admit;
mod attempt;
mod crashes;
mod dispatch;
mod entry;
mod maintain;
mod preemption;
mod recover;
mod view;

pub use view::{ClassView, EngineView, RequestView};

use crate::configs::Settings;
use crate::context::PoolContext;
use crate::crash_count::CrashCount;
use crate::decision_log::DecisionLog;
use crate::event::{AttemptEnd, Offer, Scheduler};
use crate::index::{ClassIx, CustomerIx, EndpointIx};
use crate::modules::concurrency::ConcurrencyLimit;
use crate::modules::customer_limits::CustomerLimits;
use crate::modules::engine_health::{EngineHealth, HealthState};
use crate::modules::engine_load::EngineLoad;
use crate::modules::estimates::Estimates;
use crate::modules::ewma::Ewma;
use crate::modules::fair_queue::FairQueue;
use crate::modules::guaranteed_share::GuaranteedShare;
use crate::modules::prefix_cache::PrefixCache;
use crate::modules::retry_budget::RetryBudget;
use crate::modules::victims::Victims;
use crate::policy::{ClassPolicy, PoolPolicy};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, TimeMs, Tokens};
use crashes::EngineIncarnation;
use entry::RequestEntry;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};

/// An engine of the pool.
struct PoolEngine {
    limit: ConcurrencyLimit,
    health: EngineHealth,
    load: EngineLoad,
    is_drained: bool,
    /// Whether the engine was in use according to the last record in the log.
    was_in_use: bool,
    between_tokens_ms: Ewma,
    /// The number of attempts without a first token.
    prefilling: u32,
    /// The number of tokens that those attempts have to process.
    prefill_tokens: u64,
    /// The time of the last token, or of the first attempt on an idle engine.
    last_activity_at: TimeMs,
    /// The requests that this pool runs on the engine.
    running: Vec<RequestId>,
    /// The number of observed crashes, which identifies the engine's incarnation.
    incarnation: u32,
    /// Whether the engine has crashed and produced no first token or complete answer since.
    has_crashed: bool,
}

/// A class of the pool.
struct Class {
    queue: FairQueue,
    share: GuaranteedShare,
    retries: RetryBudget,
    /// The number of requests that run because the class's longest wait was reached.
    aged_running: u32,
    /// The slots that the class uses, on average: slot-milliseconds per millisecond.
    use_rate: Ewma,
    /// The slot-milliseconds used since the last tick.
    used_since_tick_ms: f64,
}

/// The state of one pool, and its decisions.
pub struct Pool {
    policy: PoolPolicy,
    engines: Vec<PoolEngine>,
    /// The cost that each engine's load adds to a request, in milliseconds; infinite without a free
    /// slot. Stored apart from the engines so that a decision reads little memory.
    load_costs_ms: Vec<f64>,
    classes: Vec<Class>,
    /// The classes by tier, the most important first.
    class_order: Vec<ClassIx>,
    requests: HashMap<RequestId, RequestEntry>,
    customers: CustomerLimits,
    estimates: Estimates,
    cache: PrefixCache,
    victims: Victims,
    /// The running attempts without a first token, oldest first.
    awaiting_first_token: VecDeque<(RequestId, AttemptNumber)>,
    /// The counts of engine crashes by request.
    crashes: CrashCount<EngineIncarnation>,
    rng: Pcg64Mcg,
    /// The number of waiting requests of all classes.
    queued: usize,
    last_tick_at: TimeMs,
    last_check_at: TimeMs,
    /// The number of slots of all engines that are neither drained nor ejected.
    total_slots: f64,
    /// Whether any engine is on probation.
    has_engine_on_probation: bool,
}

impl Pool {
    /// Creates an idle pool; `seed` determines the choice among equal engines.
    pub fn new(policy: PoolPolicy, settings: &Settings, seed: u64) -> Self {
        let mut pool = Self {
            policy: PoolPolicy::default(),
            engines: Vec::new(),
            load_costs_ms: Vec::new(),
            classes: Vec::new(),
            class_order: Vec::new(),
            requests: HashMap::new(),
            customers: CustomerLimits::default(),
            estimates: Estimates::new(&settings.estimates),
            cache: PrefixCache::default(),
            victims: Victims::new(),
            awaiting_first_token: VecDeque::new(),
            crashes: CrashCount::default(),
            rng: Pcg64Mcg::new(u128::from(seed) << 64 | 0xcafe_f00d),
            queued: 0,
            last_tick_at: TimeMs(0),
            last_check_at: TimeMs(0),
            total_slots: 0.0,
            has_engine_on_probation: false,
        };
        pool.set_policy(policy, settings);
        pool
    }

    /// Applies a changed configuration. Requests in flight keep their class and engine.
    pub fn set_policy(&mut self, policy: PoolPolicy, settings: &Settings) {
        for (index, engine) in policy.engines.iter().enumerate() {
            match self.engines.get_mut(index) {
                Some(known) => {
                    known.limit.set_max(engine.slots.0);
                    known.is_drained = engine.is_drained;
                }
                None => self.engines.push(PoolEngine {
                    limit: ConcurrencyLimit::new(engine.slots.0),
                    health: EngineHealth::new(),
                    load: EngineLoad::new(),
                    is_drained: engine.is_drained,
                    was_in_use: true,
                    between_tokens_ms: Ewma::new(
                        settings.estimates.initial_between_tokens_ms,
                        settings.estimates.weight,
                    ),
                    prefilling: 0,
                    prefill_tokens: 0,
                    last_activity_at: TimeMs(0),
                    running: Vec::new(),
                    incarnation: 0,
                    has_crashed: false,
                }),
            }
        }
        while self.classes.len() < policy.classes.len() {
            self.classes.push(Class {
                queue: FairQueue::default(),
                share: GuaranteedShare::default(),
                retries: RetryBudget::new(&settings.retry),
                aged_running: 0,
                use_rate: Ewma::new(0.0, 0.05),
                used_since_tick_ms: 0.0,
            });
        }
        self.estimates
            .set_kinds(policy.kinds.iter().map(|kind| kind.1.0 as f64));
        self.class_order = (0..policy.classes.len() as u16).map(ClassIx).collect();
        self.class_order
            .sort_by_key(|class| policy.classes[class.index()].tier);
        self.policy = policy;
        self.update_slot_totals();
        self.refresh_all_costs(settings);
    }

    /// Returns the current policy.
    pub fn policy(&self) -> &PoolPolicy {
        &self.policy
    }

    /// Records that `engine` holds `block` in its prefix cache.
    pub fn cache_stored(
        &mut self,
        now: TimeMs,
        settings: &Settings,
        engine: EndpointIx,
        block: u64,
    ) {
        self.cache
            .record_stored(now, block, engine, settings.routing.max_blocks);
    }

    /// Records that `engine` evicted `block` from its prefix cache.
    pub fn cache_evicted(&mut self, engine: EndpointIx, block: u64) {
        self.cache.record_evicted(block, engine);
    }

    fn class_policy(&self, class: ClassIx) -> &ClassPolicy {
        &self.policy.classes[class.index()]
    }

    /// Returns the longest wait of a class (ms), after which it counts as starved.
    fn max_wait_ms(&self, class: ClassIx, settings: &Settings) -> u64 {
        let policy = self.class_policy(class);
        let by_target =
            policy.first_token_target_ms.0 as f64 * settings.admission.default_max_wait_share;
        policy
            .max_wait_ms
            .map_or(by_target as u64, |max_wait| max_wait.0)
    }

    /// Returns the number of slots of `engine` that are free for new requests.
    fn free_slots(&self, settings: &Settings, engine: &PoolEngine) -> u32 {
        if engine.is_drained {
            return 0;
        }
        let limit = match engine.health.state() {
            HealthState::Active => engine.limit.slots(),
            HealthState::Probation => settings.engine_health.probation_slots,
            HealthState::Ejected => 0,
        };
        limit.saturating_sub(engine.load.total())
    }

    /// Returns the cost that the load of `engine` adds to a request (ms).
    fn load_cost_ms(&self, settings: &Settings, engine: &PoolEngine) -> f64 {
        // An engine on probation receives requests only through `probe`.
        let is_on_probation = engine.health.state() == HealthState::Probation;
        if is_on_probation || self.free_slots(settings, engine) == 0 {
            return f64::INFINITY;
        }
        let load = f64::from(engine.load.total()) / f64::from(engine.limit.slots().max(1));
        load * settings.routing.load_cost_ms + self.estimates.prefill_ms(engine.prefill_tokens)
    }

    /// Updates the load cost of one engine after a change.
    fn refresh_cost(&mut self, settings: &Settings, engine_ix: EndpointIx) {
        let cost_ms = self.load_cost_ms(settings, &self.engines[engine_ix.index()]);
        self.load_costs_ms[engine_ix.index()] = cost_ms;
    }

    fn refresh_all_costs(&mut self, settings: &Settings) {
        self.load_costs_ms.resize(self.engines.len(), f64::INFINITY);
        for index in 0..self.engines.len() as u32 {
            self.refresh_cost(settings, EndpointIx(index));
        }
    }

    /// Recomputes the total of usable slots and whether any engine is on probation.
    fn update_slot_totals(&mut self) {
        let usable = |engine: &&PoolEngine| {
            !engine.is_drained && engine.health.state() != HealthState::Ejected
        };
        let slots = |engine: &PoolEngine| f64::from(engine.limit.slots());
        self.total_slots = self.engines.iter().filter(usable).map(slots).sum();
        self.has_engine_on_probation = self
            .engines
            .iter()
            .any(|engine| engine.health.state() == HealthState::Probation);
    }

    fn has_usable_engine(&self) -> bool {
        self.total_slots > 0.0
    }

    fn customer_policy(&self, customer: CustomerIx) -> Option<&crate::policy::CustomerPolicy> {
        self.policy.customers.get(customer.index())
    }
}

impl Scheduler for Pool {
    fn offer<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, offer: Offer) {
        self.admit(context, offer);
    }

    fn first_token<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        self.on_first_token(context, request, attempt);
    }

    fn progress<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        delivered: Tokens,
        gap_ms: DurationMs,
    ) {
        self.on_progress(context, request, attempt, delivered, gap_ms);
    }

    fn attempt_ended<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        self.on_attempt_end(context, request, attempt, end);
    }

    fn load_report<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine: EndpointIx,
        busy: u32,
        age_ms: DurationMs,
    ) {
        if let Some(reported) = self.engines.get_mut(engine.index()) {
            reported.load.apply_report(context.now, busy, age_ms);
            self.refresh_cost(context.settings, engine);
        }
        self.dispatch_all(context);
    }

    fn tick<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        self.maintain(context);
    }
}

//! Views of a pool for operators, and the takeover of requests from another daemon.

use super::Pool;
use super::entry::{RequestEntry, RunningAttempt};
use crate::configs::Settings;
use crate::event::Offer;
use crate::index::EndpointIx;
use crate::modules::engine_health::HealthState;
use crate::modules::request_lifecycle::{LifecycleState, RequestLifecycle};
use bridgevane_types::{
    AttemptNumber, ClassName, CustomerId, DurationMs, EndpointId, RequestId, Slots, Tier, TimeMs,
    Tokens,
};

/// A view of a request for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestView {
    /// The request's id.
    pub request: RequestId,
    /// The request's class.
    pub class: ClassName,
    /// The customer, if it is configured.
    pub customer: Option<CustomerId>,
    /// The state of the request.
    pub state: String,
    /// The engine on which it runs; `None` while it waits.
    pub engine: Option<EndpointId>,
    /// The time since it arrived.
    pub age_ms: DurationMs,
    /// The number of attempts so far.
    pub attempts: u64,
    /// The number of delivered tokens.
    pub delivered: Tokens,
    /// The expected number of remaining tokens.
    pub expected_remaining_tokens: Tokens,
}

/// A view of an engine for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine's id.
    pub engine: EndpointId,
    /// The health state.
    pub health: HealthState,
    /// Whether it receives no new requests.
    pub is_drained: bool,
    /// The number of this pool's requests in flight.
    pub in_flight: Slots,
    /// The current concurrency limit.
    pub limit: Slots,
    /// The mean time between tokens (ms).
    pub between_tokens_ms: f64,
}

/// A view of a class for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// The class's name.
    pub class: ClassName,
    /// The priority tier.
    pub tier: Tier,
    /// The number of waiting requests.
    pub queued: usize,
    /// The number of slots used recently, on average.
    pub used_slots: f64,
}

impl Pool {
    /// Returns a view of each request that waits or runs.
    pub fn request_views(&self, now: TimeMs, settings: &Settings) -> Vec<RequestView> {
        let view = |(request, entry): (&RequestId, &RequestEntry)| RequestView {
            request: *request,
            class: self.class_policy(entry.offer.class).name.clone(),
            customer: self
                .customer_policy(entry.offer.customer)
                .map(|c| c.name.clone()),
            state: entry.lifecycle.state().to_string(),
            engine: entry
                .running
                .map(|running| self.engine_name(running.engine)),
            age_ms: now.since(entry.arrived_at),
            attempts: entry.lifecycle.attempts(),
            delivered: Tokens(entry.delivered),
            expected_remaining_tokens: Tokens(
                self.expected_remaining_tokens(entry, settings) as u64
            ),
        };
        self.requests.iter().map(view).collect()
    }

    /// Returns a view of each engine.
    pub fn engine_views(&self) -> Vec<EngineView> {
        let view = |(engine, policy): (&super::PoolEngine, &crate::EnginePolicy)| EngineView {
            engine: policy.name.clone(),
            health: engine.health.state(),
            is_drained: engine.is_drained,
            in_flight: Slots(engine.load.in_flight()),
            limit: Slots(engine.limit.slots()),
            between_tokens_ms: engine.between_tokens_ms.value(),
        };
        self.engines
            .iter()
            .zip(&self.policy.engines)
            .map(view)
            .collect()
    }

    /// Returns a view of each class, the most important first.
    pub fn class_views(&self) -> Vec<ClassView> {
        let view = |class: &crate::ClassIx| ClassView {
            class: self.class_policy(*class).name.clone(),
            tier: self.class_policy(*class).tier,
            queued: self.classes[class.index()].queue.len(),
            used_slots: self.classes[class.index()].use_rate.value(),
        };
        self.class_order.iter().map(view).collect()
    }

    /// Returns the id of an engine.
    pub fn engine_name(&self, engine: EndpointIx) -> EndpointId {
        self.policy.engines[engine.index()].name.clone()
    }

    /// Returns the number of requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the expected number of remaining tokens of a request.
    fn expected_remaining_tokens(&self, entry: &RequestEntry, settings: &Settings) -> f64 {
        let offer = &entry.offer;
        self.estimates.expected_remaining_tokens(
            offer.kind,
            offer.customer,
            entry.delivered,
            offer.max_tokens.0,
            &settings.estimates,
        )
    }

    /// Takes over a request that already runs, for example after the pool's former home daemon was
    /// lost.
    pub fn adopt(
        &mut self,
        now: TimeMs,
        settings: &Settings,
        offer: Offer,
        engine: EndpointIx,
        attempt: AttemptNumber,
        delivered: Tokens,
    ) {
        let request = offer.request;
        let is_known = self.requests.contains_key(&request);
        if is_known
            || engine.index() >= self.engines.len()
            || offer.class.index() >= self.classes.len()
        {
            return;
        }
        self.customers.adopt(offer.customer);
        let tier = self.class_policy(offer.class).tier;
        let mut entry = RequestEntry::new(offer, now, now, 1.0);
        entry.lifecycle = RequestLifecycle::adopted(attempt);
        entry.delivered = delivered.0;
        entry.may_have_run = true;
        let victim_cost = entry.offer.is_preemptible.then(|| entry.resume_cost());
        if let Some(cost) = victim_cost {
            self.victims.insert(tier, cost, request);
        }
        entry.running = Some(RunningAttempt {
            engine,
            started_at: now,
            uncached_tokens: 0,
            engine_tokens: 0,
            is_aged: false,
            victim_cost,
            last_progress_at: now,
            charged_ms: 0.0,
        });
        let state = entry.lifecycle.state();
        let adopted = &mut self.engines[engine.index()];
        adopted.load.add(now);
        adopted.running.push(request);
        adopted.prefilling += u32::from(state == LifecycleState::Started);
        self.requests.insert(request, entry);
        self.refresh_cost(settings, engine);
    }
}

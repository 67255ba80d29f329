//! What operators see of a pool, and requests taken over from another daemon.

use super::Pool;
use super::entry::{Entry, Running};
use crate::configs::Settings;
use crate::event::Offer;
use crate::index::EndpointIx;
use crate::modules::engine_health::HealthState;
use crate::modules::request_life::{LifecycleState, RequestLifecycle};
use bridgevane_types::{
    AttemptNumber, ClassName, CustomerId, DurationMs, EndpointId, RequestId, Slots, Tier, TimeMs,
    Tokens,
};

/// A request as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestView {
    /// The request.
    pub request: RequestId,
    /// Class.
    pub class: ClassName,
    /// Customer, if the configuration names it.
    pub customer: Option<CustomerId>,
    /// Where it stands.
    pub state: String,
    /// Its engine, while it runs.
    pub engine: Option<EndpointId>,
    /// Time since it arrived.
    pub age_ms: DurationMs,
    /// Attempts so far.
    pub attempts: u64,
    /// Tokens delivered.
    pub delivered: Tokens,
    /// Tokens that are still to be expected.
    pub expected_rest: Tokens,
}

/// An engine as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Name.
    pub engine: EndpointId,
    /// Health.
    pub health: HealthState,
    /// Whether it gets no new work.
    pub is_drained: bool,
    /// Own requests in flight.
    pub in_flight: Slots,
    /// The limit now.
    pub limit: Slots,
    /// Mean time between tokens.
    pub between_tokens_ms: f64,
}

/// A class as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Name.
    pub class: ClassName,
    /// Tier.
    pub tier: Tier,
    /// Requests that wait.
    pub queued: usize,
    /// Slots that it used lately.
    pub used_slots: f64,
}

impl Pool {
    /// Requests in flight.
    pub fn request_views(&self, now: TimeMs, settings: &Settings) -> Vec<RequestView> {
        let view = |(request, entry): (&RequestId, &Entry)| RequestView {
            request: *request,
            class: self.class_policy(entry.offer.class).name.clone(),
            customer: self
                .customer_policy(entry.offer.customer)
                .map(|c| c.name.clone()),
            state: entry.life.state().to_string(),
            engine: entry
                .running
                .map(|running| self.engine_name(running.engine)),
            age_ms: now.since(entry.arrived_at),
            attempts: entry.life.attempts(),
            delivered: Tokens(entry.delivered),
            expected_rest: Tokens(self.expected_rest(entry, settings) as u64),
        };
        self.requests.iter().map(view).collect()
    }

    /// Engines.
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

    /// Classes, the most important first.
    pub fn class_views(&self) -> Vec<ClassView> {
        let view = |class: &crate::ClassIx| ClassView {
            class: self.class_policy(*class).name.clone(),
            tier: self.class_policy(*class).tier,
            queued: self.classes[class.at()].queue.len(),
            used_slots: self.classes[class.at()].use_rate.value(),
        };
        self.class_order.iter().map(view).collect()
    }

    /// An engine's name.
    pub fn engine_name(&self, engine: EndpointIx) -> EndpointId {
        self.policy.engines[engine.at()].name.clone()
    }

    /// Requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Tokens still to expect of a request, given what has streamed.
    fn expected_rest(&self, entry: &Entry, settings: &Settings) -> f64 {
        let offer = &entry.offer;
        self.estimates.expected_remaining_tokens(
            offer.kind,
            offer.customer,
            entry.delivered,
            offer.max_tokens.0,
            &settings.estimates,
        )
    }

    /// Takes over a request that runs already, as after the former home of the pool was lost.
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
        if is_known || engine.at() >= self.engines.len() || offer.class.at() >= self.classes.len() {
            return;
        }
        self.customers.adopt(offer.customer);
        let tier = self.class_policy(offer.class).tier;
        let mut entry = Entry::new(offer, now, now, 1.0);
        entry.life = RequestLifecycle::adopted(attempt);
        entry.delivered = delivered.0;
        entry.may_have_run = true;
        let victim_cost = entry.offer.is_preemptible.then(|| entry.resume_cost());
        if let Some(cost) = victim_cost {
            self.victims.insert(tier, cost, request);
        }
        entry.running = Some(Running {
            engine,
            since: now,
            uncached_tokens: 0,
            engine_tokens: 0,
            is_aged: false,
            victim_cost,
            heard_at: now,
            charged_ms: 0.0,
        });
        let state = entry.life.state();
        let adopted = &mut self.engines[engine.at()];
        adopted.load.add(now);
        adopted.running.push(request);
        adopted.prefilling += u32::from(state == LifecycleState::Started);
        self.requests.insert(request, entry);
        self.refresh_cost(settings, engine);
    }
}

//! The task of a pool: it receives messages and sends orders. No lock is held across a decision.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::pools::endpoint_link::EndpointLink;
use crate::modules::serve::pools::endpoint_poll;
use crate::modules::serve::pools::handle::{MAX_MESSAGES, PoolHandle, PoolMessage, PoolView};
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderSender;
use bridgevane_adapters::{CacheChange, CacheEvent};
use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, Effect, EndpointIx, Offer, Pool, PoolContext, PoolPolicy, Recorder, Scheduler,
};
use bridgevane_types::{
    AttemptNumber, EndpointId, Outcome, RefusalCode, RequestId, ServiceName, Tier, Tokens,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Starts the task of `service`'s pool and returns its handle.
pub fn spawn(context: Arc<Context>, service: ServiceName, in_force: Arc<InForce>) -> PoolHandle {
    let (messages, receiver) = mpsc::channel(MAX_MESSAGES);
    let settings = Settings::default();
    let policy = PoolPolicy::new(&in_force.document, &service, &context.config.data_centre);
    let seed = context.incarnation.0;
    let max_decisions = context.config.serving.max_decisions;
    let mut actor = PoolActor {
        pool: Pool::new(policy, &settings, seed),
        settings,
        log: Recorder::new(max_decisions),
        effects: Vec::new(),
        orders: HashMap::new(),
        disconnected: Vec::new(),
        service,
        messages: messages.clone(),
        context,
        is_poll_started: false,
    };
    actor.apply_configuration(&in_force);
    tokio::spawn(actor.run(receiver));
    PoolHandle { messages }
}

struct PoolActor {
    context: Arc<Context>,
    service: ServiceName,
    pool: Pool,
    settings: Settings,
    log: Recorder,
    effects: Vec<Effect>,
    orders: HashMap<RequestId, OrderSender>,
    /// Requests whose task or origin no longer receives orders.
    disconnected: Vec<RequestId>,
    messages: mpsc::Sender<PoolMessage>,
    is_poll_started: bool,
}

impl PoolActor {
    async fn run(mut self, mut messages: mpsc::Receiver<PoolMessage>) {
        let mut ticked_at = Instant::now();
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep_until(ticked_at + self.tick_interval()) => {
                    ticked_at = Instant::now();
                    self.decide(|pool, context| pool.tick(context));
                }
            }
        }
    }

    /// Returns the interval of ticks. A pool without requests ticks rarely: each daemon has a pool
    /// for each service, and is the home of few of them.
    fn tick_interval(&self) -> Duration {
        /// The interval of an idle pool, which has nothing to do until an offer wakes it.
        const IDLE_INTERVAL: Duration = Duration::from_secs(1);
        if self.pool.in_flight() == 0 {
            return IDLE_INTERVAL;
        }
        self.context.config.serving.tick_every_ms.as_std()
    }

    /// Runs a decision and executes its effects.
    fn decide(&mut self, decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, Recorder>)) {
        let mut context = PoolContext {
            now: self.context.now(),
            settings: &self.settings,
            effects: &mut self.effects,
            log: &mut self.log,
        };
        decide(&mut self.pool, &mut context);
        self.execute_effects();
    }

    /// Executes effects and ends disconnected requests until no effect is left.
    fn execute_effects(&mut self) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.execute(effect);
            }
            self.end_disconnected();
        }
    }

    fn end_disconnected(&mut self) {
        for request in std::mem::take(&mut self.disconnected) {
            self.orders.remove(&request);
            let mut context = PoolContext {
                now: self.context.now(),
                settings: &self.settings,
                effects: &mut self.effects,
                log: &mut self.log,
            };
            let attempt = AttemptNumber(0);
            self.pool
                .attempt_ended(&mut context, request, attempt, AttemptEnd::CallerGone);
        }
    }

    fn handle(&mut self, message: PoolMessage) {
        match message {
            PoolMessage::Offer(offer, orders) => self.offer(*offer, orders),
            PoolMessage::Report(request, report) => self.report(request, report),
            PoolMessage::Adopt {
                offer,
                engine,
                attempt,
                delivered,
                orders,
            } => self.adopt(&offer, &engine, attempt, delivered, orders),
            PoolMessage::Load {
                engine,
                busy,
                age_ms,
            } => {
                let Some(engine) = self.engine_ix(&engine) else {
                    return;
                };
                self.decide(|pool, context| pool.load_report(context, engine, busy, age_ms));
            }
            PoolMessage::Cache(engine, events) => self.apply_cache_events(&engine, &events),
            PoolMessage::Reconfigure(in_force) => self.apply_configuration(&in_force),
            PoolMessage::OriginLost(request, origin) => self.origin_lost(request, origin),
            PoolMessage::View(reply) => {
                // The operator's request may have ended.
                let _ = reply.send(self.view());
            }
            PoolMessage::Decisions(reply) => {
                // The operator's request may have ended.
                let _ = reply.send(self.log.records().cloned().collect());
            }
            PoolMessage::Explain(request, reply) => {
                // The operator's request may have ended.
                let _ = reply.send(self.log.for_request(request));
            }
        }
    }

    /// Returns the offer with the policy's indexes in place of names.
    fn resolve_names(&self, offer: &NamedOffer) -> Option<Offer> {
        let policy = self.pool.policy();
        Some(Offer {
            request: offer.request,
            class: policy.class_ix(&offer.class)?,
            customer: policy.customer_ix(&offer.customer)?,
            // A kind that this daemon's configuration doesn't have yet is estimated like the first
            // kind.
            kind: policy.kind_ix(&offer.kind).unwrap_or_default(),
            prompt_tokens: offer.prompt_tokens,
            max_tokens: offer.max_tokens,
            blocks: offer.blocks.clone(),
            block_tokens: offer.block_tokens,
            fingerprint: offer.fingerprint,
            is_repeatable: offer.is_repeatable,
            is_preemptible: offer.is_preemptible,
        })
    }

    fn offer(&mut self, offer: NamedOffer, orders: OrderSender) {
        let Some(resolved) = self.resolve_names(&offer) else {
            // This daemon's configuration doesn't have the class or customer yet.
            orders.send(PoolOrder::Refuse {
                code: RefusalCode::NoEngine,
                outcome: Outcome::NotRun,
                retry_after_ms: Some(RETRY_SOON),
            });
            return;
        };
        self.orders.insert(offer.request, orders);
        self.decide(|pool, context| pool.offer(context, resolved));
    }

    fn adopt(
        &mut self,
        offer: &NamedOffer,
        engine: &EndpointId,
        attempt: AttemptNumber,
        delivered: Tokens,
        orders: OrderSender,
    ) {
        let (Some(resolved), Some(engine)) = (self.resolve_names(offer), self.engine_ix(engine))
        else {
            return;
        };
        self.orders.insert(offer.request, orders);
        let now = self.context.now();
        self.pool
            .adopt(now, &self.settings, resolved, engine, attempt, delivered);
    }

    fn report(&mut self, request: RequestId, report: PoolReport) {
        match report {
            PoolReport::FirstToken(attempt) => {
                self.decide(|pool, context| pool.first_token(context, request, attempt));
            }
            PoolReport::Progress(attempt, delivered, gap_ms) => {
                self.decide(|pool, context| {
                    pool.progress(context, request, attempt, delivered, gap_ms);
                });
            }
            PoolReport::Finished(attempt, end) => {
                self.decide(|pool, context| pool.attempt_ended(context, request, attempt, end));
                if matches!(end, AttemptEnd::Done(_) | AttemptEnd::CallerGone) {
                    self.orders.remove(&request);
                }
            }
        }
    }

    fn origin_lost(&mut self, request: RequestId, origin: u64) {
        let is_from_origin = self
            .orders
            .get(&request)
            .is_some_and(|o| o.origin() == origin);
        if is_from_origin {
            self.disconnected.push(request);
            self.end_disconnected();
            self.execute_effects();
        }
    }

    fn engine_ix(&self, name: &EndpointId) -> Option<EndpointIx> {
        let engines = &self.pool.policy().engines;
        let at = engines.iter().position(|engine| engine.name == *name)?;
        Some(EndpointIx(at as u32))
    }

    fn apply_cache_events(&mut self, engine: &EndpointId, events: &[CacheEvent]) {
        let Some(engine) = self.engine_ix(engine) else {
            return;
        };
        let now = self.context.now();
        for event in events {
            match event.change {
                CacheChange::Stored => {
                    self.pool
                        .cache_stored(now, &self.settings, engine, event.block);
                }
                CacheChange::Evicted => self.pool.cache_evicted(engine, event.block),
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                request,
                attempt,
                engine,
                priority,
                cached_tokens,
                ..
            } => {
                let name = self.pool.engine_name(engine);
                let link = self.context.pools.link(&self.service, &name);
                self.dispatch(request, attempt, link, priority, cached_tokens);
            }
            Effect::Cancel {
                request,
                attempt,
                cause,
                ..
            } => self.send_order(request, PoolOrder::Cancel { attempt, cause }),
            Effect::Refuse {
                request,
                code,
                outcome,
                retry_after_ms,
            } => {
                let refusal = PoolOrder::Refuse {
                    code,
                    outcome,
                    retry_after_ms,
                };
                self.send_order(request, refusal);
                self.orders.remove(&request);
            }
        }
    }

    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        link: Option<Arc<EndpointLink>>,
        priority: Tier,
        cached_tokens: Tokens,
    ) {
        match link {
            Some(engine) => {
                let order = PoolOrder::Dispatch {
                    attempt,
                    engine,
                    priority,
                    cached_tokens,
                };
                self.send_order(request, order);
            }
            // A new configuration has just removed the engine: nothing was sent.
            None => {
                let end = AttemptEnd::NotReached;
                self.decide(|pool, context| pool.attempt_ended(context, request, attempt, end));
            }
        }
    }

    fn send_order(&mut self, request: RequestId, order: PoolOrder) {
        let sent = self.orders.get(&request).map(|orders| orders.send(order));
        if sent == Some(false) {
            self.disconnected.push(request);
        }
    }

    fn apply_configuration(&mut self, in_force: &InForce) {
        let mut policy = self.pool.policy().clone();
        let data_centre = &self.context.config.data_centre;
        policy.update(&in_force.document, &self.service, data_centre);
        self.pool.set_policy(policy, &self.settings);
        if !self.is_poll_started {
            self.is_poll_started = true;
            let poll = endpoint_poll::run(
                self.context.clone(),
                self.service.clone(),
                self.messages.clone(),
            );
            tokio::spawn(poll);
        }
    }

    fn view(&self) -> PoolView {
        PoolView {
            requests: self.pool.request_views(self.context.now(), &self.settings),
            engines: self.pool.engine_views(),
            classes: self.pool.class_views(),
        }
    }
}

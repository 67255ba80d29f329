//! Rollouts of model versions: one daemon of a data centre carries each out, under a lease.
//!
//! What is to be done stands in the configuration, how far it is in the platform's service:
//! the state is stored before its orders are given, so that another daemon carries it on.
//! The holder looks at its own deadline right before each order.

use crate::modules::serve::context::Context;
use crate::modules::serve::operators::fan_out;
use crate::modules::serve::operators::query_language::Table;
use crate::modules::serve::operators::row::Row;
use crate::modules::serve::operators::rows;
use crate::modules::serve::rollouts::held::Held;
use bridgevane_adapters::{
    FencedOrder, KeyValue, KvCas, KvError, LeaseId, ModelEngine, Order, OrderReply, WeightStore,
};
use bridgevane_config::{RolloutConfig, ServiceConfig};
use bridgevane_coordination::{
    HeldLease, Rollout, RolloutEffect, RolloutObservation, RolloutPlan, RolloutStage,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, FenceToken, ModelName, ServiceName, boot_time};
use derive_more::{Display, Error, From};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How often a rollout is looked at. Not measured, chosen because engines take seconds to load.
const STEP_EVERY: Duration = Duration::from_millis(500);
/// How long a lease lasts. Chosen because it is three times the longest order.
const LEASE_TTL: DurationMs = DurationMs(6_000);
/// The longest that an order may be on its way. From the adapters' time limit of a call.
const ORDER_MS: DurationMs = DurationMs(2_000);
/// Pause after a failure, so that the platform isn't asked without end.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_000);
/// The window of the burn rate that holds a rollout back. Chosen because the shortest window shows
/// a bad version soonest.
const BURN_WINDOW: DurationMs = rows::BURN_WINDOWS[0];

/// Why a rollout can't go on now.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum RolloutError {
    /// The platform's service.
    #[display("{_0}")]
    Platform(KvError),
    /// Another daemon holds the lease.
    #[display("another daemon holds the lease")]
    HeldElsewhere,
    /// The lease may have ended.
    #[display("the lease may have ended")]
    LeaseOver,
    /// What is stored can't be read.
    #[display("the stored state can't be read")]
    Malformed,
}

/// Carries rollouts out until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(STEP_EVERY).await;
        let Some(in_force) = context.in_force.load() else {
            continue;
        };
        for (model, config) in &in_force.document.rollout {
            let served = in_force.document.service_of_model(model.as_str());
            let Some((service, service_config)) = served else {
                continue;
            };
            let job = Job {
                context: &context,
                model,
                config,
                service,
                service_config,
            };
            if !job.is_mine() {
                context.rollouts.lock().remove(model);
                continue;
            }
            if let Err(error) = job.advance().await {
                context.rollouts.lock().remove(model);
                event!(Event::RolloutStopped, model = model, cause = error);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// One look at one rollout.
struct Job<'a> {
    context: &'a Arc<Context>,
    model: &'a ModelName,
    config: &'a RolloutConfig,
    service: &'a ServiceName,
    service_config: &'a ServiceConfig,
}

impl Job<'_> {
    fn key(&self, what: &str) -> String {
        let data_centre = &self.context.config.data_centre;
        format!("bridgevane/rollout-{what}/{data_centre}/{}", self.model)
    }

    fn is_mine(&self) -> bool {
        let key = format!("rollout/{}", self.model);
        !self.context.leaving.is_leaving() && self.context.members.remote_home(&key).is_none()
    }

    async fn advance(&self) -> Result<(), RolloutError> {
        let held = self.context.rollouts.lock().get(self.model).cloned();
        let mut held = match held {
            Some(held) if self.is_same_plan(&held.rollout) => held,
            _ => self.begin().await?,
        };
        if held.rollout.is_over() {
            self.keep(held);
            return Ok(());
        }
        self.renew(&mut held).await?;
        held.burn = self.burn().await;
        let observation = RolloutObservation {
            now: boot_time(),
            on_new: held.on_new.clone(),
            on_old: held.on_old.clone(),
            burn: held.burn,
        };
        let next = held.rollout.step(&observation, held.watched_since);
        if next != held.rollout {
            self.store(&mut held, next).await?;
        }
        let result = self.give_orders(&mut held).await;
        self.keep(held);
        result
    }

    fn keep(&self, held: Held) {
        self.context
            .rollouts
            .lock()
            .insert(self.model.clone(), held);
    }

    fn plan(&self) -> RolloutPlan {
        let here = &self.context.config.data_centre;
        let engines = self.service_config.engine.iter();
        RolloutPlan {
            model: self.model.clone(),
            from_version: self.config.from_version,
            to_version: self.config.to_version,
            engines: engines
                .filter(|(_, engine)| engine.data_centre == *here)
                .map(|(name, _)| name.clone())
                .collect(),
            batch: self.config.batch,
            watch_ms: self.config.watch_ms,
            hold_burn: self.config.hold_burn,
            rollback_burn: self.config.rollback_burn,
        }
    }

    fn is_same_plan(&self, rollout: &Rollout) -> bool {
        rollout.plan == self.plan()
    }

    /// Reads how far the rollout is, and takes the lease if something is left to do.
    async fn begin(&self) -> Result<Held, RolloutError> {
        let platform = &self.context.platform;
        self.context.metrics.platform_call("get");
        let stored = platform.get(&self.key("state")).await?;
        let stored_at = stored.as_ref().map(|value| value.revision);
        let before: Option<Rollout> = match &stored {
            Some(value) => {
                Some(serde_json::from_str(&value.text).map_err(|_| RolloutError::Malformed)?)
            }
            None => None,
        };
        let generation = before.as_ref().map_or(0, |before| before.generation);
        let rollout = match before {
            Some(before) if self.is_same_plan(&before) => before,
            _ => Rollout::new(self.plan(), generation + 1),
        };
        let mut held = Held {
            lease_id: LeaseId(0),
            lease: HeldLease::ended(),
            rollout,
            stored_at,
            watched_since: boot_time(),
            on_new: BTreeSet::new(),
            on_old: BTreeSet::new(),
            tickets: BTreeMap::new(),
            burn: 0.0,
        };
        // What is over needs no lease: a data centre that restarts must not ask for many.
        if !held.rollout.is_over() {
            self.take_lease(&mut held).await?;
        }
        Ok(held)
    }

    async fn take_lease(&self, held: &mut Held) -> Result<(), RolloutError> {
        let platform = &self.context.platform;
        let asked_at = boot_time();
        self.context.metrics.platform_call("lease");
        let granted = platform.grant_lease(LEASE_TTL).await?;
        let cas = KvCas {
            key: self.key("holder"),
            expected: None,
            text: Some(self.context.config.vm.to_string()),
            lease: Some(granted.id),
        };
        self.context.metrics.platform_call("cas");
        let taken = platform
            .compare_and_swap(cas)
            .await
            .map_err(|error| match error {
                KvError::Conflict => RolloutError::HeldElsewhere,
                other => RolloutError::Platform(other),
            })?;
        held.lease_id = granted.id;
        held.lease = HeldLease::granted(FenceToken(taken.0), asked_at, granted.ttl_ms);
        Ok(())
    }

    async fn renew(&self, held: &mut Held) -> Result<(), RolloutError> {
        let now = boot_time();
        if !held.lease.is_renewal_due(now) {
            return Ok(());
        }
        self.context.metrics.platform_call("lease");
        match self.context.platform.renew_lease(held.lease_id).await {
            Ok(_) => held.lease.renewed(now),
            Err(KvError::LeaseGone) => return Err(RolloutError::LeaseOver),
            // It lasts a while longer; the deadline is looked at before each order.
            Err(_) => {}
        }
        Ok(())
    }

    async fn store(&self, held: &mut Held, next: Rollout) -> Result<(), RolloutError> {
        if !held.lease.may_act(boot_time(), ORDER_MS) {
            return Err(RolloutError::LeaseOver);
        }
        let text = serde_json::to_string(&next).map_err(|_| RolloutError::Malformed)?;
        let cas = KvCas {
            key: self.key("state"),
            expected: held.stored_at,
            text: Some(text),
            lease: None,
        };
        self.context.metrics.platform_call("cas");
        // When the answer is lost, the state is read anew before anything else is done.
        let revision = self.context.platform.compare_and_swap(cas).await?;
        if next.stage != held.rollout.stage {
            event!(
                Event::RolloutStage,
                model = self.model,
                stage = next.stage,
                started = next.started
            );
            if next.stage == RolloutStage::Watching {
                held.watched_since = boot_time();
            }
        }
        held.stored_at = Some(revision);
        held.rollout = next;
        Ok(())
    }

    /// The highest burn rate of all classes, over the whole data centre.
    async fn burn(&self) -> f64 {
        let answer = fan_out::ask_all(self.context, "show burn").await;
        let rows = rows::merge(self.context, Table::Burn, answer.rows);
        let is_recent =
            |row: &&Row| row.get("window_ms").and_then(Value::as_u64) == Some(BURN_WINDOW.0);
        let burns = rows
            .iter()
            .filter(is_recent)
            .filter_map(|row| row.get("burn")?.as_f64());
        burns.fold(0.0, f64::max)
    }

    /// Gives the orders that aren't confirmed yet.
    async fn give_orders(&self, held: &mut Held) -> Result<(), RolloutError> {
        let checks_fence = self.service_config.checks_fence;
        if !checks_fence && !held.lease.is_past_earlier_orders(boot_time(), ORDER_MS) {
            // An earlier holder's last order may still be on its way.
            return Ok(());
        }
        for order in held.rollout.orders() {
            let is_new = order.version == self.config.to_version;
            let confirmed = if is_new { &held.on_new } else { &held.on_old };
            if confirmed.contains(&order.engine) {
                continue;
            }
            if self.give(held, &order).await? {
                held.on_new.remove(&order.engine);
                held.on_old.remove(&order.engine);
                let confirmed = if is_new {
                    &mut held.on_new
                } else {
                    &mut held.on_old
                };
                confirmed.insert(order.engine);
            }
        }
        Ok(())
    }

    /// Gives one order; true when the engine confirmed it.
    async fn give(&self, held: &mut Held, order: &RolloutEffect) -> Result<bool, RolloutError> {
        let Some(ticket) = self.ticket(held, order.version).await else {
            return Ok(false);
        };
        let Some(link) = self.context.pools.link(self.service, &order.engine) else {
            return Ok(false);
        };
        if !held.lease.may_act(boot_time(), ORDER_MS) {
            return Err(RolloutError::LeaseOver);
        }
        let fenced = FencedOrder {
            fence: held.lease.fence(),
            generation: order.generation,
            order: Order::LoadModel {
                model: self.model.clone(),
                model_version: order.version,
                ticket,
            },
        };
        match link.model.order(fenced).await {
            Ok(OrderReply::Done) => Ok(true),
            // A later holder has been there: this one must not go on.
            Ok(OrderReply::Fenced) => Err(RolloutError::LeaseOver),
            Err(_) => Ok(false),
        }
    }

    /// A ticket of the rate-limited weight store; none: it has to be asked for again later.
    async fn ticket(&self, held: &mut Held, version: u64) -> Option<String> {
        if let Some(ticket) = held.tickets.get(&version) {
            return Some(ticket.clone());
        }
        self.context.metrics.platform_call("ticket");
        let ticket = self
            .context
            .platform
            .ticket(self.model, version)
            .await
            // Without a ticket nothing is ordered; the next step asks again.
            .ok()?;
        held.tickets.insert(version, ticket.clone());
        Some(ticket)
    }
}

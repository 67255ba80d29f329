//! Runs rollouts of model versions: one daemon of a data centre runs each of them, under a lease.
//!
//! The configuration holds the plan, the platform's service the progress: the state is stored
//! before its orders are sent, so that another daemon can continue the rollout. The holder checks
//! its lease's deadline right before each order.

use crate::modules::serve::context::Context;
use crate::modules::serve::operators::fan_out;
use crate::modules::serve::operators::query_language::Table;
use crate::modules::serve::operators::row::Row;
use crate::modules::serve::operators::rows;
use crate::modules::serve::rollouts::held_rollouts::HeldRollout;
use bridgevane_adapters::{
    FencedOrder, KeyValue, KvCas, KvError, LeaseId, ModelEngine, Order, OrderReply, WeightStore,
};
use bridgevane_config::{RolloutConfig, ServiceConfig};
use bridgevane_coordination::{
    HeldLease, Rollout, RolloutObservation, RolloutOrder, RolloutPlan, RolloutStage,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, FenceToken, ModelName, ServiceName, boot_time};
use derive_more::{Display, Error, From};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The interval of a rollout's steps. Engines take seconds to load a version.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// The duration of a lease: three times [`ORDER_MS`].
const LEASE_TTL: DurationMs = DurationMs(6_000);
/// The longest time for which an order may be in transit: the adapters' time limit of a call.
const ORDER_MS: DurationMs = DurationMs(2_000);
/// The pause after a failure, so that the platform isn't called continuously.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_000);
/// The window of the burn rate that can hold a rollout. The shortest window shows a bad version
/// soonest.
const BURN_WINDOW: DurationMs = rows::BURN_WINDOWS[0];

/// The reason why a rollout can't continue now.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum RolloutError {
    /// A call to the platform failed.
    #[display("{_0}")]
    Platform(KvError),
    /// Another daemon holds the lease.
    #[display("another daemon holds the lease")]
    HeldByOther,
    /// The lease may have expired, or a newer holder has sent an order.
    #[display("the lease may have ended")]
    LeaseExpired,
    /// The stored state can't be read or written.
    #[display("the stored state can't be read")]
    Malformed,
}

/// Runs the rollouts whose home is this daemon, until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let Some(in_force) = context.in_force.load() else {
            continue;
        };
        for (model, config) in &in_force.document.rollout {
            let served = in_force.document.service_of_model(model.as_str());
            let Some((service, service_config)) = served else {
                continue;
            };
            let step = RolloutStep {
                context: &context,
                model,
                config,
                service,
                service_config,
            };
            if !step.is_home() {
                context.rollouts.lock().remove(model);
                continue;
            }
            if let Err(error) = step.advance().await {
                context.rollouts.lock().remove(model);
                event!(Event::RolloutStopped, model = model, cause = error);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// One step of one rollout.
struct RolloutStep<'a> {
    context: &'a Arc<Context>,
    model: &'a ModelName,
    config: &'a RolloutConfig,
    service: &'a ServiceName,
    service_config: &'a ServiceConfig,
}

impl RolloutStep<'_> {
    fn key(&self, what: &str) -> String {
        let data_centre = &self.context.config.data_centre;
        format!("bridgevane/rollout-{what}/{data_centre}/{}", self.model)
    }

    fn is_home(&self) -> bool {
        let key = format!("rollout/{}", self.model);
        !self.context.leaving.is_leaving() && self.context.members.remote_home(&key).is_none()
    }

    async fn advance(&self) -> Result<(), RolloutError> {
        let held = self.context.rollouts.lock().get(self.model).cloned();
        let mut held = match held {
            Some(held) if self.is_same_plan(&held.rollout) => held,
            _ => self.load().await?,
        };
        if held.rollout.is_over() {
            self.keep_in_memory(held);
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
        let next = held
            .rollout
            .after_observation(&observation, held.watched_since);
        if next != held.rollout {
            self.store(&mut held, next).await?;
        }
        let result = self.send_orders(&mut held).await;
        self.keep_in_memory(held);
        result
    }

    fn keep_in_memory(&self, held: HeldRollout) {
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

    /// Reads the stored state, and acquires the lease unless the rollout is over.
    async fn load(&self) -> Result<HeldRollout, RolloutError> {
        let platform = &self.context.platform;
        self.context.metrics.count_platform_call("get");
        let stored = platform.get(&self.key("state")).await?;
        let stored_revision = stored.as_ref().map(|value| value.revision);
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
        let mut held = HeldRollout {
            lease_id: LeaseId(0),
            lease: HeldLease::expired(),
            rollout,
            stored_revision,
            watched_since: boot_time(),
            on_new: BTreeSet::new(),
            on_old: BTreeSet::new(),
            tickets: BTreeMap::new(),
            burn: 0.0,
        };
        // A finished rollout needs no lease: a restarting data centre must not request many.
        if !held.rollout.is_over() {
            self.acquire_lease(&mut held).await?;
        }
        Ok(held)
    }

    async fn acquire_lease(&self, held: &mut HeldRollout) -> Result<(), RolloutError> {
        let platform = &self.context.platform;
        let requested_at = boot_time();
        self.context.metrics.count_platform_call("lease");
        let granted = platform.grant_lease(LEASE_TTL).await?;
        let cas = KvCas {
            key: self.key("holder"),
            expected: None,
            text: Some(self.context.config.vm.to_string()),
            lease: Some(granted.id),
        };
        self.context.metrics.count_platform_call("cas");
        let revision = platform
            .compare_and_swap(cas)
            .await
            .map_err(|error| match error {
                KvError::Conflict => RolloutError::HeldByOther,
                other => RolloutError::Platform(other),
            })?;
        held.lease_id = granted.id;
        held.lease = HeldLease::granted(FenceToken(revision.0), requested_at, granted.ttl_ms);
        Ok(())
    }

    async fn renew(&self, held: &mut HeldRollout) -> Result<(), RolloutError> {
        let now = boot_time();
        if !held.lease.is_renewal_due(now) {
            return Ok(());
        }
        self.context.metrics.count_platform_call("lease");
        match self.context.platform.renew_lease(held.lease_id).await {
            Ok(_) => held.lease.record_renewal(now),
            Err(KvError::LeaseGone) => return Err(RolloutError::LeaseExpired),
            // The lease is still valid for a time; the deadline is checked before each order.
            Err(_) => {}
        }
        Ok(())
    }

    async fn store(&self, held: &mut HeldRollout, next: Rollout) -> Result<(), RolloutError> {
        if !held.lease.may_act(boot_time(), ORDER_MS) {
            return Err(RolloutError::LeaseExpired);
        }
        let text = serde_json::to_string(&next).map_err(|_| RolloutError::Malformed)?;
        let cas = KvCas {
            key: self.key("state"),
            expected: held.stored_revision,
            text: Some(text),
            lease: None,
        };
        self.context.metrics.count_platform_call("cas");
        // If the answer is lost, the step fails and the next one reads the stored state first.
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
        held.stored_revision = Some(revision);
        held.rollout = next;
        Ok(())
    }

    /// Returns the highest burn rate of all classes in the data centre.
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

    /// Sends the orders that engines haven't confirmed yet.
    async fn send_orders(&self, held: &mut HeldRollout) -> Result<(), RolloutError> {
        let checks_fence = self.service_config.checks_fence;
        if !checks_fence && !held.lease.is_past_earlier_orders(boot_time(), ORDER_MS) {
            // An order of the previous holder may still be in transit.
            return Ok(());
        }
        for order in held.rollout.orders() {
            let is_new = order.version == self.config.to_version;
            let confirmed = if is_new { &held.on_new } else { &held.on_old };
            if confirmed.contains(&order.engine) {
                continue;
            }
            if self.send_order(held, &order).await? {
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

    /// Sends one order; returns whether the engine confirmed it.
    async fn send_order(
        &self,
        held: &mut HeldRollout,
        order: &RolloutOrder,
    ) -> Result<bool, RolloutError> {
        let Some(ticket) = self.ticket(held, order.version).await else {
            return Ok(false);
        };
        let Some(link) = self.context.pools.link(self.service, &order.engine) else {
            return Ok(false);
        };
        if !held.lease.may_act(boot_time(), ORDER_MS) {
            return Err(RolloutError::LeaseExpired);
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
            // The engine has an order of a newer holder: this daemon must not continue.
            Ok(OrderReply::Fenced) => Err(RolloutError::LeaseExpired),
            Err(_) => Ok(false),
        }
    }

    /// Returns a ticket of the rate-limited weight store; `None` if the store grants none now.
    async fn ticket(&self, held: &mut HeldRollout, version: u64) -> Option<String> {
        if let Some(ticket) = held.tickets.get(&version) {
            return Some(ticket.clone());
        }
        self.context.metrics.count_platform_call("ticket");
        let ticket = self
            .context
            .platform
            .ticket(self.model, version)
            .await
            // Without a ticket no order is sent; the next step requests one again.
            .ok()?;
        held.tickets.insert(version, ticket.clone());
        Some(ticket)
    }
}

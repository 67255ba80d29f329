//! Engine orders: which order for engines is placed next, so that the planned engines run.
//!
//! Inputs: the plan, the engines that run, the orders of this tenure with their times and outcomes,
//! and the operator's limits.
//!
//! Rules:
//! 1. Permanent engines are released only where the reclaimable ones that replace them already run:
//!    no order lowers the capacity. While the fleet has no work at all, they are released at once:
//!    there are no requests to serve, and a starting fleet would pay for both kinds in the
//!    meantime. Before the need is settled no permanent engines are ordered: more of them may run
//!    than are seen, and any number could be too low.
//! 2. The platform's limit holds for both kinds together: reclaimable engines are ordered up to
//!    what the permanent ones leave.
//! 3. An order whose engines don't run some time after they should have started is placed again: it
//!    may be lost, or its engines were reclaimed. One that the platform couldn't fill is retried
//!    after a pause, and its data centre counts as having no reclaimable engines until then.
//! 4. A new holder knows no orders and places all of them once.
//!
//! Tests: `duties_engines.rs`.

use super::engine_plan::{EngineCounts, EngineKind, EngineScaling, EnginesByDataCentre};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// How long after an engine should have started its order is placed again: three heartbeats of an
/// engine, whose record shows that it runs.
const REORDER_MARGIN: DurationMs = DurationMs(3_600);
/// The pause after an order that the platform couldn't fill. Reclaimed engines are unavailable for
/// some ten seconds, and a call costs little.
const UNAVAILABLE_PAUSE: DurationMs = DurationMs(2_000);

/// The data centre and kind of ordered engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The kind of the engines.
    pub kind: EngineKind,
}

/// An order for a number of engines of one kind in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The data centre and kind.
    pub key: OrderKey,
    /// The number of engines.
    pub count: u32,
}

/// The outcome of an order. The text is the outcome in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted it.
    #[display("taken")]
    Accepted,
    /// No engines of the kind are available at present.
    #[display("unavailable")]
    Unavailable,
}

/// The inputs of the next order.
#[derive(Clone, Copy, Debug)]
pub struct OrderInputs<'a> {
    /// The current time.
    pub now: TimeMs,
    /// The engines that should run.
    pub planned: &'a EnginesByDataCentre,
    /// The engines that run.
    pub running: &'a EnginesByDataCentre,
    /// The operator's limits.
    pub scaling: &'a EngineScaling,
    /// Whether the need behind the plan is settled.
    pub is_settled: bool,
    /// Whether the fleet has no work.
    pub is_idle: bool,
}

#[derive(Clone, Copy, Debug)]
struct AnsweredOrder {
    count: u32,
    at: TimeMs,
    outcome: OrderOutcome,
}

/// The orders of one service in one tenure.
#[derive(Debug, Default)]
pub struct OrderBook {
    answered: BTreeMap<OrderKey, AnsweredOrder>,
}

impl OrderBook {
    /// Records the platform's response to an order.
    pub fn on_answered(&mut self, now: TimeMs, order: &EngineOrder, outcome: OrderOutcome) {
        let answered = AnsweredOrder {
            count: order.count,
            at: now,
            outcome,
        };
        self.answered.insert(order.key.clone(), answered);
    }

    /// Returns the data centres that count as having no reclaimable engines: the platform couldn't
    /// fill the last order for them.
    pub fn without_reclaimable(&self) -> BTreeSet<DataCentreId> {
        let unavailable = self
            .answered
            .iter()
            .filter(|(key, _)| key.kind == EngineKind::Reclaimable)
            .filter(|(_, answered)| answered.outcome == OrderOutcome::Unavailable);
        unavailable
            .map(|(key, _)| key.data_centre.clone())
            .collect()
    }

    /// Returns the next order; `None` if no order is due.
    pub fn next(&self, inputs: &OrderInputs<'_>) -> Option<EngineOrder> {
        let orders = inputs.planned.iter().flat_map(|(data_centre, planned)| {
            let running = inputs.running.get(data_centre).copied();
            self.wanted_orders(inputs, data_centre, *planned, running.unwrap_or_default())
        });
        let mut due = orders.filter(|wanted| self.is_due(inputs, wanted));
        due.next().map(|wanted| wanted.order)
    }

    /// Returns the orders that should be in effect in a data centre now, in the order of placing.
    fn wanted_orders(
        &self,
        inputs: &OrderInputs<'_>,
        data_centre: &DataCentreId,
        planned: EngineCounts,
        running: EngineCounts,
    ) -> [WantedOrder; 2] {
        let key = |kind| OrderKey {
            data_centre: data_centre.clone(),
            kind,
        };
        let permanent_now = self.ordered(&key(EngineKind::Permanent), running.permanent);
        let replaced = permanent_now.saturating_sub(planned.permanent);
        let available = inputs.scaling.max.saturating_sub(permanent_now);
        let reclaimable = planned.reclaimable.min(available);
        // Reclaimable engines replace permanent ones only as far as they run.
        let is_replaced = inputs.is_idle || running.reclaimable >= replaced.min(reclaimable);
        let may_release = inputs.is_settled && is_replaced;
        let permanent = if replaced > 0 && !may_release {
            permanent_now
        } else {
            planned.permanent
        };
        let wanted = |kind, count| WantedOrder {
            running: running.count_of(kind),
            order: EngineOrder {
                key: key(kind),
                count,
            },
        };
        [
            wanted(EngineKind::Reclaimable, reclaimable),
            wanted(EngineKind::Permanent, permanent),
        ]
    }

    /// Returns the number of engines last ordered; without an order, the number that run.
    fn ordered(&self, key: &OrderKey, running: u32) -> u32 {
        self.answered
            .get(key)
            .map_or(running, |answered| answered.count)
    }

    fn is_due(&self, inputs: &OrderInputs<'_>, wanted: &WantedOrder) -> bool {
        let now = inputs.now;
        if wanted.order.key.kind == EngineKind::Permanent && !inputs.is_settled {
            return false;
        }
        let Some(answered) = self.answered.get(&wanted.order.key) else {
            // Running engines that match the plan need no order before the need is settled.
            return inputs.is_settled || wanted.order.count != wanted.running;
        };
        if answered.outcome == OrderOutcome::Unavailable {
            return now >= answered.at + UNAVAILABLE_PAUSE;
        }
        let should_run_at = answered.at + inputs.scaling.boot_ms + REORDER_MARGIN;
        let is_overdue = wanted.running < wanted.order.count && now >= should_run_at;
        answered.count != wanted.order.count || is_overdue
    }
}

/// An order that should be in effect, and the number of engines of its kind that run.
#[derive(Clone, Debug)]
struct WantedOrder {
    running: u32,
    order: EngineOrder,
}

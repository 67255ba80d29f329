//! Engine orders: which order for engines is given next, so that what runs becomes what is planned.
//!
//! Inputs: the plan, the engines that run, the orders of this tenure with their moments and
//! outcomes, and the operator's limits.
//!
//! Rules:
//! 1. Permanent engines are given up only where the reclaimable ones that take their place run
//!    already: no order lowers what serves. While the fleet has no work at all, they are given up at
//!    once: there is nobody to serve, and a fleet that starts pays for them twice meanwhile (0.03 of
//!    a day's worth at the users' site). Before the need is settled nothing is ordered of the
//!    permanent engines: there may be more of them than are seen, and any number could be fewer.
//! 2. The platform's limit holds for both kinds together: reclaimable engines are ordered up to what
//!    the permanent ones leave.
//! 3. An order that hasn't brought its engines some time after they should have started is given
//!    again: it may be lost, or its engines were taken back. One that the platform couldn't fill is
//!    tried again after a pause, and its data centre counts as having none until then.
//! 4. A new holder knows no orders and gives all of them once.
//!
//! Tests: `duties_engines.rs`.

use super::engine_plan::{EngineCounts, EngineKind, EngineScaling, EnginesByDataCentre};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// How long after an engine should have started its order is given again. Not measured, chosen as
/// three heartbeats of an engine: its record shows that it runs.
const REPEAT_SLACK: DurationMs = DurationMs(3_600);
/// The pause after an order that the platform couldn't fill. Not measured, chosen because engines
/// that are taken back are so for some ten seconds, and a call costs little.
const UNAVAILABLE_PAUSE: DurationMs = DurationMs(2_000);

/// Where engines of which kind are ordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Their kind.
    pub kind: EngineKind,
}

/// One order: so many engines of a kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Where, and of which kind.
    pub key: OrderKey,
    /// How many.
    pub count: u32,
}

/// What became of an order. The text is the outcome in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform took it.
    #[display("taken")]
    Taken,
    /// There are none of the kind at present.
    #[display("unavailable")]
    Unavailable,
}

/// What the next order is made of.
#[derive(Clone, Copy, Debug)]
pub struct OrderInputs<'a> {
    /// Now.
    pub now: TimeMs,
    /// The engines that should run.
    pub planned: &'a EnginesByDataCentre,
    /// Those that do.
    pub running: &'a EnginesByDataCentre,
    /// The operator's limits.
    pub scaling: &'a EngineScaling,
    /// Whether the need is settled that the plan is made for.
    pub is_settled: bool,
    /// Whether the fleet has no work.
    pub is_idle: bool,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    at: TimeMs,
    outcome: OrderOutcome,
}

/// The orders of one service in one tenure.
#[derive(Debug, Default)]
pub struct OrderBook {
    given: BTreeMap<OrderKey, Given>,
}

impl OrderBook {
    /// An order was answered.
    pub fn on_answered(&mut self, now: TimeMs, order: &EngineOrder, outcome: OrderOutcome) {
        let given = Given {
            count: order.count,
            at: now,
            outcome,
        };
        self.given.insert(order.key.clone(), given);
    }

    /// Data centres that had no reclaimable engines to give when they were last asked.
    pub fn without_reclaimable(&self) -> BTreeSet<DataCentreId> {
        let unavailable = self
            .given
            .iter()
            .filter(|(_, given)| given.outcome == OrderOutcome::Unavailable);
        unavailable
            .map(|(key, _)| key.data_centre.clone())
            .collect()
    }

    /// The next order; none: nothing is to be ordered now.
    pub fn next(&self, inputs: &OrderInputs<'_>) -> Option<EngineOrder> {
        let orders = inputs.planned.iter().flat_map(|(data_centre, planned)| {
            let running = inputs.running.get(data_centre).copied();
            self.orders_of(inputs, data_centre, *planned, running.unwrap_or_default())
        });
        let mut due = orders.filter(|wanted| self.is_due(inputs, wanted));
        due.next().map(|wanted| wanted.order)
    }

    /// What a data centre should have ordered now, in the order of giving.
    fn orders_of(
        &self,
        inputs: &OrderInputs<'_>,
        data_centre: &DataCentreId,
        planned: EngineCounts,
        running: EngineCounts,
    ) -> [Wanted; 2] {
        let key = |kind| OrderKey {
            data_centre: data_centre.clone(),
            kind,
        };
        let permanent_now = self.ordered(&key(EngineKind::Permanent), running.permanent);
        let replaced = permanent_now.saturating_sub(planned.permanent);
        let room = inputs.scaling.max.saturating_sub(permanent_now);
        let reclaimable = planned.reclaimable.min(room);
        // They take the place of the permanent ones as far as they run.
        let is_replaced = inputs.is_idle || running.reclaimable >= replaced.min(reclaimable);
        let may_give_up = inputs.is_settled && is_replaced;
        let permanent = if replaced > 0 && !may_give_up {
            permanent_now
        } else {
            planned.permanent
        };
        let wanted = |kind, count| Wanted {
            running: running.of(kind),
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

    /// The engines that were last ordered; those that run where none were.
    fn ordered(&self, key: &OrderKey, running: u32) -> u32 {
        self.given.get(key).map_or(running, |given| given.count)
    }

    fn is_due(&self, inputs: &OrderInputs<'_>, wanted: &Wanted) -> bool {
        let now = inputs.now;
        if wanted.order.key.kind == EngineKind::Permanent && !inputs.is_settled {
            return false;
        }
        let Some(given) = self.given.get(&wanted.order.key) else {
            // What runs as it is needs no order before the need is settled.
            return inputs.is_settled || wanted.order.count != wanted.running;
        };
        if given.outcome == OrderOutcome::Unavailable {
            return now >= given.at + UNAVAILABLE_PAUSE;
        }
        let should_run_at = given.at + inputs.scaling.boot_ms + REPEAT_SLACK;
        let is_overdue = wanted.running < wanted.order.count && now >= should_run_at;
        given.count != wanted.order.count || is_overdue
    }
}

/// An order that should stand, and what runs of its kind.
#[derive(Clone, Debug)]
struct Wanted {
    running: u32,
    order: EngineOrder,
}

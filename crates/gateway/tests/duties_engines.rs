//! Tests of engines: how many are needed, planned and ordered.

use bridgevane_gateway::decisions::duties::engine_need::{NeedEstimate, NeedEstimator};
use bridgevane_gateway::decisions::duties::engine_orders::{
    EngineOrder, OrderBook, OrderInputs, OrderKey, OrderOutcome,
};
use bridgevane_gateway::decisions::duties::engine_plan::{
    EngineCounts, EngineKind, EngineScaling, EnginesByDataCentre, PlanInputs, plan,
};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::collections::BTreeSet;

const START: TimeMs = TimeMs(100_000);
const DATA_CENTRES: [&str; 3] = ["curepipe", "port-louis", "rose-hill"];

/// Returns typical limits: 1 to `max` engines a data centre, 4 s to start, and the given price of
/// reclaimable ones.
fn scaling(max: u32, reclaimable_price: Option<f64>) -> EngineScaling {
    EngineScaling {
        min: 1,
        max,
        boot_ms: DurationMs(4_000),
        reclaimable_price,
        price_by_data_centre: DATA_CENTRES.map(|name| (name.into(), 1.0)).into(),
    }
}

fn all_data_centres() -> BTreeSet<DataCentreId> {
    DATA_CENTRES.map(DataCentreId::from).into()
}

fn in_every_data_centre(permanent: u32, reclaimable: u32) -> EnginesByDataCentre {
    let counts = EngineCounts {
        permanent,
        reclaimable,
    };
    DATA_CENTRES.map(|name| (name.into(), counts)).into()
}

fn plan_for(needed: u32, scaling: &EngineScaling, without: &[&str]) -> EnginesByDataCentre {
    plan(&PlanInputs {
        needed,
        scaling,
        data_centres: &all_data_centres(),
        without_reclaimable: &without
            .iter()
            .map(|name| DataCentreId::from(*name))
            .collect(),
    })
}

/// The platform may reclaim all engines of one data centre at once.
#[test]
fn reclaimable_engines_cover_the_need_after_the_loss_of_one_data_centre() {
    let scaling = scaling(40, Some(0.15));
    for needed in 1..=60 {
        let planned = plan_for(needed, &scaling, &[]);
        let reclaimable: u32 = planned.values().map(|counts| counts.reclaimable).sum();
        let lost = planned["curepipe"].reclaimable;
        assert!(reclaimable - lost >= needed, "{needed}: {planned:?}");
        assert_eq!(planned["curepipe"].permanent, 1);
    }
}

/// Data centres without reclaimable engines must not reduce the capacity below the need.
#[test]
fn permanent_engines_replace_unavailable_reclaimable_ones() {
    let scaling = scaling(40, Some(0.15));
    let one = plan_for(60, &scaling, &["curepipe"]);
    assert_eq!(one, in_every_data_centre(1, 39));
    let two = plan_for(60, &scaling, &["curepipe", "rose-hill"]);
    let left: u32 = two.values().map(|counts| counts.permanent).sum();
    assert!(left + two["port-louis"].reclaimable >= 60, "{two:?}");
    let none = plan_for(60, &scaling, &DATA_CENTRES);
    assert!(
        none.values().all(|counts| counts.permanent >= 20),
        "{none:?}"
    );
}

/// Without a lower price there is no reason to risk that engines are reclaimed.
#[test]
fn without_cheaper_reclaimable_engines_permanent_ones_cover_the_need() {
    assert_eq!(
        plan_for(60, &scaling(40, None), &[]),
        in_every_data_centre(20, 0)
    );
    // Reclaimable engines at the same price save nothing.
    assert_eq!(
        plan_for(60, &scaling(40, Some(1.0)), &[]),
        in_every_data_centre(20, 0)
    );
}

/// The operator's limits hold for permanent and reclaimable engines together.
#[test]
fn every_plan_respects_the_limits_for_both_kinds_together() {
    for max in 1..50 {
        for needed in [0, 1, 7, 60, 400] {
            for without in [&[][..], &DATA_CENTRES[..1], &DATA_CENTRES[..]] {
                let planned = plan_for(needed, &scaling(max, Some(0.15)), without);
                for counts in planned.values() {
                    assert!(
                        counts.total() >= 1 && counts.total() <= max,
                        "{max}: {planned:?}"
                    );
                }
            }
        }
    }
}

/// The rule leaves one data centre out of the count; with a single one no data centre would remain.
#[test]
fn a_single_data_centre_covers_the_whole_need() {
    let scaling = EngineScaling {
        price_by_data_centre: [("curepipe".into(), 1.0)].into(),
        ..scaling(400, Some(0.15))
    };
    let planned = plan(&PlanInputs {
        needed: 10,
        scaling: &scaling,
        data_centres: &["curepipe".into()].into(),
        without_reclaimable: &BTreeSet::new(),
    });
    assert_eq!(planned["curepipe"].reclaimable, 13);
}

fn need(engines: u32, is_settled: bool) -> NeedEstimate {
    NeedEstimate {
        engines,
        is_settled,
    }
}

/// In a starting fleet the records of 60 engines appear one after the other. Read at once, the need
/// came to 3, and all other engines were given up.
#[test]
fn the_need_is_settled_once_the_engine_count_is_stable() {
    let mut estimator = NeedEstimator::default();
    assert_eq!(estimator.observe(START, 0, 0), need(0, false));
    let later = START + DurationMs(9_000);
    assert_eq!(estimator.observe(later, 0, 0), need(0, false));
    for step in 0..20_u32 {
        let now = START + DurationMs(10_000 + u64::from(step) * 1_400);
        let permanent = 3 * (step + 1);
        assert_eq!(estimator.observe(now, 0, permanent), need(permanent, false));
    }
    let last = START + DurationMs(10_000 + 19 * 1_400);
    let before = last + DurationMs(1_499);
    assert_eq!(estimator.observe(before, 0, 60), need(60, false));
    let after = last + DurationMs(1_500);
    assert_eq!(estimator.observe(after, 0, 60), need(60, true));
    // A successor knows the need, even if few engines run.
    assert_eq!(
        NeedEstimator::default().observe(START, 60, 3),
        need(60, true)
    );
}

/// Returns the inputs of an order for a fleet that works, whose need is settled.
fn inputs<'a>(
    now: TimeMs,
    planned: &'a EnginesByDataCentre,
    running: &'a EnginesByDataCentre,
    scaling: &'a EngineScaling,
) -> OrderInputs<'a> {
    OrderInputs {
        now,
        planned,
        running,
        scaling,
        is_settled: true,
        is_idle: false,
    }
}

/// Simulates orders on a platform that starts engines after their start time, for a fleet whose
/// need is 60 and settled after 3 s. Returns the fewest engines that ran, the time until all ran as
/// planned, and the engines that ran then.
fn simulate_replacement(is_idle: bool) -> (u32, Option<DurationMs>, EnginesByDataCentre) {
    let scaling = scaling(40, Some(0.15));
    let plan = plan_for(60, &scaling, &[]);
    let mut book = OrderBook::default();
    let mut running = in_every_data_centre(20, 0);
    let mut starting: Vec<(TimeMs, EngineOrder)> = Vec::new();
    let mut fewest = 60;
    let mut done_after = None;
    for tick in 0..60 {
        let now = START + DurationMs(tick * 500);
        for (at, order) in &starting {
            let counts = running.entry(order.key.data_centre.clone()).or_default();
            if order.key.kind == EngineKind::Reclaimable && now >= *at {
                counts.reclaimable = order.count;
            }
        }
        let observed = running.clone();
        loop {
            let inputs = OrderInputs {
                is_settled: tick >= 6,
                is_idle,
                ..inputs(now, &plan, &observed, &scaling)
            };
            let Some(order) = book.next(&inputs) else {
                break;
            };
            let counts = running.entry(order.key.data_centre.clone()).or_default();
            if order.key.kind == EngineKind::Permanent {
                assert!(tick >= 6, "nothing is given up before the need is settled");
                counts.permanent = order.count;
            }
            let others = counts.permanent;
            assert!(order.key.kind == EngineKind::Permanent || order.count + others <= 40);
            book.on_answered(now, &order, OrderOutcome::Accepted);
            starting.push((now + scaling.boot_ms, order));
        }
        fewest = fewest.min(running.values().map(EngineCounts::total).sum());
        if running == plan && done_after.is_none() {
            done_after = Some(now.since(START));
        }
    }
    (fewest, done_after, running)
}

/// Permanent engines that are given up before their replacements run would leave requests without
/// capacity.
#[test]
fn engines_are_replaced_without_a_loss_of_capacity() {
    let (fewest, done_after, running) = simulate_replacement(false);
    assert_eq!(fewest, 60);
    assert_eq!(running, in_every_data_centre(1, 39));
    // One start, a check, and one more start.
    assert!(done_after <= Some(DurationMs(9_000)), "{done_after:?}");
}

/// A starting fleet pays for both kinds until the permanent engines are given up.
#[test]
fn an_idle_fleet_gives_up_engines_as_soon_as_the_need_is_settled() {
    let (fewest, done_after, running) = simulate_replacement(true);
    assert!(fewest < 60, "{fewest}");
    assert_eq!(running, in_every_data_centre(1, 39));
    assert!(done_after <= Some(DurationMs(7_000)), "{done_after:?}");
}

/// A holder that saw none of the engines yet ordered one in each data centre, and the platform gave
/// up the other 57.
#[test]
fn no_permanent_engines_are_ordered_before_the_need_is_settled() {
    let scaling = scaling(40, Some(0.15));
    for observed in [0, 1, 7, 19] {
        let running = in_every_data_centre(observed, 0);
        let plan = plan_for(3 * observed, &scaling, &[]);
        let mut book = OrderBook::default();
        let inputs = OrderInputs {
            is_settled: false,
            is_idle: true,
            ..inputs(START, &plan, &running, &scaling)
        };
        while let Some(order) = book.next(&inputs) {
            assert_eq!(order.key.kind, EngineKind::Reclaimable, "{order:?}");
            book.on_answered(START, &order, OrderOutcome::Accepted);
        }
    }
}

fn order(data_centre: &str, kind: EngineKind, count: u32) -> EngineOrder {
    EngineOrder {
        key: OrderKey {
            data_centre: data_centre.into(),
            kind,
        },
        count,
    }
}

/// Returns a book whose orders for 1 and 39 engines in every data centre were accepted.
fn book_of_accepted_orders() -> OrderBook {
    let mut book = OrderBook::default();
    for name in DATA_CENTRES {
        for (kind, count) in [(EngineKind::Permanent, 1), (EngineKind::Reclaimable, 39)] {
            book.on_answered(START, &order(name, kind, count), OrderOutcome::Accepted);
        }
    }
    book
}

/// The holder checks the plan repeatedly, and must not repeat orders that are fulfilled.
#[test]
fn no_order_is_placed_while_all_engines_run_as_planned() {
    let scaling = scaling(40, Some(0.15));
    let book = book_of_accepted_orders();
    let plan = in_every_data_centre(1, 39);
    let later = START + DurationMs(3_600_000);
    assert_eq!(book.next(&inputs(later, &plan, &plan, &scaling)), None);
}

/// The platform doesn't replace reclaimed engines, and an order may be lost.
#[test]
fn reclaimed_and_missing_engines_are_ordered_again() {
    let scaling = scaling(40, Some(0.15));
    let book = book_of_accepted_orders();
    let plan = in_every_data_centre(1, 39);
    let mut running = in_every_data_centre(1, 39);
    running.insert(
        "rose-hill".into(),
        EngineCounts {
            permanent: 1,
            reclaimable: 0,
        },
    );
    // They may still be starting.
    let starting = START + DurationMs(7_500);
    assert_eq!(
        book.next(&inputs(starting, &plan, &running, &scaling)),
        None
    );
    let overdue = START + DurationMs(7_600);
    let repeated = order("rose-hill", EngineKind::Reclaimable, 39);
    assert_eq!(
        book.next(&inputs(overdue, &plan, &running, &scaling)),
        Some(repeated)
    );
}

/// The data centre counts as having no reclaimable engines until a later order is accepted.
#[test]
fn an_order_that_could_not_be_filled_is_retried_after_a_pause() {
    let scaling = scaling(40, Some(0.15));
    let mut book = book_of_accepted_orders();
    let plan = in_every_data_centre(1, 39);
    let mut running = in_every_data_centre(1, 39);
    running.insert(
        "rose-hill".into(),
        EngineCounts {
            permanent: 1,
            reclaimable: 0,
        },
    );
    let refused = order("rose-hill", EngineKind::Reclaimable, 39);
    book.on_answered(START, &refused, OrderOutcome::Unavailable);
    assert_eq!(book.without_reclaimable(), ["rose-hill".into()].into());
    let soon = START + DurationMs(1_999);
    assert_eq!(book.next(&inputs(soon, &plan, &running, &scaling)), None);
    let later = START + DurationMs(2_000);
    assert_eq!(
        book.next(&inputs(later, &plan, &running, &scaling)),
        Some(refused.clone())
    );
    book.on_answered(later, &refused, OrderOutcome::Accepted);
    assert!(book.without_reclaimable().is_empty());
}

/// Guards against a data centre that gets no reclaimable engines because an order for permanent ones
/// couldn't be filled there.
#[test]
fn an_unfilled_order_for_permanent_engines_says_nothing_about_reclaimable_ones() {
    let mut book = OrderBook::default();
    let refused = order("rose-hill", EngineKind::Permanent, 3);
    book.on_answered(START, &refused, OrderOutcome::Unavailable);
    assert!(book.without_reclaimable().is_empty());
}

//! Engines: how many are needed, planned and ordered.

use bridgevane_gateway::decisions::duties::engine_need::{EngineNeed, Need};
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

/// The users' limits: 1 to 40 engines a data centre, reclaimable ones at 0.15 of the price, 4 s to
/// start.
fn scaling(max: u32, reclaimable_price: Option<f64>) -> EngineScaling {
    EngineScaling {
        min: 1,
        max,
        boot_ms: DurationMs(4_000),
        reclaimable_price,
        price_by_data_centre: DATA_CENTRES.map(|name| (name.into(), 1.0)).into(),
    }
}

fn all() -> BTreeSet<DataCentreId> {
    DATA_CENTRES.map(DataCentreId::from).into()
}

fn everywhere(permanent: u32, reclaimable: u32) -> EnginesByDataCentre {
    let counts = EngineCounts {
        permanent,
        reclaimable,
    };
    DATA_CENTRES.map(|name| (name.into(), counts)).into()
}

fn planned(needed: u32, scaling: &EngineScaling, without: &[&str]) -> EnginesByDataCentre {
    plan(&PlanInputs {
        needed,
        scaling,
        data_centres: &all(),
        without_reclaimable: &without
            .iter()
            .map(|name| DataCentreId::from(*name))
            .collect(),
    })
}

#[test]
fn reclaimable_engines_cover_the_need_after_the_loss_of_one_data_centre() {
    let scaling = scaling(40, Some(0.15));
    for needed in 1..=60 {
        let planned = planned(needed, &scaling, &[]);
        let reclaimable: u32 = planned.values().map(|counts| counts.reclaimable).sum();
        let of_one = planned["curepipe"].reclaimable;
        assert!(reclaimable - of_one >= needed, "{needed}: {planned:?}");
        assert_eq!(planned["curepipe"].permanent, 1);
    }
}

#[test]
fn permanent_engines_replace_unavailable_reclaimable_ones() {
    let scaling = scaling(40, Some(0.15));
    let one = planned(60, &scaling, &["curepipe"]);
    assert_eq!(one, everywhere(1, 39));
    let two = planned(60, &scaling, &["curepipe", "rose-hill"]);
    let left: u32 = two.values().map(|counts| counts.permanent).sum();
    assert!(left + two["port-louis"].reclaimable >= 60, "{two:?}");
    let none = planned(60, &scaling, &DATA_CENTRES);
    assert!(
        none.values().all(|counts| counts.permanent >= 20),
        "{none:?}"
    );
}

#[test]
fn without_cheaper_reclaimable_engines_permanent_ones_cover_the_need() {
    assert_eq!(planned(60, &scaling(40, None), &[]), everywhere(20, 0));
    // One that costs as much buys nothing.
    assert_eq!(planned(60, &scaling(40, Some(1.0)), &[]), everywhere(20, 0));
}

#[test]
fn every_plan_respects_the_limits_for_both_kinds_together() {
    for max in 1..50 {
        for needed in [0, 1, 7, 60, 400] {
            for without in [&[][..], &DATA_CENTRES[..1], &DATA_CENTRES[..]] {
                let planned = planned(needed, &scaling(max, Some(0.15)), without);
                for counts in planned.values() {
                    assert!(
                        counts.all() >= 1 && counts.all() <= max,
                        "{max}: {planned:?}"
                    );
                }
            }
        }
    }
}

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

fn need(engines: u32, is_settled: bool) -> Need {
    Need {
        engines,
        is_settled,
    }
}

/// A fleet that starts: 60 engines, whose records come one after the other. Read at once, the need
/// came to 3, and all other engines were given up.
#[test]
fn the_need_is_settled_once_the_engine_count_is_stable() {
    let mut learned = EngineNeed::default();
    assert_eq!(learned.observe(START, 0, 0), need(0, false));
    let later = START + DurationMs(9_000);
    assert_eq!(learned.observe(later, 0, 0), need(0, false));
    for step in 0..20_u32 {
        let now = START + DurationMs(10_000 + u64::from(step) * 1_400);
        let permanent = 3 * (step + 1);
        assert_eq!(learned.observe(now, 0, permanent), need(permanent, false));
    }
    let last = START + DurationMs(10_000 + 19 * 1_400);
    let before = last + DurationMs(1_499);
    assert_eq!(learned.observe(before, 0, 60), need(60, false));
    let after = last + DurationMs(1_500);
    assert_eq!(learned.observe(after, 0, 60), need(60, true));
    // A successor knows it, however few run.
    assert_eq!(EngineNeed::default().observe(START, 60, 3), need(60, true));
}

/// The inputs of an order for a fleet that works, whose need is settled.
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

/// Plays orders against a platform that starts engines after their time, for a fleet whose need is
/// 60 and settled after 3 s; gives the fewest engines that ran, when all was as planned, and what
/// ran then.
fn replace_engines(is_idle: bool) -> (u32, Option<DurationMs>, EnginesByDataCentre) {
    let scaling = scaling(40, Some(0.15));
    let plan = planned(60, &scaling, &[]);
    let mut book = OrderBook::default();
    let mut running = everywhere(20, 0);
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
        let seen = running.clone();
        loop {
            let inputs = OrderInputs {
                is_settled: tick >= 6,
                is_idle,
                ..inputs(now, &plan, &seen, &scaling)
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
            book.on_answered(now, &order, OrderOutcome::Taken);
            starting.push((now + scaling.boot_ms, order));
        }
        fewest = fewest.min(running.values().map(EngineCounts::all).sum());
        if running == plan && done_after.is_none() {
            done_after = Some(now.since(START));
        }
    }
    (fewest, done_after, running)
}

#[test]
fn engines_are_replaced_without_a_loss_of_capacity() {
    let (fewest, done_after, running) = replace_engines(false);
    assert_eq!(fewest, 60);
    assert_eq!(running, everywhere(1, 39));
    // One start, a look, and one more start.
    assert!(done_after <= Some(DurationMs(9_000)), "{done_after:?}");
}

/// A fleet that starts pays for both kinds until the first are given up.
#[test]
fn an_idle_fleet_gives_up_engines_as_soon_as_the_need_is_settled() {
    let (fewest, done_after, running) = replace_engines(true);
    assert!(fewest < 60, "{fewest}");
    assert_eq!(running, everywhere(1, 39));
    assert!(done_after <= Some(DurationMs(7_000)), "{done_after:?}");
}

/// A holder that sees none of the engines yet ordered one in each data centre, and the platform gave
/// up the other 57.
#[test]
fn no_permanent_engines_are_ordered_before_the_need_is_settled() {
    let scaling = scaling(40, Some(0.15));
    for seen in [0, 1, 7, 19] {
        let running = everywhere(seen, 0);
        let plan = planned(3 * seen, &scaling, &[]);
        let mut book = OrderBook::default();
        let inputs = OrderInputs {
            is_settled: false,
            is_idle: true,
            ..inputs(START, &plan, &running, &scaling)
        };
        while let Some(order) = book.next(&inputs) {
            assert_eq!(order.key.kind, EngineKind::Reclaimable, "{order:?}");
            book.on_answered(START, &order, OrderOutcome::Taken);
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

/// A book whose orders for 1 and 39 engines everywhere were taken.
fn settled_book() -> OrderBook {
    let mut book = OrderBook::default();
    for name in DATA_CENTRES {
        for (kind, count) in [(EngineKind::Permanent, 1), (EngineKind::Reclaimable, 39)] {
            book.on_answered(START, &order(name, kind, count), OrderOutcome::Taken);
        }
    }
    book
}

#[test]
fn no_order_is_placed_while_all_engines_run_as_planned() {
    let scaling = scaling(40, Some(0.15));
    let book = settled_book();
    let plan = everywhere(1, 39);
    let later = START + DurationMs(3_600_000);
    assert_eq!(book.next(&inputs(later, &plan, &plan, &scaling)), None);
}

#[test]
fn reclaimed_and_missing_engines_are_ordered_again() {
    let scaling = scaling(40, Some(0.15));
    let book = settled_book();
    let plan = everywhere(1, 39);
    let mut running = everywhere(1, 39);
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
    let again = order("rose-hill", EngineKind::Reclaimable, 39);
    assert_eq!(
        book.next(&inputs(overdue, &plan, &running, &scaling)),
        Some(again)
    );
}

#[test]
fn an_order_that_could_not_be_filled_is_retried_after_a_pause() {
    let scaling = scaling(40, Some(0.15));
    let mut book = settled_book();
    let plan = everywhere(1, 39);
    let mut running = everywhere(1, 39);
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
    book.on_answered(later, &refused, OrderOutcome::Taken);
    assert!(book.without_reclaimable().is_empty());
}

//! The brief's promises under load and faults: each fails with its mechanism taken out and
//! holds with it.

mod support;

use bridgevane_decisions::Pool;
use bridgevane_decisions::configs::Settings;
use bridgevane_standins::BrokenPromise;
use support::{Driver, Fault, RunResult, Setup, ravaton, solcata};

/// A small pool under a load, for half a minute.
fn setup(load: f64, seed: u64) -> Setup {
    Setup {
        engines: 4,
        duration_ms: 30_000,
        ..Setup::new(solcata(), load, seed)
    }
}

fn run(setup: Setup) -> RunResult {
    let policy = setup.workload.policy(setup.engines, setup.slots);
    let pool = Pool::new(policy, &setup.settings, setup.seed);
    Driver::new(setup, vec![pool]).run()
}

fn with_settings(mut setup: Setup, change: impl FnOnce(&mut Settings)) -> Setup {
    change(&mut setup.settings);
    setup
}

fn refused_above_lower(result: &RunResult) -> usize {
    let is_it = |broken: &&BrokenPromise| matches!(broken, BrokenPromise::RefusedAboveLower { .. });
    result.broken.iter().filter(is_it).count()
}

#[test]
fn a_higher_tier_is_never_refused_while_a_lower_one_could_make_room() {
    let without = run(with_settings(setup(3.0, 1), |settings| {
        settings.admission.is_preemption_enabled = false;
    }));
    assert!(
        refused_above_lower(&without) > 0,
        "the load must bring the failure about"
    );
    let with = run(setup(3.0, 1));
    assert_eq!(with.broken, []);
}

#[test]
fn every_class_runs_however_large_the_burst_of_the_others() {
    let mut flood = setup(6.0, 2);
    // Nearly all requests are of the two upper tiers.
    flood.workload.classes[0].part = 0.6;
    flood.workload.classes[1].part = 0.39;
    flood.workload.classes[2].part = 0.01;
    let without = run(with_settings(flood.clone(), |settings| {
        settings.admission.is_ageing_enabled = false;
    }));
    let with = run(flood.clone());
    let served = |result: &RunResult| result.classes[2].in_target + result.classes[2].late;
    assert!(
        served(&with) > served(&without),
        "{:?} {:?}",
        with.classes,
        without.classes
    );
    assert!(served(&with) > 0);
    // The longest wait is four fifths of the target; a slot then frees within seconds.
    let bound_ms = flood.workload.classes[2].first_token_ms * 5 / 4;
    assert!(
        with.classes[2].worst_first_token_ms <= bound_ms,
        "{:?}",
        with.classes[2]
    );
    assert_eq!(with.broken, []);
}

#[test]
fn one_class_in_a_burst_does_not_crowd_out_the_others() {
    let mut burst = setup(1.0, 3);
    burst.workload.classes[2].part *= 8.0;
    let result = run(burst);
    assert!(
        result.classes[0].attainment() > 0.99,
        "{:?}",
        result.classes
    );
    assert!(
        result.classes[1].attainment() > 0.99,
        "{:?}",
        result.classes
    );
    assert_eq!(result.broken, []);
}

/// Each fault of the brief, alone and two at once: answers are whole (the driver checks each
/// token's place), promises hold, the top tier keeps its level.
#[test]
fn promises_hold_under_each_fault_and_two_at_once() {
    let slow = Fault::Slow {
        engine: 1,
        factor: 10.0,
        from_ms: 5_000,
        to_ms: 20_000,
    };
    let crash = Fault::Crash {
        engine: 2,
        from_ms: 8_000,
        to_ms: 15_000,
    };
    let refuse = Fault::Refuse {
        engine: 3,
        from_ms: 8_000,
        to_ms: 15_000,
    };
    let vanish = Fault::CallersVanish { nth: 7 };
    let table: [(&str, Vec<Fault>, u64, f64); 7] = [
        ("engine slowed tenfold", vec![slow], 500, 0.97),
        ("engine crashed in mid-stream", vec![crash], 500, 0.97),
        ("load reports two seconds late", vec![], 2_000, 0.99),
        ("callers vanish", vec![vanish], 500, 0.99),
        ("engine refuses fast", vec![refuse], 500, 0.98),
        ("slowed and crashed", vec![slow, crash], 500, 0.9),
        (
            "crashed, callers vanish, reports late",
            vec![crash, vanish],
            2_000,
            0.95,
        ),
    ];
    for (name, faults, report_lag_ms, least) in table {
        for seed in [4, 5] {
            let result = run(Setup {
                faults: faults.clone(),
                report_lag_ms,
                ..setup(1.5, seed)
            });
            assert_eq!(result.broken, [], "{name}");
            let unfinished: u64 = result.classes.iter().map(|class| class.unfinished).sum();
            assert_eq!(unfinished, 0, "{name}: {:?}", result.classes);
            let attainment = result.classes[0].attainment();
            assert!(
                attainment >= least,
                "{name}: {attainment} {:?}",
                result.classes
            );
        }
    }
}

#[test]
fn the_loss_of_all_cache_events_costs_no_promise() {
    let with = run(Setup {
        engines: 4,
        duration_ms: 30_000,
        ..Setup::new(ravaton(), 1.0, 6)
    });
    let blind = run(with_settings(
        Setup {
            engines: 4,
            duration_ms: 30_000,
            ..Setup::new(ravaton(), 1.0, 6)
        },
        |settings| settings.routing.is_cache_aware = false,
    ));
    assert_eq!(with.broken, []);
    assert_eq!(blind.broken, []);
    assert!(blind.classes[0].attainment() > 0.98, "{:?}", blind.classes);
}

#[test]
fn several_daemons_without_a_home_keep_their_own_promises() {
    let setup = Setup {
        engines: 6,
        duration_ms: 30_000,
        ..Setup::new(solcata(), 1.0, 7)
    };
    let setup = with_settings(setup, |settings| settings.routing.choices = Some(2));
    let policy = setup.workload.policy(setup.engines, setup.slots);
    let pools = (0..3)
        .map(|seed| Pool::new(policy.clone(), &setup.settings, seed))
        .collect();
    let result = Driver::new(setup, pools).run();
    // Each log is checked alone: without a home, nobody sees the whole data centre.
    assert_eq!(result.broken, []);
    assert!(result.classes[0].attainment() > 0.8, "{:?}", result.classes);
}

#[test]
fn a_refusal_comes_at_once_or_when_it_becomes_certain() {
    let result = run(setup(3.0, 8));
    let refused: u64 = result.classes.iter().map(|class| class.refused).sum();
    assert!(refused > 100, "the load must bring refusals about");
    // Never held back beyond the lowest class's target and its grace.
    let target_ms = ravaton().classes[2].first_token_ms.max(20_000);
    assert!(result.refused_within_ms <= target_ms * 5 / 4);
}

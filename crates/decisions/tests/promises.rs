//! The guarantees of the pool under load and faults. Where a setting can disable the mechanism
//! behind a guarantee, the test also shows that the guarantee fails without it.

mod support;

use bridgevane_decisions::Pool;
use bridgevane_decisions::configs::Settings;
use bridgevane_standins::BrokenPromise;
use support::{Driver, Fault, RunResult, Setup, ravaton, solcata};

/// Returns a setup of a small pool under a load for half a minute.
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

fn refusals_above_lower_tier(result: &RunResult) -> usize {
    let is_refused_above_lower =
        |violation: &&BrokenPromise| matches!(violation, BrokenPromise::RefusedAboveLower { .. });
    result
        .violations
        .iter()
        .filter(is_refused_above_lower)
        .count()
}

// Without preemption, a full pool refuses important requests while less important ones run.
#[test]
fn a_higher_tier_is_never_refused_while_a_lower_one_could_be_preempted() {
    let without_mechanism = run(with_settings(setup(3.0, 1), |settings| {
        settings.admission.is_preemption_enabled = false;
    }));
    assert!(
        refusals_above_lower_tier(&without_mechanism) > 0,
        "the load must cause the failure"
    );
    let with_mechanism = run(setup(3.0, 1));
    assert_eq!(with_mechanism.violations, []);
}

// Without ageing, a flood of the upper tiers starves the lowest one.
#[test]
fn a_flood_of_upper_tiers_does_not_starve_the_lowest_one() {
    let mut flood = setup(6.0, 2);
    // Nearly all requests belong to the two upper tiers.
    flood.workload.classes[0].request_share = 0.6;
    flood.workload.classes[1].request_share = 0.39;
    flood.workload.classes[2].request_share = 0.01;
    let without_mechanism = run(with_settings(flood.clone(), |settings| {
        settings.admission.is_ageing_enabled = false;
    }));
    let with_mechanism = run(flood.clone());
    let served = |result: &RunResult| result.classes[2].in_target + result.classes[2].late;
    assert!(
        served(&with_mechanism) > served(&without_mechanism),
        "{:?} {:?}",
        with_mechanism.classes,
        without_mechanism.classes
    );
    assert!(served(&with_mechanism) > 0);
    // The longest wait is four fifths of the target; then a slot becomes free within seconds.
    let bound_ms = flood.workload.classes[2].first_token_ms * 5 / 4;
    assert!(
        with_mechanism.classes[2].worst_first_token_ms <= bound_ms,
        "{:?}",
        with_mechanism.classes[2]
    );
    assert_eq!(with_mechanism.violations, []);
}

// A burst of the lowest tier fills the pool and its queue.
#[test]
fn a_burst_of_the_lowest_tier_does_not_delay_the_others() {
    let mut burst = setup(1.0, 3);
    burst.workload.classes[2].request_share *= 8.0;
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
    assert_eq!(result.violations, []);
}

// Each fault, alone and two at once: answers are complete (the driver checks the offset of each
// token), the guarantees hold, and the top tier keeps its attainment.
#[test]
fn guarantees_hold_under_each_fault_and_two_at_once() {
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
    let disconnect = Fault::CallersDisconnect { nth: 7 };
    let table: [(&str, Vec<Fault>, u64, f64); 7] = [
        ("engine slowed tenfold", vec![slow], 500, 0.97),
        ("engine crashed while streaming", vec![crash], 500, 0.97),
        ("load reports two seconds late", vec![], 2_000, 0.99),
        ("callers disconnect", vec![disconnect], 500, 0.99),
        ("engine refuses fast", vec![refuse], 500, 0.98),
        ("slowed and crashed", vec![slow, crash], 500, 0.9),
        (
            "crashed, callers disconnect, reports late",
            vec![crash, disconnect],
            2_000,
            0.95,
        ),
    ];
    for (name, faults, report_lag_ms, min_attainment) in table {
        for seed in [4, 5] {
            let result = run(Setup {
                faults: faults.clone(),
                report_lag_ms,
                ..setup(1.5, seed)
            });
            assert_eq!(result.violations, [], "{name}");
            let unfinished: u64 = result.classes.iter().map(|class| class.unfinished).sum();
            assert_eq!(unfinished, 0, "{name}: {:?}", result.classes);
            let attainment = result.classes[0].attainment();
            assert!(
                attainment >= min_attainment,
                "{name}: {attainment} {:?}",
                result.classes
            );
        }
    }
}

// Without cache events, all requests are routed by load alone.
#[test]
fn guarantees_hold_without_any_cache_events() {
    let cache_aware = run(Setup {
        engines: 4,
        duration_ms: 30_000,
        ..Setup::new(ravaton(), 1.0, 6)
    });
    let cache_unaware = run(with_settings(
        Setup {
            engines: 4,
            duration_ms: 30_000,
            ..Setup::new(ravaton(), 1.0, 6)
        },
        |settings| settings.routing.is_cache_aware = false,
    ));
    assert_eq!(cache_aware.violations, []);
    assert_eq!(cache_unaware.violations, []);
    assert!(
        cache_unaware.classes[0].attainment() > 0.98,
        "{:?}",
        cache_unaware.classes
    );
}

// Without a home daemon, several daemons dispatch to the same engines without coordination.
#[test]
fn several_daemons_without_a_home_each_keep_the_guarantees() {
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
    // Each log is checked on its own: without a home, no daemon sees the whole data centre.
    assert_eq!(result.violations, []);
    assert!(result.classes[0].attainment() > 0.8, "{:?}", result.classes);
}

// A request that can't meet its target must not be kept waiting for its refusal.
#[test]
fn refusals_are_sent_within_the_target_of_the_lowest_class_and_its_grace() {
    let result = run(setup(3.0, 8));
    let refused: u64 = result.classes.iter().map(|class| class.refused).sum();
    assert!(refused > 100, "the load must cause refusals");
    // The target of the lowest class and its grace period.
    let target_ms = ravaton().classes[2].first_token_ms.max(20_000);
    assert!(result.longest_refusal_ms <= target_ms * 5 / 4);
}

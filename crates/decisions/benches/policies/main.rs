//! Compares the product's decisions with baselines over the users' workloads.
//!
//! `cargo bench -p bridgevane-decisions --bench policies` prints the table of
//! docs/BENCHMARKS.md; `-- quick` runs one seed and few loads.

#[path = "../../tests/support/mod.rs"]
mod support;

use bridgevane_decisions::{Pool, Scheduler};
use comfy_table::{Table, presets};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::{Baseline, Chooser, Driver, Fault, RunResult, Setup, Workload, ravaton, solcata};

const SEEDS: [u64; 5] = [11, 23, 37, 41, 59];
const LOADS: [f64; 5] = [0.7, 1.0, 1.5, 2.0, 3.0];

/// A scheduler to compare.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SchedulerKind {
    /// The product with one home daemon that decides for the pool.
    Home,
    /// The product without a home: each of this many daemons decides independently.
    Independent(usize),
    /// A baseline in each of this many daemons.
    Base(Chooser, usize),
}

impl SchedulerKind {
    fn name(self) -> String {
        match self {
            Self::Home => "bridgevane, home".into(),
            Self::Independent(daemons) => format!("bridgevane, {daemons} alone"),
            Self::Base(chooser, daemons) => format!("{chooser:?}, {daemons}"),
        }
    }

    fn run(self, setup: Setup) -> RunResult {
        match self {
            Self::Home => pools(setup, 1, None),
            Self::Independent(daemons) => pools(setup, daemons, Some(2)),
            Self::Base(chooser, daemons) => {
                let schedulers = (0..daemons as u64)
                    .map(|seed| Baseline::new(chooser, setup.engines, setup.slots, seed))
                    .collect();
                drive(setup, schedulers)
            }
        }
    }
}

fn pools(mut setup: Setup, count: usize, choices: Option<u32>) -> RunResult {
    setup.settings.routing.choices = choices;
    let policy = setup.workload.policy(setup.engines, setup.slots);
    let schedulers = (0..count as u64)
        .map(|seed| Pool::new(policy.clone(), &setup.settings, seed))
        .collect();
    drive(setup, schedulers)
}

fn drive<P: Scheduler>(setup: Setup, schedulers: Vec<P>) -> RunResult {
    Driver::new(setup, schedulers).run()
}

fn faults() -> Vec<Fault> {
    vec![
        Fault::Slow {
            engine: 2,
            factor: 10.0,
            from_ms: 30_000,
            to_ms: 80_000,
        },
        Fault::Crash {
            engine: 5,
            from_ms: 50_000,
            to_ms: 70_000,
        },
    ]
}

/// Returns the mean of a figure over all seeds, and half of its range.
fn spread(figures: &[f64]) -> (f64, f64) {
    let mean = figures.iter().sum::<f64>() / figures.len() as f64;
    let min = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let max = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (mean, (max - min) / 2.0)
}

/// A row of the table.
struct Case {
    workload: Workload,
    load: f64,
    with_faults: bool,
    scheduler: SchedulerKind,
}

fn row(case: &Case, seeds: &[u64]) -> Vec<String> {
    let Case {
        workload,
        load,
        with_faults,
        scheduler,
    } = case;
    let run = |seed: &u64| {
        let mut setup = Setup::new(workload.clone(), *load, *seed);
        if *with_faults {
            setup.faults = faults();
        }
        scheduler.run(setup)
    };
    let results: Vec<RunResult> = seeds.iter().map(run).collect();
    let figure = |metric: &dyn Fn(&RunResult) -> f64| {
        let figures: Vec<f64> = results.iter().map(metric).collect();
        spread(&figures)
    };
    let percent = |(mean, span): (f64, f64)| format!("{:.1} ±{:.1}", mean * 100.0, span * 100.0);
    let mut cells = vec![
        workload.name.to_owned(),
        format!("{load}"),
        if *with_faults {
            "yes".into()
        } else {
            "no".into()
        },
        scheduler.name(),
    ];
    for class in 0..workload.classes.len() {
        cells.push(percent(figure(&|r| r.classes[class].attainment())));
    }
    cells.push(percent(figure(&|r| r.goodput_tps / r.bound_tps)));
    cells.push(format!("{:.0}", figure(&|r| r.goodput_tps).0));
    cells.push(percent(figure(&|r| r.wasted_share)));
    let worst = |class: usize| {
        let worst = results
            .iter()
            .map(|r| r.classes[class].worst_first_token_ms)
            .max();
        worst.unwrap_or(0).to_string()
    };
    let worst: Vec<String> = (0..workload.classes.len()).map(worst).collect();
    cells.push(worst.join("/"));
    let unfinished: u64 = results
        .iter()
        .flat_map(|r| &r.classes)
        .map(|c| c.unfinished)
        .sum();
    cells.push(unfinished.to_string());
    let interrupted = |cause: &str| -> u64 {
        results
            .iter()
            .filter_map(|r| r.interrupted.get(cause))
            .sum::<u64>()
            / results.len() as u64
    };
    let causes =
        ["for tier 0", "preempted", "moved", "lost"].map(|cause| interrupted(cause).to_string());
    cells.push(causes.join("/"));
    let violations: usize = results.iter().map(|r| r.violations.len()).sum();
    cells.push(violations.to_string());
    if violations > 0 && std::env::args().any(|argument| argument == "explain") {
        for result in &results {
            result
                .violations
                .iter()
                .take(5)
                .for_each(|broken| eprintln!("{broken}"));
        }
    }
    cells
}

fn main() {
    let is_quick = std::env::args().any(|argument| argument == "quick");
    let seeds = if is_quick { &SEEDS[..1] } else { &SEEDS[..] };
    let loads = if is_quick {
        &[1.0, 2.0, 3.0][..]
    } else {
        &LOADS[..]
    };
    let schedulers = [
        SchedulerKind::Home,
        SchedulerKind::Independent(3),
        SchedulerKind::Independent(7),
        SchedulerKind::Base(Chooser::RoundRobin, 1),
        SchedulerKind::Base(Chooser::LeastInFlight, 1),
        SchedulerKind::Base(Chooser::PowerOfTwo, 1),
        SchedulerKind::Base(Chooser::PowerOfTwo, 7),
    ];
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "workload",
        "load",
        "faults",
        "decider",
        "tier 0 %",
        "tier 1 %",
        "tier 2 %",
        "goodput/bound %",
        "goodput t/s",
        "wasted %",
        "worst wait ms",
        "unfinished",
        "preempted for tier 0/for others/moved/lost",
        "broken",
    ]);
    let mut cases = Vec::new();
    for workload in [ravaton(), solcata()] {
        for load in loads {
            for with_faults in [false, true] {
                for scheduler in schedulers {
                    cases.push(Case {
                        workload: workload.clone(),
                        load: *load,
                        with_faults,
                        scheduler,
                    });
                }
            }
        }
    }
    for cells in rows(&cases, seeds) {
        table.add_row(cells);
    }
    println!("{table}");
}

/// Computes all rows on several threads, in the order of the cases.
fn rows(cases: &[Case], seeds: &[u64]) -> Vec<Vec<String>> {
    const THREADS: usize = 4;
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(at) else { return };
                    let cells = row(case, seeds);
                    done.lock().expect("no row panics").insert(at, cells);
                }
            });
        }
    });
    done.into_inner()
        .expect("no row panics")
        .into_values()
        .collect()
}

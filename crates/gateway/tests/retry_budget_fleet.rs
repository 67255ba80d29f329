//! Tests that a whole fleet stays within its retry budget in every window, while its daemons are
//! killed, restarted and paused.
//!
//! The failure: in one window of 10 s, 1,994 attempts beyond the first reached a service, for 7,805
//! requests; 1,777 were allowed. All endpoints rejected requests for ten seconds, and six in ten
//! daemons were killed 3 and 6 s into that time. It also occurred in a rolling restart, and when
//! traffic fell after a burst.
//!
//! The cause: each daemon used the full ratio of the requests in its own last window. A new process
//! did so at once, while the retries of its predecessor still counted; and when traffic falls,
//! daemons that retry at different moments retry in one window for the requests of two. Of 1,821
//! retries in that window, 551 were made by processes started in it, all by the ratio; the parts of
//! the slack added up to only 181 of 216. With half the ratio for each daemon all tests here pass;
//! with the full ratio, five of six fail.

mod support;

#[path = "support/retry_fleet.rs"]
mod retry_fleet;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use retry_fleet::{RetryFleet, SLACK, WINDOW_MS};

/// The number of VMs of the fleet in which the failure occurred.
const VMS: usize = 88;
/// The requests a second of that fleet.
const REQUESTS_PER_S: f64 = 780.0;
/// The number of seeds of the search, which takes about a minute unoptimised; `RETRY_SEEDS` sets
/// another number, `RETRY_FIRST_SEED` the first one.
const SEEDS: u64 = 60;
/// The sizes of fleets: from the users' smallest to twice their largest.
const SIZES: [usize; 4] = [6, 88, 985, 2_000];
/// The number of steps of one seed.
const STEPS: usize = 350;

fn incident_fleet() -> RetryFleet {
    let mut fleet = RetryFleet::new(VMS, Pcg32::seed_from_u64(1));
    run(&mut fleet, 100, REQUESTS_PER_S, false);
    fleet
}

fn run(fleet: &mut RetryFleet, steps: usize, requests_per_s: f64, is_retrying: bool) {
    for _ in 0..steps {
        fleet.step(requests_per_s, is_retrying);
    }
}

fn check_budget(fleet: &RetryFleet) {
    let excess = fleet.counts().worst_excess();
    assert!(excess.is_none(), "{excess:?}");
}

/// Guards against a budget that is exceeded even without faults.
#[test]
fn a_fleet_without_faults_stays_within_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 200, REQUESTS_PER_S, true);
    check_budget(&fleet);
}

/// Guards against new processes that use the budget in addition to their predecessors.
#[test]
fn a_fleet_whose_daemons_are_killed_twice_stays_within_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 30, REQUESTS_PER_S, true);
    fleet.kill(0.6, 5);
    run(&mut fleet, 30, REQUESTS_PER_S, true);
    fleet.kill(0.6, 5);
    run(&mut fleet, 100, REQUESTS_PER_S, true);
    check_budget(&fleet);
}

/// Guards against the same in a rolling restart.
#[test]
fn a_fleet_in_a_rolling_restart_stays_within_its_budget() {
    let mut fleet = incident_fleet();
    for first in (0..VMS).step_by(8) {
        fleet.restart(first..first + 8, 5);
        run(&mut fleet, 7, REQUESTS_PER_S, true);
    }
    run(&mut fleet, 100, REQUESTS_PER_S, true);
    check_budget(&fleet);
}

/// Guards against retries in one window for the requests of two: two short bursts are less than a
/// window apart, so that no window of which requests are counted contains both.
#[test]
fn a_fleet_whose_traffic_falls_stays_within_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 15, 5.0 * REQUESTS_PER_S, false);
    run(&mut fleet, 55, 0.2 * REQUESTS_PER_S, false);
    run(&mut fleet, 15, 5.0 * REQUESTS_PER_S, true);
    run(&mut fleet, 100, 0.2 * REQUESTS_PER_S, true);
    check_budget(&fleet);
}

/// Runs one seed: traffic that rises and falls and is distributed unevenly, daemons that are
/// killed, restarted, paused and added, and assumed numbers of daemons that are wrong by up to a
/// half.
fn run_random_faults(seed: u64) -> RetryFleet {
    let vms = SIZES[seed as usize % SIZES.len()];
    let mut fleet = RetryFleet::new(vms, Pcg32::seed_from_u64(seed));
    if fleet.draw() < 0.5 {
        fleet.draw_weights();
    }
    let base_per_s = vms as f64 * (0.5 + 20.0 * fleet.draw().powi(3));
    let mut per_s = base_per_s;
    let mut is_retrying = false;
    let end = fleet.now() + STEPS;
    while fleet.now() < end {
        match (fleet.draw() * 12.0) as u32 {
            0..3 => per_s = base_per_s * (0.1 + 5.0 * fleet.draw().powi(2)),
            3 | 4 => is_retrying = !is_retrying,
            5 => {
                let (share, down) = (fleet.draw(), fleet.draw() * 20.0);
                fleet.kill(share, down as usize);
            }
            6 => fleet.kill(1.0, 5),
            7 => {
                let first = (fleet.draw() * vms as f64) as usize;
                fleet.restart(first..vms.min(first + vms / 8 + 1), 5);
            }
            8 => {
                let (share, steps) = (fleet.draw(), fleet.draw() * 30.0);
                fleet.pause(share, steps as usize);
            }
            9 => {
                let joining = vms as f64 * 0.2 * fleet.draw();
                fleet.join(joining as usize);
            }
            10 => {
                let factor = 0.5 + fleet.draw();
                fleet.misreport_size(factor);
            }
            _ => fleet.report_size(),
        }
        let steps = 1 + (fleet.draw() * 20.0) as usize;
        run(&mut fleet, steps, per_s, is_retrying);
    }
    fleet
}

/// Guards against combinations of faults that exceed the budget.
#[test]
fn no_sequence_of_faults_exceeds_the_budget() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = number("RETRY_FIRST_SEED").unwrap_or(1);
    let seeds = number("RETRY_SEEDS").unwrap_or(SEEDS);
    let failures: Vec<String> = (first..first + seeds)
        .filter_map(|seed| {
            let excess = run_random_faults(seed).counts().worst_excess()?;
            Some(format!("seed {seed}: {excess:?}"))
        })
        .collect();
    assert!(
        failures.is_empty(),
        "{} of {seeds}: {failures:#?}",
        failures.len()
    );
}

/// Guards against a budget of which hardly anything can be used: if a daemon's share of the slack
/// is a fraction of one retry, and each daemon gets few requests, a fleet still makes a good part
/// of the allowed retries, but not one for each daemon.
#[test]
fn a_fleet_of_any_size_uses_at_least_forty_percent_of_its_budget() {
    for vms in SIZES {
        let per_s = vms as f64;
        let mut fleet = RetryFleet::new(vms, Pcg32::seed_from_u64(7));
        run(&mut fleet, 100, per_s, false);
        let from = fleet.now();
        run(&mut fleet, 100, per_s, true);
        check_budget(&fleet);
        let counts = fleet.counts();
        let requests = counts.requests_in(from..from + 100);
        let allowed = 0.2 * requests as f64 + f64::from(SLACK);
        let retries = counts.retries_in(from..from + 100);
        let used = retries as f64 / allowed;
        println!(
            "{vms} daemons: {retries} retries in {WINDOW_MS} ms, {used:.2} of what is allowed"
        );
        assert!(used >= 0.4, "{vms} daemons: {retries} of {allowed}");
    }
}

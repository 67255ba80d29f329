//! The retry budget of a whole fleet, in every window and over all lives of its daemons.
//!
//! Incident: in one window of 10 s, 1,994 attempts beyond the first of their request reached a service, for 7,805 requests;
//! 1,777 are allowed. All endpoints turned work away for ten seconds, and six in ten daemons were killed at 3 and 6 s of
//! them; it was so with daemons restarted in turn, and as traffic fell after a burst. Without either the bound was kept.
//!
//! Cause: each daemon took the full ratio of the requests in its own last window. A new process did so at once, while the
//! retries that the one before it had made still counted; and where traffic falls, daemons that retry at different
//! moments retry in one window for the requests of two.
//!
//! Proof: of 1,821 retries in that window, 551 were of processes started in it, all by the ratio; after a burst none were.
//! The parts of the slack added up to 181 of 216. With half the ratio for each daemon every test here holds; with the full
//! one, five of six fail.

mod support;

#[path = "support/retry_fleet.rs"]
mod retry_fleet;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use retry_fleet::{RetryFleet, SLACK, WINDOW_MS};

/// The fleet of the incident.
const VMS: usize = 88;
/// Its requests a second.
const REQUESTS_PER_S: f64 = 780.0;
/// Seeds of the search. Chosen so that it takes about a minute unoptimised; `RETRY_SEEDS` gives another number, `RETRY_FIRST_SEED` the
/// first one.
const SEEDS: u64 = 60;
/// Sizes of fleets: the users' smallest to twice their largest.
const SIZES: [usize; 4] = [6, 88, 985, 2_000];
/// Steps of one seed.
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

fn check(fleet: &RetryFleet) {
    let excess = fleet.counted().worst_excess();
    assert!(excess.is_none(), "{excess:?}");
}

#[test]
fn a_fleet_that_nothing_happens_to_keeps_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 200, REQUESTS_PER_S, true);
    check(&fleet);
}

#[test]
fn a_fleet_whose_daemons_are_killed_twice_keeps_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 30, REQUESTS_PER_S, true);
    fleet.kill(0.6, 5);
    run(&mut fleet, 30, REQUESTS_PER_S, true);
    fleet.kill(0.6, 5);
    run(&mut fleet, 100, REQUESTS_PER_S, true);
    check(&fleet);
}

#[test]
fn a_fleet_that_is_restarted_in_turn_keeps_its_budget() {
    let mut fleet = incident_fleet();
    for first in (0..VMS).step_by(8) {
        fleet.restart(first..first + 8, 5);
        run(&mut fleet, 7, REQUESTS_PER_S, true);
    }
    run(&mut fleet, 100, REQUESTS_PER_S, true);
    check(&fleet);
}

/// Two short bursts less than a window apart: no window of which requests are counted holds both.
#[test]
fn a_fleet_whose_traffic_falls_keeps_its_budget() {
    let mut fleet = incident_fleet();
    run(&mut fleet, 15, 5.0 * REQUESTS_PER_S, false);
    run(&mut fleet, 55, 0.2 * REQUESTS_PER_S, false);
    run(&mut fleet, 15, 5.0 * REQUESTS_PER_S, true);
    run(&mut fleet, 100, 0.2 * REQUESTS_PER_S, true);
    check(&fleet);
}

/// One seed: traffic that rises and falls, uneven parts of it, daemons that are killed, restarted, frozen and that join,
/// and numbers of daemons that are wrong by up to a half.
fn search(seed: u64) -> RetryFleet {
    let vms = SIZES[seed as usize % SIZES.len()];
    let mut fleet = RetryFleet::new(vms, Pcg32::seed_from_u64(seed));
    if fleet.draw() < 0.5 {
        fleet.draw_weights();
    }
    let usual_per_s = vms as f64 * (0.5 + 20.0 * fleet.draw().powi(3));
    let mut per_s = usual_per_s;
    let mut is_retrying = false;
    let end = fleet.now() + STEPS;
    while fleet.now() < end {
        match (fleet.draw() * 12.0) as u32 {
            0..3 => per_s = usual_per_s * (0.1 + 5.0 * fleet.draw().powi(2)),
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
                fleet.freeze(share, steps as usize);
            }
            9 => {
                let joining = vms as f64 * 0.2 * fleet.draw();
                fleet.join(joining as usize);
            }
            10 => {
                let factor = 0.5 + fleet.draw();
                fleet.mistake_size(factor);
            }
            _ => fleet.tell_size(),
        }
        let steps = 1 + (fleet.draw() * 20.0) as usize;
        run(&mut fleet, steps, per_s, is_retrying);
    }
    fleet
}

#[test]
fn no_series_of_faults_breaks_the_budget() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = number("RETRY_FIRST_SEED").unwrap_or(1);
    let seeds = number("RETRY_SEEDS").unwrap_or(SEEDS);
    let broken: Vec<String> = (first..first + seeds)
        .filter_map(|seed| {
            let excess = search(seed).counted().worst_excess()?;
            Some(format!("seed {seed}: {excess:?}"))
        })
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {seeds}: {broken:#?}",
        broken.len()
    );
}

/// Where a daemon's part of the slack is a fraction of one retry, and few requests come to each, a fleet still retries a good
/// part of what it may, but not once for each daemon.
#[test]
fn a_fleet_of_any_size_retries_a_part_of_what_it_may() {
    for vms in SIZES {
        let per_s = vms as f64;
        let mut fleet = RetryFleet::new(vms, Pcg32::seed_from_u64(7));
        run(&mut fleet, 100, per_s, false);
        let from = fleet.now();
        run(&mut fleet, 100, per_s, true);
        check(&fleet);
        let counted = fleet.counted();
        let requests = counted.requests_in(from..from + 100);
        let allowed = 0.2 * requests as f64 + f64::from(SLACK);
        let retries = counted.retries_in(from..from + 100);
        let used = retries as f64 / allowed;
        println!(
            "{vms} daemons: {retries} retries in {WINDOW_MS} ms, {used:.2} of what is allowed"
        );
        assert!(used >= 0.4, "{vms} daemons: {retries} of {allowed}");
    }
}

//! Tests of the duties in a fleet whose daemons follow each other, on a virtual clock: when the store
//! comes back from a copy, daemons learn of it at different times, and only those that follow the
//! store themselves are candidates.
//!
//! `DUTY_SEEDS` sets the number of seeds for each size of a fleet.

mod support;

#[path = "support/duty_sim/mod.rs"]
#[allow(dead_code)]
mod duty_sim;

use bridgevane_gateway::Revision;
use duty_sim::{MissedWindows, TreeFleet, WINDOW, check_rules, run_on_virtual_clock};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

/// The sizes of fleets, and the number of seeds in CI of each.
const SIZES: [(usize, u64); 3] = [(6, 10), (24, 2), (80, 1)];
/// The time until a fleet has submitted its first windows.
const START: Duration = Duration::from_secs(13);
/// The longest time until usage is submitted after the loss of a holder.
const RECOVERY: Duration = Duration::from_secs(16);
/// How long after its end a window is submitted at the latest if nothing happens.
const SUBMITTED_AFTER_MS: u64 = 2_000;
/// How long after a return from a copy a new holder is known at the latest, if its candidates run.
const TAKEN_AFTER_MS: u64 = 4_000;

/// Returns the sizes and seeds of a run.
fn fleets() -> Vec<(usize, u64)> {
    let seeds = std::env::var("DUTY_SEEDS").ok();
    let seeds: Option<u64> = seeds.map(|seeds| seeds.parse().expect("a number of seeds"));
    let only = std::env::var("DUTY_DAEMONS").ok();
    let only: Option<usize> = only.map(|only| only.parse().expect("a number of daemons"));
    let sizes: Vec<(usize, u64)> = match only {
        Some(only) => vec![(only, 1)],
        None => SIZES.to_vec(),
    };
    let fleets = sizes.into_iter();
    fleets
        .flat_map(|(size, in_ci)| (0..seeds.unwrap_or(in_ci)).map(move |seed| (size, seed)))
        .collect()
}

/// Starts a fleet whose holder is a seed or not, by chance, and whose tree has changed.
async fn start_fleet(size: usize, random: &mut Pcg32) -> TreeFleet {
    let mut fleet = TreeFleet::start(size);
    sleep(START).await;
    match random.random_range(0..4) {
        0 => {}
        1 => {
            let holder = fleet.holder();
            fleet.kill(&holder);
            sleep(Duration::from_secs(5)).await;
            fleet.start_daemon(&holder, 0);
        }
        2 => {
            // Daemons that are no seeds follow the store, and one of them takes the duties.
            let seeds = fleet.seeds();
            fleet.cut_store(&seeds, true);
            sleep(Duration::from_secs(12)).await;
            fleet.cut_store(&seeds, false);
        }
        _ => {
            fleet.platform.set_silent(true);
            sleep(Duration::from_millis(random.random_range(500..6_000))).await;
            fleet.platform.set_silent(false);
        }
    }
    sleep(RECOVERY + Duration::from_millis(random.random_range(0..5_000))).await;
    fleet
}

/// A return of the store from a copy up to 6 s old, after some 1 s without answers.
struct Return {
    copy_age: Duration,
    away: Duration,
}

impl Return {
    fn draw(random: &mut Pcg32) -> Self {
        Self {
            copy_age: Duration::from_millis(random.random_range(0..6_000)),
            away: Duration::from_millis(random.random_range(800..1_200)),
        }
    }
}

/// What a seed led to.
#[derive(Debug)]
#[allow(dead_code)]
struct SeedOutcome {
    size: usize,
    seed: u64,
    holder_before: String,
    /// Whether the holder followed the store itself when the store came back.
    did_follow_source: bool,
    holder_after: String,
    /// The holders that submitted usage, each with its fence, in order.
    acted: Vec<(String, Revision)>,
    missed: MissedWindows,
}

fn holders_that_acted(fleet: &TreeFleet) -> Vec<(String, Revision)> {
    let calls = fleet.platform.accepted_usage().into_iter();
    let mut acted: Vec<(String, Revision)> =
        calls.map(|call| (call.vm, Revision(call.fence))).collect();
    acted.dedup();
    acted
}

/// Runs one seed of a plain return.
async fn return_from_copy(size: usize, seed: u64) -> SeedOutcome {
    let mut random = Pcg32::seed_from_u64(seed);
    let fleet = start_fleet(size, &mut random).await;
    let drill = Return::draw(&mut random);
    let first = fleet.current_window();
    let copy = fleet.platform.copy();
    sleep(drill.copy_age).await;
    let holder_before = fleet.holder();
    fleet.drill(&copy, drill.away).await;
    let following = fleet.following_source();
    sleep(WINDOW * 5).await;
    check_rules(&fleet.platform.accepted_calls());
    SeedOutcome {
        size,
        seed,
        did_follow_source: following.contains(&holder_before),
        holder_before,
        holder_after: fleet.holder(),
        acted: holders_that_acted(&fleet),
        missed: fleet.missed_windows(first),
    }
}

/// The last holder takes the duties again and knows what it submitted, so no window need be left
/// out. In a tree the last holder may have found a parent while the store was away, and isn't a
/// candidate as long as it follows it: another daemon, which doesn't know what was submitted, took
/// the duties.
#[test]
fn no_window_is_left_out_when_the_store_comes_back_from_a_copy_to_a_tree_of_daemons() {
    let mut failed = Vec::new();
    let fleets = fleets();
    let count = fleets.len();
    for (size, seed) in fleets {
        run_on_virtual_clock(async {
            let outcome = return_from_copy(size, seed).await;
            if outcome.missed != MissedWindows::default() {
                failed.push(outcome);
            }
        });
    }
    assert!(
        failed.is_empty(),
        "windows were missed with {} of {count} seeds: {failed:#?}",
        failed.len()
    );
}

/// The holder that knows what was submitted is lost during the return. A successor leaves out what
/// may have been submitted, and no more: the windows that were open or due then.
#[test]
fn a_holder_killed_during_a_return_costs_at_most_the_windows_that_were_open_then() {
    let mut failed = Vec::new();
    let fleets = fleets();
    let count = fleets.len();
    for (size, seed) in fleets {
        run_on_virtual_clock(async {
            let mut random = Pcg32::seed_from_u64(1_000 + seed);
            let mut fleet = start_fleet(size, &mut random).await;
            let drill = Return::draw(&mut random);
            let first = fleet.current_window();
            let copy = fleet.platform.copy();
            sleep(drill.copy_age).await;
            let holder = fleet.holder();
            let killed_after = Duration::from_millis(random.random_range(0..2_000));
            let begun_ms = fleet.platform.time_of_day().0;
            let platform = fleet.platform.clone();
            let away = drill.away;
            let returning = tokio::spawn(async move {
                platform.set_silent(true);
                sleep(away).await;
                platform.come_back_from(&copy);
                platform.set_silent(false);
            });
            sleep(killed_after).await;
            fleet.kill(&holder);
            sleep(Duration::from_millis(random.random_range(500..4_000))).await;
            fleet.start_daemon(&holder, 0);
            returning.await.unwrap();
            sleep(WINDOW * 6).await;
            check_rules(&fleet.platform.accepted_calls());
            let missed = fleet.missed_windows(first);
            let taken_ms = begun_ms + away.max(killed_after).as_millis() as u64 + TAKEN_AFTER_MS;
            let width_ms = WINDOW.as_millis() as u64;
            let may_be_left_out = |window: u64| {
                let (from_ms, until_ms) = (window * width_ms, (window + 1) * width_ms);
                from_ms <= taken_ms && until_ms + SUBMITTED_AFTER_MS >= begun_ms
            };
            let surplus: BTreeSet<u64> = missed
                .left_out
                .iter()
                .copied()
                .filter(|window| !may_be_left_out(*window))
                .collect();
            if !surplus.is_empty() || !missed.late.is_empty() {
                failed.push((size, seed, holder, begun_ms, surplus, missed));
            }
        });
    }
    assert!(
        failed.is_empty(),
        "with {} of {count} seeds: {failed:#?}",
        failed.len()
    );
}

//! Behaviour of the tree of daemons at the size of a fleet, on a virtual clock: time until all are
//! fresh after a start and after all were killed, the oldest proof during faults, polls of the
//! source.
//!
//! `cargo bench -p bridgevane-gateway --bench follow_tree` prints the table of docs/CAPACITY.md.
//! Reading states takes no time here; the benchmark `fleet_state` measures that.
#![allow(missing_docs)]

#[path = "../tests/support/tree_sim/mod.rs"]
#[allow(dead_code)]
mod tree_sim;

use tree_sim::{Fleet, PROOF_LIFETIME};

/// The number of daemons, in five data centres.
const SIZES: [usize; 3] = [300, 985, 1_970];
const SEEDS: usize = 3;
const SAMPLE_INTERVAL_MS: u64 = 50;
/// The longest wait for a fleet to be fresh.
const MAX_WAIT_MS: u64 = 60_000;

fn fleet(daemons: usize, seed: u64) -> Fleet {
    Fleet::new(&[daemons / 5; 5], SEEDS, seed)
}

/// Returns the time until all daemons are fresh, or [`MAX_WAIT_MS`] if they aren't by then.
fn until_fresh_ms(fleet: &mut Fleet) -> u64 {
    let all = fleet.all();
    let started_at = fleet.now;
    while fleet.now - started_at < MAX_WAIT_MS {
        fleet.run(SAMPLE_INTERVAL_MS);
        let oldest = fleet.oldest_proof(&all);
        if oldest.is_some_and(|age_ms| age_ms < PROOF_LIFETIME.0) {
            break;
        }
    }
    fleet.now - started_at
}

/// Returns the oldest proof that any of these daemons had in this time.
fn oldest_proof_during_ms(fleet: &mut Fleet, daemons: &[usize], for_ms: u64) -> u64 {
    let samples = (0..for_ms / SAMPLE_INTERVAL_MS).map(|_| {
        fleet.run(SAMPLE_INTERVAL_MS);
        fleet.oldest_proof(daemons).unwrap_or(u64::MAX)
    });
    samples.max().unwrap_or(0)
}

fn main() {
    println!(
        "daemons | all fresh after a start, ms | depth | oldest proof in calm, ms | source calls in 10 s of calm | oldest \
         while the source turns 35 in 100 away, ms | others' calls then | oldest while a data centre is cut, ms | \
         all fresh after all were killed, ms"
    );
    for daemons in SIZES {
        for seed in 1..=2 {
            println!("{}", row(daemons, seed));
        }
    }
}

fn row(daemons: usize, seed: u64) -> String {
    let mut fleet = fleet(daemons, seed);
    let start_ms = until_fresh_ms(&mut fleet);
    fleet.run(10_000);
    let all = fleet.all();
    let calls_before = fleet.source_polls.len();
    let calm_ms = oldest_proof_during_ms(&mut fleet, &all, 10_000);
    let calm_calls = fleet.source_polls.len() - calls_before;
    let depth = fleet.depth();
    for at in &all {
        fleet.is_served[*at] = at % 20 >= 7;
    }
    let from_s = fleet.now / 1_000;
    let turned_away_ms = oldest_proof_during_ms(&mut fleet, &all, 9_000);
    let others_calls = fleet.polls_by_non_seeds_since(from_s);
    fleet.is_served.fill(true);
    fleet.run(5_000);
    for at in fleet.in_data_centre(0) {
        fleet.partition[at] = 1;
        // The source is in the other partition.
        fleet.is_served[at] = false;
    }
    let others: Vec<usize> = all
        .iter()
        .copied()
        .filter(|at| fleet.partition[*at] == 0)
        .collect();
    let cut_ms = oldest_proof_during_ms(&mut fleet, &others, 6_000);
    fleet.partition.fill(0);
    fleet.is_served.fill(true);
    fleet.run(5_000);
    for at in &all {
        fleet.kill(*at);
    }
    fleet.run(900);
    fleet.restart_dead();
    let killed_ms = until_fresh_ms(&mut fleet);
    format!(
        "{daemons} | {start_ms} | {depth} | {calm_ms} | {calm_calls} | {turned_away_ms} | {others_calls} | {cut_ms} | {killed_ms}"
    )
}

//! Tests of the duties under faults, on a virtual clock: holders that are killed, cut off from the
//! store, from the platform or from both, lost and late responses, a silent store, and leases that
//! it ends early.
//!
//! The platform's rules, which hold in every order of faults:
//! - no window is submitted twice with different counts;
//! - no two daemons act under one fencing token, and no token is lower than one before it;
//! - within one lease no daemon acts, is followed by another, and acts again.
//!
//! After the faults, usage is submitted in time again.

mod support;

#[path = "support/duty_sim/mod.rs"]
#[allow(dead_code)]
mod duty_sim;

use duty_sim::{
    AcceptedCall, Daemon, LEASE, LinkFaults, SimulatedPlatform, check_rules, run_on_virtual_clock,
    start_daemon,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The number of seeds, for a run of some 20 s; `DUTY_SEEDS` overrides it.
const SEEDS: u64 = 120;
/// The number of kinds of faults at daemons and at the store.
const FAULT_KINDS: u32 = 9;
/// The same, with suspensions of a daemon's VM.
const FAULT_KINDS_WITH_SUSPENSION: u32 = 10;
/// The same, with a store that comes back from a copy, at once or after a second without answers.
const FAULT_KINDS_WITH_COPIES: u32 = 14;
/// How many of the newest steps a copy may be old.
const COPY_STEPS: usize = 4;
/// Steps of one seed, each the start or end of a fault.
const STEPS: usize = 14;
/// The longest time until usage is submitted after a fault: a lease that expires, one that a
/// successor waits, the time until an incomplete window is submitted, and some seconds of calls.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(25);

/// Returns the time from `since` until usage is submitted; panics after `limit`.
async fn time_until_submission(
    platform: &SimulatedPlatform,
    since: Instant,
    limit: Duration,
) -> Duration {
    while Instant::now() - since < limit {
        let calls = platform.accepted_calls();
        let is_new_usage = |call: &AcceptedCall| call.at > since && call.usage.is_some();
        if calls.iter().any(is_new_usage) {
            return Instant::now() - since;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!(
        "no usage was submitted for {limit:?}; holder {:?}",
        platform.holder()
    );
}

/// Without faults no window may be skipped, submitted twice or submitted late.
#[test]
fn every_window_is_submitted_exactly_once() {
    run_on_virtual_clock(async {
        let platform = SimulatedPlatform::new();
        let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start_daemon(&platform, vm, 0));
        sleep(Duration::from_secs(62)).await;
        let calls = platform.accepted_calls();
        check_rules(&calls);
        let usage = calls.iter().filter_map(|call| call.usage.as_ref());
        let windows: Vec<u64> = usage.map(|usage| usage.window.0).collect();
        let first = windows[0];
        let expected: Vec<u64> = (first..first + windows.len() as u64).collect();
        assert_eq!(windows, expected);
        assert!(windows.len() >= 11, "{windows:?}");
    });
}

/// A successor must submit the window of a killed holder within its deadline, but not before the
/// earlier lease has expired.
#[test]
fn a_killed_holder_is_replaced_in_time_for_the_window_that_is_due() {
    run_on_virtual_clock(async {
        for round in 0..20 {
            let platform = SimulatedPlatform::new();
            let mut daemons =
                ["vm-a", "vm-b", "vm-c"].map(|vm| Some(start_daemon(&platform, vm, round)));
            sleep(Duration::from_millis(12_000 + 250 * round)).await;
            let holder = platform.holder().expect("a holder");
            let killed = daemons.iter_mut().find(|daemon| {
                let daemon = daemon.as_ref();
                daemon.is_some_and(|daemon| daemon.vm == holder)
            });
            drop(killed.and_then(Option::take));
            let before = Instant::now();
            // A window ends, the lease expires, the successor waits for another, the next window
            // ends.
            let took = time_until_submission(&platform, before, Duration::from_secs(13)).await;
            assert_ne!(platform.holder(), Some(holder));
            check_rules(&platform.accepted_calls());
            assert!(took > LEASE, "{took:?}");
        }
    });
}

/// The store ends the holder's lease early while the holder can't reach it, so the holder doesn't
/// know.
#[test]
fn a_lease_that_ends_early_never_lets_two_holders_interleave() {
    run_on_virtual_clock(async {
        for round in 0..30 {
            let platform = SimulatedPlatform::new();
            let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start_daemon(&platform, vm, round));
            sleep(Duration::from_millis(9_000 + 170 * round)).await;
            let holder = platform.holder().expect("a holder");
            platform.set_faults(
                &holder,
                LinkFaults {
                    store_cut: true,
                    ..LinkFaults::default()
                },
            );
            platform.expire_all_leases();
            sleep(Duration::from_secs(20)).await;
            check_rules(&platform.accepted_calls());
        }
    });
}

/// A holder whose lease ended early had to wait as long as every other candidate, so that another
/// daemon took over and waited for a lease of its own.
#[test]
fn the_last_holder_takes_the_duties_again_when_its_lease_ended_early() {
    run_on_virtual_clock(async {
        for round in 0..20 {
            let platform = SimulatedPlatform::new();
            let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start_daemon(&platform, vm, round));
            sleep(Duration::from_millis(9_000 + 170 * round)).await;
            let holder = platform.holder();
            platform.expire_all_leases();
            sleep(Duration::from_secs(2)).await;
            assert_eq!(platform.holder(), holder);
            check_rules(&platform.accepted_calls());
        }
    });
}

/// A holder that can reach the store but not the platform would otherwise keep the duties without
/// acting.
#[test]
fn a_holder_that_cannot_reach_the_platform_is_replaced() {
    run_on_virtual_clock(async {
        let platform = SimulatedPlatform::new();
        let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start_daemon(&platform, vm, 0));
        sleep(Duration::from_secs(8)).await;
        let holder = platform.holder().expect("a holder");
        platform.set_faults(
            &holder,
            LinkFaults {
                platform_cut: true,
                ..LinkFaults::default()
            },
        );
        let cut_at = Instant::now();
        let took = time_until_submission(&platform, cut_at, Duration::from_secs(20)).await;
        assert_ne!(platform.holder(), Some(holder), "{took:?}");
        check_rules(&platform.accepted_calls());
    });
}

/// A suspended VM doesn't see time pass on its monotonic clock: when it resumes, its lease is over
/// and a successor acts, and the daemon must detect that.
#[test]
fn a_holder_that_resumes_from_a_suspension_acts_no_more() {
    run_on_virtual_clock(async {
        for round in 0..20 {
            let platform = SimulatedPlatform::new();
            let daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start_daemon(&platform, vm, round));
            sleep(Duration::from_millis(9_000 + 210 * round)).await;
            let holder = platform.holder().expect("a holder");
            let suspended = daemons.iter().find(|daemon| daemon.vm == holder);
            let suspended = suspended.expect("a running holder");
            let time = Duration::from_millis(2_000 + 400 * round);
            suspended.suspend(&platform, time).await;
            sleep(Duration::from_secs(12)).await;
            check_rules(&platform.accepted_calls());
        }
    });
}

/// Runs one seed: faults at daemons and the store start and end at random times.
async fn run_seed(seed: u64, faults: u32) {
    let mut random = Pcg32::seed_from_u64(seed);
    let platform = SimulatedPlatform::new();
    let names = ["vm-a", "vm-b", "vm-c"];
    let mut daemons: HashMap<&str, Daemon> = HashMap::new();
    for vm in names {
        daemons.insert(vm, start_daemon(&platform, vm, seed));
    }
    sleep(Duration::from_secs(7)).await;
    let mut copies = Vec::new();
    for step in 0..STEPS {
        copies.push(platform.copy());
        let oldest = copies.len().saturating_sub(COPY_STEPS);
        let holder = platform.holder();
        let random_vm = names[random.random_range(0..names.len())];
        // Faults affect the holder more often than other daemons.
        let vm = names.into_iter().find(|vm| Some(*vm) == holder.as_deref());
        let vm = if random.random_ratio(2, 3) {
            vm.unwrap_or(random_vm)
        } else {
            random_vm
        };
        match random.random_range(0..faults) {
            0 => drop(daemons.remove(vm)),
            1 => {
                let store_cut = LinkFaults {
                    store_cut: true,
                    ..LinkFaults::default()
                };
                platform.set_faults(vm, store_cut);
            }
            2 => {
                let delay = Duration::from_millis(random.random_range(0..4_000));
                platform.set_faults(
                    vm,
                    LinkFaults {
                        answers_lost: Some(delay),
                        ..LinkFaults::default()
                    },
                );
            }
            3 => platform.set_faults(
                vm,
                LinkFaults {
                    platform_cut: true,
                    ..LinkFaults::default()
                },
            ),
            4 => platform.set_silent(true),
            5 => platform.set_silent(false),
            6 => platform.expire_all_leases(),
            7 => platform.set_faults(vm, LinkFaults::default()),
            10 | 11 => {
                platform.set_silent(true);
                sleep(Duration::from_secs(1)).await;
                platform.come_back_from(&copies[random.random_range(oldest..copies.len())]);
                platform.set_silent(false);
            }
            12 | 13 => {
                platform.come_back_from(&copies[random.random_range(oldest..copies.len())]);
            }
            9 => {
                let time = Duration::from_millis(random.random_range(500..9_000));
                if let Some(daemon) = daemons.get(vm) {
                    daemon.suspend(&platform, time).await;
                }
            }
            _ => {
                daemons
                    .entry(vm)
                    .or_insert_with(|| start_daemon(&platform, vm, seed + step as u64));
            }
        }
        sleep(Duration::from_millis(random.random_range(10..3_500))).await;
    }
    platform.set_silent(false);
    for vm in names {
        platform.set_faults(vm, LinkFaults::default());
        daemons
            .entry(vm)
            .or_insert_with(|| start_daemon(&platform, vm, seed + 99));
    }
    let healed_at = Instant::now();
    time_until_submission(&platform, healed_at, MAX_RECOVERY_TIME).await;
    check_rules(&platform.accepted_calls());
}

/// Searches random orders of faults for a broken rule.
#[test]
fn no_order_of_faults_breaks_a_rule_and_usage_is_submitted_again_after_them() {
    let seeds_variable = std::env::var("DUTY_SEEDS").ok();
    let seeds = seeds_variable.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    for seed in 0..seeds {
        run_on_virtual_clock(async {
            run_seed(seed, FAULT_KINDS).await;
        });
    }
}

/// The same, with suspensions of a daemon's VM.
#[test]
fn no_order_of_faults_and_suspensions_breaks_a_rule() {
    for seed in 0..SEEDS {
        run_on_virtual_clock(async {
            run_seed(seed, FAULT_KINDS_WITH_SUSPENSION).await;
        });
    }
}

/// The same, with a store that comes back from copies of some seconds before.
#[test]
fn no_order_of_faults_and_returns_from_copies_breaks_a_rule() {
    for seed in 0..SEEDS {
        run_on_virtual_clock(async {
            run_seed(seed, FAULT_KINDS_WITH_COPIES).await;
        });
    }
}

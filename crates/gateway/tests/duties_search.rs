//! The duties under faults, on a virtual clock: holders that are killed, cut off from the store, from
//! the platform or from both, lost and late answers, a silent store, and leases that it ends early.
//!
//! The platform's rules, which hold in every order:
//! - no window is told twice with different counts;
//! - no two daemons act under one fence, and no fence is lower than one before it;
//! - within one lease no daemon acts, is followed by another, and acts again.
//!
//! And when faults are over, usage is told in time again.

mod support;

#[path = "support/duty_sim/mod.rs"]
#[allow(dead_code)]
mod duty_sim;

use bridgevane_gateway::decisions::duties::duty_state::WindowUsage;
use duty_sim::{Daemon, LEASE, Link, Taken, World};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Seeds of the search. Chosen so that it takes some 20 s; `DUTY_SEEDS` gives another number.
const SEEDS: u64 = 120;
/// Kinds of faults at daemons and at the store.
const FAULTS: u32 = 9;
/// The same, and daemons whose VM is suspended.
const FAULTS_AND_SUSPENSION: u32 = 10;
/// Steps of one seed, each a fault or its end.
const STEPS: usize = 14;
/// The longest time that usage may take after a fault: a lease that runs out, one that a successor
/// waits, the time until a window is told that isn't complete, and some seconds of calls.
const SETTLED_AFTER: Duration = Duration::from_secs(25);

fn check_rules(taken: &[Taken]) {
    let mut counts: HashMap<u64, &WindowUsage> = HashMap::new();
    for usage in taken.iter().filter_map(|call| call.usage.as_ref()) {
        let first = *counts.entry(usage.window.0).or_insert(usage);
        assert_eq!(first, usage, "a window was told in two ways");
    }
    let is_usage = |call: &&Taken| call.usage.is_some();
    let (usage, orders): (Vec<&Taken>, Vec<&Taken>) = taken.iter().partition(is_usage);
    check_holders(&usage);
    check_holders(&orders);
}

/// Checks the calls of one duty.
fn check_holders(taken: &[&Taken]) {
    for (at, call) in taken.iter().enumerate() {
        for earlier in &taken[..at] {
            assert!(earlier.fence <= call.fence, "{call:?} after {earlier:?}");
            let is_same = earlier.vm == call.vm;
            assert!(
                is_same || earlier.fence != call.fence,
                "{call:?}, {earlier:?}"
            );
        }
        check_not_interleaved(&taken[..at], call);
    }
}

/// Within one lease: another daemon's call between two of this one's.
fn check_not_interleaved(before: &[&Taken], call: &Taken) {
    let recent = before
        .iter()
        .filter(|earlier| call.at - earlier.at <= LEASE);
    let own = recent.clone().position(|earlier| earlier.vm == call.vm);
    let Some(own) = own else {
        return;
    };
    let between = recent.skip(own).find(|earlier| earlier.vm != call.vm);
    assert!(between.is_none(), "{call:?} after {between:?}");
}

/// Starts virtual time.
fn on_virtual_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

fn start(world: &World, vm: &str, life: u64) -> Daemon {
    // Daemons see different work, so that two of them never count alike by chance.
    let own = vm.bytes().map(u64::from).sum::<u64>() % 7;
    Daemon::start(world, vm, Duration::from_millis(40 + 11 * own + life % 5))
}

async fn until_told(world: &World, since: Instant, limit: Duration) -> Duration {
    while Instant::now() - since < limit {
        let told = world.taken();
        let is_new_usage = |call: &Taken| call.at > since && call.usage.is_some();
        if told.iter().any(is_new_usage) {
            return Instant::now() - since;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!(
        "no usage was told for {limit:?}; holder {:?}",
        world.holder()
    );
}

#[test]
fn every_window_is_submitted_exactly_once() {
    on_virtual_clock(async {
        let world = World::new();
        let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start(&world, vm, 0));
        sleep(Duration::from_secs(62)).await;
        let told = world.taken();
        check_rules(&told);
        let usage = told.iter().filter_map(|call| call.usage.as_ref());
        let windows: Vec<u64> = usage.map(|usage| usage.window.0).collect();
        let first = windows[0];
        let expected: Vec<u64> = (first..first + windows.len() as u64).collect();
        assert_eq!(windows, expected);
        assert!(windows.len() >= 11, "{windows:?}");
    });
}

#[test]
fn a_killed_holder_is_replaced_in_time_for_the_window_that_is_due() {
    on_virtual_clock(async {
        for life in 0..20 {
            let world = World::new();
            let mut daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| Some(start(&world, vm, life)));
            sleep(Duration::from_millis(12_000 + 250 * life)).await;
            let holder = world.holder().expect("a holder");
            let killed = daemons.iter_mut().find(|daemon| {
                let daemon = daemon.as_ref();
                daemon.is_some_and(|daemon| daemon.vm == holder)
            });
            drop(killed.and_then(Option::take));
            let before = Instant::now();
            // A window ends, a lease runs out, the successor waits another, the next one ends.
            let took = until_told(&world, before, Duration::from_secs(13)).await;
            assert_ne!(world.holder(), Some(holder));
            check_rules(&world.taken());
            assert!(took > LEASE, "{took:?}");
        }
    });
}

/// The store ends the holder's lease early while it is silent; the holder believes in it.
#[test]
fn a_lease_that_ends_early_never_lets_two_holders_interleave() {
    on_virtual_clock(async {
        for step in 0..30 {
            let world = World::new();
            let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start(&world, vm, step));
            sleep(Duration::from_millis(9_000 + 170 * step)).await;
            let holder = world.holder().expect("a holder");
            world.link(
                &holder,
                Link {
                    store_cut: true,
                    ..Link::default()
                },
            );
            world.end_all_leases();
            sleep(Duration::from_secs(20)).await;
            check_rules(&world.taken());
        }
    });
}

#[test]
fn a_holder_that_cannot_reach_the_platform_is_replaced() {
    on_virtual_clock(async {
        let world = World::new();
        let _daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start(&world, vm, 0));
        sleep(Duration::from_secs(8)).await;
        let holder = world.holder().expect("a holder");
        world.link(
            &holder,
            Link {
                platform_cut: true,
                ..Link::default()
            },
        );
        let cut_at = Instant::now();
        let took = until_told(&world, cut_at, Duration::from_secs(20)).await;
        assert_ne!(world.holder(), Some(holder), "{took:?}");
        check_rules(&world.taken());
    });
}

/// A VM that is suspended doesn't see time pass on its steady clock: when it wakes, its lease is over, a
/// successor acts, and it must know.
#[test]
fn a_holder_that_resumes_from_a_suspension_acts_no_more() {
    on_virtual_clock(async {
        for step in 0..20 {
            let world = World::new();
            let daemons = ["vm-a", "vm-b", "vm-c"].map(|vm| start(&world, vm, step));
            sleep(Duration::from_millis(9_000 + 210 * step)).await;
            let holder = world.holder().expect("a holder");
            let suspended = daemons.iter().find(|daemon| daemon.vm == holder);
            let suspended = suspended.expect("it runs");
            let time = Duration::from_millis(2_000 + 400 * step);
            suspended.suspend(&world, time).await;
            sleep(Duration::from_secs(12)).await;
            check_rules(&world.taken());
        }
    });
}

/// One seed: faults at daemons and the store begin and end at random moments.
async fn play(seed: u64, faults: u32) {
    let mut random = Pcg32::seed_from_u64(seed);
    let world = World::new();
    let names = ["vm-a", "vm-b", "vm-c"];
    let mut daemons: HashMap<&str, Daemon> = HashMap::new();
    for vm in names {
        daemons.insert(vm, start(&world, vm, seed));
    }
    sleep(Duration::from_secs(7)).await;
    for step in 0..STEPS {
        let holder = world.holder();
        let drawn = names[random.random_range(0..names.len())];
        // Faults strike the holder more often than others.
        let vm = names.into_iter().find(|vm| Some(*vm) == holder.as_deref());
        let vm = if random.random_ratio(2, 3) {
            vm.unwrap_or(drawn)
        } else {
            drawn
        };
        match random.random_range(0..faults) {
            0 => drop(daemons.remove(vm)),
            1 => {
                let store_cut = Link {
                    store_cut: true,
                    ..Link::default()
                };
                world.link(vm, store_cut);
            }
            2 => {
                let later = Duration::from_millis(random.random_range(0..4_000));
                world.link(
                    vm,
                    Link {
                        answers_lost: Some(later),
                        ..Link::default()
                    },
                );
            }
            3 => world.link(
                vm,
                Link {
                    platform_cut: true,
                    ..Link::default()
                },
            ),
            4 => world.silence(true),
            5 => world.silence(false),
            6 => world.end_all_leases(),
            7 => world.link(vm, Link::default()),
            9 => {
                let time = Duration::from_millis(random.random_range(500..9_000));
                if let Some(daemon) = daemons.get(vm) {
                    daemon.suspend(&world, time).await;
                }
            }
            _ => {
                daemons
                    .entry(vm)
                    .or_insert_with(|| start(&world, vm, seed + step as u64));
            }
        }
        sleep(Duration::from_millis(random.random_range(10..3_500))).await;
    }
    world.silence(false);
    for vm in names {
        world.link(vm, Link::default());
        daemons
            .entry(vm)
            .or_insert_with(|| start(&world, vm, seed + 99));
    }
    let healed_at = Instant::now();
    until_told(&world, healed_at, SETTLED_AFTER).await;
    check_rules(&world.taken());
}

#[test]
fn no_order_of_faults_breaks_a_rule_and_usage_is_submitted_again_after_them() {
    let asked = std::env::var("DUTY_SEEDS").ok();
    let seeds = asked.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    for seed in 0..seeds {
        on_virtual_clock(async {
            play(seed, FAULTS).await;
        });
    }
}

#[test]
fn no_order_of_faults_and_suspensions_breaks_a_rule() {
    for seed in 0..SEEDS {
        on_virtual_clock(async {
            play(seed, FAULTS_AND_SUSPENSION).await;
        });
    }
}

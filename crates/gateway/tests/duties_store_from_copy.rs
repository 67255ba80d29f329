//! Tests of the duties when a holder takes them again, and when the store comes back from a copy, on
//! a virtual clock: three daemons report their usage to the holder, which submits it.
//!
//! The store is away for a second, then has the state of some seconds before: what was written
//! since is gone, leases too, and revisions and lease ids are given out again.

mod support;

#[path = "support/duty_sim/mod.rs"]
#[allow(dead_code)]
mod duty_sim;

use bridgevane_types::DurationMs;
use duty_sim::{
    Daemon, LinkFaults, SimulatedPlatform, StoreCopy, WINDOW, check_one_holder_at_a_time,
    check_rules, run_on_virtual_clock, start_daemon,
};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

const VMS: [&str; 3] = ["vm-a", "vm-b", "vm-c"];
/// How much older than the store a copy is.
const COPY_AGE: Duration = Duration::from_millis(6_000);
/// How long the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(1_000);
/// The times of a drill within a window, in steps of `ROUND_STEP`.
const ROUNDS: u32 = 10;
const ROUND_STEP: Duration = Duration::from_millis(500);
/// By how much of a window's requests its usage may be off.
const MAX_ERROR: f64 = 0.05;

/// A fleet of three daemons.
struct Fleet {
    platform: SimulatedPlatform,
    daemons: BTreeMap<&'static str, Daemon>,
    starts: u64,
}

impl Fleet {
    /// Starts a fleet; it has submitted two windows or more when this returns.
    async fn start(round: u32) -> Self {
        let platform = SimulatedPlatform::new();
        let mut fleet = Self {
            platform,
            daemons: BTreeMap::new(),
            starts: 0,
        };
        VMS.into_iter().for_each(|vm| fleet.start_daemon(vm));
        sleep(Duration::from_secs(12) + ROUND_STEP * round).await;
        fleet
    }

    fn start_daemon(&mut self, vm: &'static str) {
        self.starts += 1;
        let daemon = start_daemon(&self.platform, vm, self.starts);
        self.daemons.insert(vm, daemon);
    }

    /// Starts a daemon whose time of day is behind, in place of the one on this VM.
    fn start_daemon_behind(&mut self, vm: &'static str, behind: DurationMs) {
        self.kill(vm);
        let interval = Duration::from_millis(70);
        let daemon = Daemon::start_with_clock(&self.platform, vm, interval, behind);
        self.daemons.insert(vm, daemon);
    }

    fn kill(&mut self, vm: &str) {
        self.daemons.remove(vm);
    }

    fn holder(&self) -> &'static str {
        let holder = self.platform.holder().expect("a holder");
        let mut names = VMS.into_iter();
        names.find(|vm| *vm == holder).expect("a daemon")
    }

    /// Takes the store away, and brings it back from a copy.
    async fn drill(&self, copy: &StoreCopy) {
        self.platform.set_silent(true);
        sleep(AWAY).await;
        self.platform.come_back_from(copy);
        self.platform.set_silent(false);
    }

    /// Returns a copy that is `COPY_AGE` old when this returns.
    async fn aged_copy(&self) -> StoreCopy {
        let copy = self.platform.copy();
        sleep(COPY_AGE).await;
        copy
    }

    /// Asserts that the platform got one set of counts for each window.
    fn check(&self) {
        check_rules(&self.platform.accepted_calls());
    }

    /// Returns the windows that the platform got, with the number of their requests.
    fn submitted(&self) -> BTreeMap<u64, u64> {
        let calls = self.platform.accepted_calls().into_iter();
        let usage = calls.filter_map(|call| call.usage);
        usage
            .map(|usage| (usage.window.0, usage.counts.total()))
            .collect()
    }

    /// Asserts that all windows from the first to the last submitted one were submitted, and that
    /// all but the first have as many requests as another one.
    fn check_no_requests_missing(&self) {
        let submitted = self.submitted();
        let (first, last) = (
            *submitted.keys().next().expect("a window"),
            *submitted.keys().next_back().expect("a window"),
        );
        let usual = submitted.values().max().expect("a window");
        for window in first + 1..=last {
            let requests = submitted.get(&window).copied().unwrap_or(0);
            let error = 1.0 - requests as f64 / *usual as f64;
            assert!(
                error <= MAX_ERROR,
                "{window}: {requests} of {usual}, {submitted:?}"
            );
        }
    }
}

/// The store came back from a copy, and its holder submitted windows again that only the lost part
/// of the state listed, with the counts that had reached its new session.
#[test]
fn a_holder_submits_no_window_differently_after_the_store_came_back_from_a_copy() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            fleet.drill(&copy).await;
            sleep(WINDOW * 4).await;
            fleet.check();
            fleet.check_no_requests_missing();
        }
    });
}

/// A daemon's replica may learn of the return later than those of others, since it follows another
/// daemon. Another daemon took the duties then, and left out windows that were due.
#[test]
fn the_last_holder_continues_after_a_return_from_a_copy_though_its_replica_is_behind() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            let holder = fleet.holder();
            let behind = LinkFaults {
                source_cut: true,
                ..LinkFaults::default()
            };
            fleet.platform.set_faults(holder, behind);
            fleet.drill(&copy).await;
            sleep(Duration::from_millis(1_500)).await;
            fleet.platform.set_faults(holder, LinkFaults::default());
            sleep(WINDOW * 4).await;
            fleet.check();
            fleet.check_no_requests_missing();
        }
    });
}

/// The next holder is another daemon or another process, which knows nothing of what was submitted
/// before the store came back; the counts of the killed one are gone.
#[test]
fn a_successor_submits_no_window_differently_after_the_store_came_back_from_a_copy() {
    run_on_virtual_clock(async {
        let moments = [Duration::ZERO, AWAY / 2, AWAY + Duration::from_millis(500)];
        for (round, killed_after) in (0..ROUNDS).zip(moments.into_iter().cycle()) {
            let mut fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            let holder = fleet.holder();
            let platform = fleet.platform.clone();
            let drill = tokio::spawn(async move {
                platform.set_silent(true);
                sleep(AWAY).await;
                platform.come_back_from(&copy);
                platform.set_silent(false);
            });
            sleep(killed_after).await;
            fleet.kill(holder);
            sleep(Duration::from_millis(800)).await;
            fleet.start_daemon(holder);
            drill.await.unwrap();
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// A successor took the duties some seconds after the return, and left out windows that began after
/// it, which no earlier holder can have stored.
#[test]
fn a_successor_submits_the_window_after_the_one_that_was_open_at_the_return_from_a_copy() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let mut fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            fleet.kill(fleet.holder());
            fleet.drill(&copy).await;
            let next = fleet.platform.window_now() + 1;
            sleep(WINDOW * 5).await;
            fleet.check();
            let submitted = fleet.submitted();
            assert!(submitted.contains_key(&next), "{next}: {submitted:?}");
        }
    });
}

/// The successor's time of day is behind, so that a window that was submitted seems to be still
/// open; the other daemons know its number from the holder before.
#[test]
fn a_successor_whose_clock_is_behind_submits_no_window_differently() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let mut fleet = Fleet::start(round).await;
            let holder = fleet.holder();
            for vm in VMS.into_iter().filter(|vm| *vm != holder) {
                fleet.start_daemon_behind(vm, DurationMs(12_000));
            }
            sleep(WINDOW * 4).await;
            let copy = fleet.aged_copy().await;
            let holder = fleet.holder();
            fleet.kill(holder);
            fleet.drill(&copy).await;
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// A holder that is frozen while the store comes back submits what it stored before, and doesn't
/// know of its successor.
#[test]
fn a_holder_frozen_during_the_return_from_a_copy_submits_no_window_differently() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            let frozen = &fleet.daemons[fleet.holder()];
            let freeze = frozen.suspend(&fleet.platform, Duration::from_secs(4));
            tokio::join!(freeze, fleet.drill(&copy));
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// A holder that can't reach the store doesn't know that it came back, and may act by its own clock
/// for the rest of its lease.
#[test]
fn a_holder_cut_off_from_the_store_that_came_back_never_acts_beside_its_successor() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            let holder = fleet.holder();
            let cut = LinkFaults {
                store_cut: true,
                ..LinkFaults::default()
            };
            fleet.platform.set_faults(holder, cut);
            fleet.platform.come_back_from(&copy);
            sleep(Duration::from_secs(8)).await;
            fleet.platform.set_faults(holder, LinkFaults::default());
            sleep(WINDOW * 3).await;
            fleet.check();
        }
    });
}

/// The store returns between the write that stores a window and the call that submits it, which
/// waits for a platform that isn't reached: the holder submits the window, a successor must not.
#[test]
fn a_window_stored_before_a_return_from_a_copy_and_submitted_after_it_is_submitted_once() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let mut fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            let holder = fleet.holder();
            let cut = LinkFaults {
                platform_cut: true,
                ..LinkFaults::default()
            };
            fleet.platform.set_faults(holder, cut);
            // A window ends and is stored.
            sleep(Duration::from_millis(3_000) + ROUND_STEP * round).await;
            fleet.platform.come_back_from(&copy);
            if round % 2 == 0 {
                fleet.kill(holder);
            }
            sleep(Duration::from_millis(300)).await;
            fleet.platform.set_faults(holder, LinkFaults::default());
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// The second copy is of a time before the first return, so that the state of the era between them
/// is lost as well.
#[test]
fn two_returns_from_copies_in_a_row_lead_to_no_window_submitted_differently() {
    run_on_virtual_clock(async {
        let pauses_ms = [300, 2_000, 5_000, 8_000];
        for (round, pause_ms) in (0..ROUNDS).zip(pauses_ms.into_iter().cycle()) {
            let fleet = Fleet::start(round).await;
            let copy = fleet.aged_copy().await;
            fleet.drill(&copy).await;
            sleep(Duration::from_millis(pause_ms)).await;
            fleet.drill(&copy).await;
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// A copy from before the first holder has no state of the duties at all, like the store of a new
/// fleet.
#[test]
fn a_copy_without_a_state_leads_to_no_window_submitted_differently() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let platform = SimulatedPlatform::new();
            let copy = platform.copy();
            let mut fleet = Fleet {
                platform,
                daemons: BTreeMap::new(),
                starts: 0,
            };
            VMS.into_iter().for_each(|vm| fleet.start_daemon(vm));
            sleep(Duration::from_secs(12) + ROUND_STEP * round).await;
            let holder = fleet.holder();
            fleet.kill(holder);
            fleet.drill(&copy).await;
            fleet.start_daemon(holder);
            sleep(WINDOW * 5).await;
            fleet.check();
        }
    });
}

/// A new session of one process collected only what the other daemons had not reported to the
/// session before; here its lease ended early.
#[test]
fn a_holder_that_takes_the_duties_again_submits_the_counts_of_all_daemons() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let before = fleet.holder();
            fleet.platform.expire_all_leases();
            sleep(WINDOW * 3).await;
            fleet.check();
            assert_eq!(fleet.holder(), before);
            fleet.check_no_requests_missing();
        }
    });
}

/// The store gave out the lease's number and the revisions of its holder again, so that a holder
/// that couldn't reach it for a moment renewed its successor's lease, and wrote over its state.
#[test]
fn a_holder_whose_lease_number_was_given_out_again_acts_no_more() {
    run_on_virtual_clock(async {
        for round in 0..ROUNDS {
            let fleet = Fleet::start(round).await;
            let copy = fleet.platform.copy();
            // The holder takes the duties again, under a lease that the copy doesn't have.
            fleet.platform.expire_all_leases();
            sleep(Duration::from_secs(2)).await;
            let holder = fleet.holder();
            let cut = LinkFaults {
                store_cut: true,
                ..LinkFaults::default()
            };
            fleet.platform.set_faults(holder, cut);
            fleet.platform.come_back_from(&copy);
            sleep(Duration::from_millis(2_200)).await;
            fleet.platform.set_faults(holder, LinkFaults::default());
            sleep(WINDOW * 4).await;
            check_one_holder_at_a_time(&fleet.platform.accepted_calls());
        }
    });
}

//! The platform's rules for the duties' calls, and how tests run.

use super::{AcceptedCall, Daemon, LEASE, SimulatedPlatform};
use bridgevane_gateway::decisions::duties::duty_state::WindowUsage;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Asserts the platform's rules for all accepted calls.
pub fn check_rules(calls: &[AcceptedCall]) {
    let mut counts: HashMap<u64, &WindowUsage> = HashMap::new();
    for usage in calls.iter().filter_map(|call| call.usage.as_ref()) {
        let first = *counts.entry(usage.window.0).or_insert(usage);
        assert_eq!(first, usage, "a window was submitted with different counts");
    }
    check_one_holder_at_a_time(calls);
}

/// Returns the windows that were submitted with different counts, each with the first call and the
/// first one that differs.
pub fn differing_windows(calls: &[AcceptedCall]) -> Vec<(AcceptedCall, AcceptedCall)> {
    let mut first_calls: BTreeMap<u64, &AcceptedCall> = BTreeMap::new();
    let mut differing = BTreeMap::new();
    for call in calls {
        let Some(usage) = &call.usage else {
            continue;
        };
        let first = *first_calls.entry(usage.window.0).or_insert(call);
        if first.usage != call.usage {
            let pair = (first.clone(), call.clone());
            differing.entry(usage.window.0).or_insert(pair);
        }
    }
    differing.into_values().collect()
}

/// Asserts that fencing tokens never fall, and that no holder acts beside another.
pub fn check_one_holder_at_a_time(calls: &[AcceptedCall]) {
    let is_usage = |call: &&AcceptedCall| call.usage.is_some();
    let (usage, orders): (Vec<&AcceptedCall>, Vec<&AcceptedCall>) =
        calls.iter().partition(is_usage);
    check_holders(&usage);
    check_holders(&orders);
}

/// Asserts the rules on holders for the calls of one duty.
fn check_holders(calls: &[&AcceptedCall]) {
    for (at, call) in calls.iter().enumerate() {
        for earlier in &calls[..at] {
            assert!(earlier.fence <= call.fence, "{call:?} after {earlier:?}");
            let is_same = earlier.vm == call.vm;
            assert!(
                is_same || earlier.fence != call.fence,
                "{call:?}, {earlier:?}"
            );
        }
        check_not_interleaved(&calls[..at], call);
    }
}

/// Asserts that within one lease no other daemon's call lies between two of this daemon's.
fn check_not_interleaved(before: &[&AcceptedCall], call: &AcceptedCall) {
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

/// Runs a test on virtual time.
pub fn run_on_virtual_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

pub fn start_daemon(platform: &SimulatedPlatform, vm: &str, variant: u64) -> Daemon {
    // Daemons see different work, so that two of them never have equal counts by chance.
    let own_offset = vm.bytes().map(u64::from).sum::<u64>() % 7;
    Daemon::start(
        platform,
        vm,
        Duration::from_millis(40 + 11 * own_offset + variant % 5),
    )
}

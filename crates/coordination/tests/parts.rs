//! Tests of configuration replicas, leases, key registry, call budgets and rollouts under failures.

use bridgevane_config::{Delta, SectionChange, Sections};
use bridgevane_coordination::configs::{CallBudgetConfig, KeyRegistryConfig};
use bridgevane_coordination::{
    CallBudget, CallKind, Claim, ConfigAnswer, ConfigReplica, HeldLease, KeyEnd, KeyMember,
    KeyRegistry, NotAccepted, Rollout, RolloutObservation, RolloutPlan, RolloutStage, StoredAnswer,
    Verdict, home_of,
};
use bridgevane_types::{
    ConfigVersion, DurationMs, FenceToken, Incarnation, RequestId, TimeMs, VmId,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn sections(version: u64) -> Sections {
    let entry = |at: u64| {
        (
            format!("customer.c{at}"),
            format!("limit = {}", version / (at + 1)),
        )
    };
    Sections((0..5).map(entry).collect())
}

fn delta(from: u64, to: u64) -> Delta {
    sections(from).delta_to(&sections(to), ConfigVersion(from), ConfigVersion(to))
}

/// Guards against replicas that differ after catching up by a combined delta.
#[test]
fn a_replica_applies_deltas_and_sends_others_the_missing_changes() {
    let mut replica = ConfigReplica::default();
    replica
        .accept_snapshot(ConfigVersion(1), sections(1))
        .expect("newer");
    for to in 2..6 {
        replica
            .accept_delta(delta(to - 1, to))
            .expect("the delta applies");
    }
    let mut behind = ConfigReplica::default();
    behind
        .accept_snapshot(ConfigVersion(2), sections(2))
        .expect("newer");
    let ConfigAnswer::Delta(missing) = replica.answer_for(ConfigVersion(2)) else {
        panic!("a delta is expected");
    };
    behind.accept_delta(missing).expect("the delta applies");
    assert_eq!(behind.sections(), replica.sections());
    assert_eq!(replica.answer_for(ConfigVersion(5)), ConfigAnswer::Current);
    assert!(matches!(
        replica.answer_for(ConfigVersion(0)),
        ConfigAnswer::Snapshot(..)
    ));
}

/// Guards against a replica that goes back to an older version, or that holds other sections than the
/// sender after a delta with a wrong base or digest.
#[test]
fn a_replica_refuses_old_versions_and_deltas_that_do_not_apply() {
    let mut replica = ConfigReplica::default();
    replica
        .accept_snapshot(ConfigVersion(5), sections(5))
        .expect("newer");
    let have = ConfigVersion(5);
    let old = replica.accept_snapshot(ConfigVersion(4), sections(4));
    assert_eq!(old, Err(NotAccepted::NotNewer { have }));
    let repeated = replica.accept_delta(delta(4, 5));
    assert_eq!(repeated, Err(NotAccepted::NotNewer { have }));
    assert!(matches!(
        replica.accept_delta(delta(6, 7)),
        Err(NotAccepted::InvalidDelta(_))
    ));
    let mut wrong = delta(5, 6);
    wrong.changes.push(SectionChange {
        path: "customer.x".into(),
        text: Some("a = 1".into()),
    });
    assert!(matches!(
        replica.accept_delta(wrong),
        Err(NotAccepted::InvalidDelta(_))
    ));
    assert_eq!(replica.version(), have);
    assert_eq!(replica.sections(), &sections(5));
}

/// Guards against orders of two holders at the same time: a holder resumes after its lease has expired,
/// or its last order is still in progress when the successor begins.
#[test]
fn a_paused_holder_sends_no_order_after_its_lease_and_its_successor_waits() {
    let ttl = DurationMs(10_000);
    let order = DurationMs(2_000);
    let mut lease = HeldLease::granted(FenceToken(7), TimeMs(1_000), ttl);
    assert!(lease.may_act(TimeMs(1_000), order));
    // The holder is paused from here; the clock continues.
    assert!(
        !lease.may_act(TimeMs(9_000), order),
        "the order would end after the lease"
    );
    assert!(!lease.may_act(TimeMs(60_000), DurationMs(0)));
    // A renewal that was sent before the pause and answered after it counts from when it was sent.
    lease.record_renewal(TimeMs(5_000));
    assert!(!lease.may_act(TimeMs(60_000), DurationMs(0)));
    let successor = HeldLease::granted(FenceToken(8), TimeMs(11_000), ttl);
    assert!(successor.fence() > lease.fence());
    assert!(!successor.is_past_earlier_orders(TimeMs(12_000), order));
    assert!(successor.is_past_earlier_orders(TimeMs(13_000), order));
}

/// Daemons in the order of their start, the oldest first.
fn vms(count: usize) -> Vec<KeyMember> {
    let member = |at: usize| KeyMember {
        vm: VmId::from(format!("vm-{at}").as_str()),
        incarnation: Incarnation(at as u64 + 1),
    };
    (0..count).map(member).collect()
}

fn names(members: &[KeyMember]) -> Vec<VmId> {
    members.iter().map(|member| member.vm.clone()).collect()
}

fn home<'a>(key: &str, members: &'a [KeyMember]) -> &'a KeyMember {
    let home = home_of(key, members.iter().map(|member| &member.vm));
    let is_home = |member: &&KeyMember| Some(&member.vm) == home;
    members.iter().find(is_home).expect("members is not empty")
}

/// Finds a key whose home is the last of the members.
fn key_of_last(members: &[KeyMember]) -> String {
    let keys = (0..).map(|at| format!("key-{at}"));
    let is_last = |key: &String| Some(home(key, members)) == members.last();
    keys.into_iter()
        .find(is_last)
        .expect("some key has its home there")
}

fn claim(key: &str, request: u128, runner: &KeyMember) -> Claim {
    Claim {
        key: key.into(),
        call_digest: 1,
        request: RequestId(request),
        runner: runner.vm.clone(),
        endpoint_deduplicates: false,
    }
}

/// A registry that started before the retention time of keys.
fn old_registry(own: &KeyMember) -> KeyRegistry {
    KeyRegistry::new(KeyRegistryConfig::default(), own.clone(), TimeMs(0))
}

const LATER: TimeMs = TimeMs(10_000_000);

/// Guards against a second run of a repeated call, and against a key that is used for another call.
#[test]
fn a_key_runs_once_and_a_repeated_call_gets_the_stored_answer() {
    let members = vms(3);
    let mut registry = old_registry(&members[0]);
    let first = claim("k", 1, &members[1]);
    assert_eq!(registry.claim(LATER, first.clone(), &members), Verdict::Run);
    let second = claim("k", 2, &members[2]);
    assert_eq!(
        registry.claim(LATER, second.clone(), &members),
        Verdict::Running
    );
    let answer = StoredAnswer {
        status: 200,
        content_type: "a/b".into(),
        body: b"booked".to_vec(),
    };
    // Only the request that runs the call can end it.
    registry.record_end(LATER, "k", RequestId(2), KeyEnd::NotRun);
    registry.record_end(LATER, "k", RequestId(1), KeyEnd::Done(answer.clone()));
    assert_eq!(
        registry.claim(LATER, second.clone(), &members),
        Verdict::Done(answer)
    );
    let other_call = Claim {
        call_digest: 2,
        ..second
    };
    assert_eq!(
        registry.claim(LATER, other_call, &members),
        Verdict::Mismatch
    );
}

/// Guards against a key that stays blocked although its call certainly did not run.
#[test]
fn a_call_that_did_not_run_frees_its_key() {
    let members = vms(3);
    let mut registry = old_registry(&members[0]);
    assert_eq!(
        registry.claim(LATER, claim("k", 1, &members[1]), &members),
        Verdict::Run
    );
    registry.record_end(LATER, "k", RequestId(1), KeyEnd::NotRun);
    assert_eq!(
        registry.claim(LATER, claim("k", 2, &members[2]), &members),
        Verdict::Run
    );
}

/// The runner may have sent the call before it died, so the call must not run again.
#[test]
fn a_key_stays_unknown_after_the_death_of_its_runner() {
    let members = vms(3);
    let mut registry = old_registry(&members[0]);
    assert_eq!(
        registry.claim(LATER, claim("k", 1, &members[1]), &members),
        Verdict::Run
    );
    registry.record_lost_member(LATER, &members[1].vm);
    let again = claim("k", 2, &members[2]);
    assert_eq!(registry.claim(LATER, again, &members), Verdict::Unknown);
}

/// The next home can't know which calls the dead home let run. It must refuse until the platform no
/// longer lists the dead VM and the retention time has passed.
#[test]
fn a_key_of_a_dead_home_does_not_run_while_the_home_may_have_known_it() {
    let members = vms(3);
    let key = key_of_last(&members);
    let left = &members[..2];
    let next_home = home(&key, left).clone();
    let mut registry = old_registry(&next_home);
    registry.record_lost_member(LATER, &members[2].vm);
    assert_eq!(
        registry.claim(LATER, claim(&key, 2, &next_home), left),
        Verdict::Unknown
    );
    // The platform still lists the VM: it may be running behind a network partition of any length.
    registry.apply_vm_list(LATER, &names(&members));
    let much_later = LATER + DurationMs(86_400_000);
    registry.apply_vm_list(much_later, &names(&members));
    assert_eq!(
        registry.claim(much_later, claim(&key, 3, &next_home), left),
        Verdict::Unknown
    );
    // An endpoint that deduplicates by itself may get the call.
    let deduplicated = Claim {
        endpoint_deduplicates: true,
        ..claim(&key, 4, &next_home)
    };
    assert_eq!(
        registry.clone().claim(much_later, deduplicated, left),
        Verdict::Run
    );
    // The VM is no longer listed, and the retention time of its keys has passed.
    registry.apply_vm_list(much_later, &names(left));
    let remember_ms = KeyRegistryConfig::default().remember_ms;
    let free = much_later + remember_ms;
    registry.apply_vm_list(free, &names(left));
    assert_eq!(
        registry.claim(free, claim(&key, 5, &next_home), left),
        Verdict::Run
    );
}

/// A new daemon becomes the home of keys that it knows nothing about; without asking the earlier
/// home it would let a call run twice.
#[test]
fn a_recently_started_home_asks_the_earlier_home() {
    let members = vms(4);
    let key = key_of_last(&members);
    let before = home(&key, &members[..3]).clone();
    let mut old = old_registry(&before);
    assert_eq!(
        old.claim(LATER, claim(&key, 1, &before), &members[..3]),
        Verdict::Run
    );
    old.record_end(
        LATER,
        &key,
        RequestId(1),
        KeyEnd::Done(StoredAnswer::default()),
    );
    let mut started = KeyRegistry::new(KeyRegistryConfig::default(), members[3].clone(), LATER);
    let again = claim(&key, 2, &members[0]);
    let verdict = started.claim(LATER, again.clone(), &members);
    assert_eq!(verdict, Verdict::AskEarlierHome(before.vm));
    let earlier_verdict = old.claim(LATER, again.clone(), &members);
    assert_eq!(
        started.apply_earlier_verdict(again, earlier_verdict),
        Verdict::Done(StoredAnswer::default())
    );
}

/// When all daemons have just started, each asks an older one. The chain must end at the oldest
/// daemon, without a cycle, and the result must not be "run".
#[test]
fn a_recently_started_fleet_answers_that_it_has_no_memory() {
    let members = vms(4);
    let key = key_of_last(&members);
    // Each daemon asks the home among the older ones, until there is no older one.
    let mut asked = home(&key, &members).clone();
    for _ in 0..members.len() {
        let config = KeyRegistryConfig::default();
        let mut registry = KeyRegistry::new(config, asked.clone(), LATER);
        match registry.claim(LATER, claim(&key, 1, &members[0]), &members) {
            Verdict::AskEarlierHome(before) => {
                let next = members.iter().find(|member| member.vm == before);
                let next = next.expect("a member").clone();
                assert!(next.incarnation < asked.incarnation);
                asked = next;
            }
            Verdict::NoOlderDaemon => {
                assert_eq!(asked, members[0]);
                let final_verdict = registry
                    .apply_earlier_verdict(claim(&key, 1, &members[0]), Verdict::NoOlderDaemon);
                assert_eq!(final_verdict, Verdict::Unknown);
                return;
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("the chain must end");
}

/// Guards against a registry that removes keys before their retention time to make space, so that
/// their calls could run twice.
#[test]
fn a_full_registry_refuses_new_keys_and_keeps_the_known_ones() {
    let members = vms(1);
    let config = KeyRegistryConfig {
        max_keys: 2,
        ..KeyRegistryConfig::default()
    };
    let remember_ms = config.remember_ms;
    let mut registry = KeyRegistry::new(config, members[0].clone(), TimeMs(0));
    for at in 0..2u128 {
        let key = format!("k{at}");
        assert_eq!(
            registry.claim(LATER, claim(&key, at, &members[0]), &members),
            Verdict::Run
        );
        registry.record_end(LATER, &key, RequestId(at), KeyEnd::Unknown);
    }
    assert_eq!(
        registry.claim(LATER, claim("k3", 9, &members[0]), &members),
        Verdict::Full
    );
    let later = LATER + remember_ms;
    assert_eq!(
        registry.claim(later, claim("k3", 9, &members[0]), &members),
        Verdict::Run
    );
}

/// All daemons lose the service at the same time. Without jitter, all of them would call it again in
/// the same second.
#[test]
fn a_fleet_does_not_overload_the_service_after_an_outage() {
    // All daemons lose the service for one hour and retry until it answers.
    const DAEMONS: u64 = 390;
    const OUTAGE_END_MS: u64 = 3_600_000;
    let config = CallBudgetConfig::default();
    let mut calls_in_second: BTreeMap<u64, u64> = BTreeMap::new();
    for seed in 0..DAEMONS {
        let mut budget = CallBudget::new(config.clone(), seed);
        let mut now = TimeMs(0);
        while now.0 < OUTAGE_END_MS + 60_000 {
            match budget.try_acquire(now, CallKind::Read) {
                Err(wait_ms) => now = now + wait_ms,
                Ok(()) => {
                    *calls_in_second.entry(now.0 / 1_000).or_default() += 1;
                    if now.0 >= OUTAGE_END_MS {
                        break;
                    }
                    budget.record_failure(now, DurationMs(0));
                }
            }
        }
    }
    let busiest = |from: u64, to: u64| {
        let calls = calls_in_second.range(from..to).map(|(_, calls)| *calls);
        calls.max().unwrap_or(0)
    };
    // Calls in the first second follow no failure, so they are not delayed.
    assert!(busiest(0, 1) <= DAEMONS * 2);
    let outage_end_s = OUTAGE_END_MS / 1_000;
    assert!(busiest(outage_end_s, outage_end_s + 60) <= 100);
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        model: "tutor".into(),
        from_version: 1,
        to_version: 2,
        engines: ["a", "b", "c"].map(Into::into).to_vec(),
        batch: 2,
        watch_ms: DurationMs(1_000),
        hold_burn: 1.0,
        rollback_burn: 5.0,
    }
}

fn observation(now: u64, on_new: &[&str], on_old: &[&str], burn: f64) -> RolloutObservation {
    let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    RolloutObservation {
        now: TimeMs(now),
        on_new: set(on_new),
        on_old: set(on_old),
        burn,
    }
}

/// Guards against a successor that skips the watch time, and against a next batch while the burn rate
/// is too high.
#[test]
fn a_rollout_proceeds_in_batches_and_a_successor_continues_it() {
    let first =
        Rollout::new(plan(), 4).after_observation(&observation(0, &[], &[], 0.0), TimeMs(0));
    assert_eq!(first.orders().len(), 2);
    let loaded = first.after_observation(&observation(10, &["a", "b"], &[], 0.0), TimeMs(0));
    assert_eq!(loaded.stage, RolloutStage::Watching);
    // The holder dies; another node reads the stored rollout and restarts the watch time.
    let early = loaded.after_observation(&observation(500, &["a", "b"], &[], 0.0), TimeMs(400));
    assert_eq!(early.stage, RolloutStage::Watching);
    // A burn rate above the first limit pauses the rollout for any length of time.
    let held = early.after_observation(&observation(9_000, &["a", "b"], &[], 2.0), TimeMs(400));
    assert_eq!((held.stage, held.started), (RolloutStage::Watching, 2));
    let next = held.after_observation(&observation(20_000, &["a", "b"], &[], 0.0), TimeMs(400));
    assert_eq!((next.stage, next.started), (RolloutStage::Loading, 3));
    let last = next.after_observation(
        &observation(20_100, &["a", "b", "c"], &[], 0.0),
        TimeMs(400),
    );
    let done = last.after_observation(
        &observation(30_000, &["a", "b", "c"], &[], 0.0),
        TimeMs(20_100),
    );
    assert!(done.is_over());
    assert_eq!(done.generation, 4);
}

/// Guards against engines that keep the new version because a late order of the rollout has the same
/// generation as the rollback.
#[test]
fn a_high_burn_rate_rolls_back_under_a_new_generation() {
    let first =
        Rollout::new(plan(), 4).after_observation(&observation(0, &[], &[], 0.0), TimeMs(0));
    let back = first.after_observation(&observation(10, &["a"], &[], 6.0), TimeMs(0));
    assert_eq!(back.stage, RolloutStage::RollingBack);
    let orders = back.orders();
    assert!(
        orders
            .iter()
            .all(|order| order.version == 1 && order.generation == 5)
    );
    assert_eq!(orders.len(), 2);
    let over = back.after_observation(&observation(20, &[], &["a", "b"], 6.0), TimeMs(0));
    assert_eq!(over.stage, RolloutStage::RolledBack);
    // Orders from before the rollback have a lower generation, and an endpoint keeps the highest.
    assert!(first.orders()[0].generation < over.orders()[0].generation);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Applies random snapshots and deltas: the replica's version never decreases, and its sections
    /// are always those of its version.
    #[test]
    fn a_replica_never_goes_back_to_an_older_version(steps in prop::collection::vec((0..12u64, 0..12u64, any::<bool>()), 1..60)) {
        let mut replica = ConfigReplica::default();
        for (from, to, is_snapshot) in steps {
            let before = replica.version();
            let _ = if is_snapshot {
                replica.accept_snapshot(ConfigVersion(to), sections(to))
            } else {
                replica.accept_delta(delta(from, to))
            };
            prop_assert!(replica.version() >= before);
            if replica.version().0 > 0 {
                prop_assert_eq!(replica.sections(), &sections(replica.version().0));
            }
        }
    }
}

/// Guards against a call that runs twice: its runner counts as dead, so that its key is unknown, and
/// then reports that the call ran. The end counts from the report, and the older end must not remove
/// the key early, nor a newer call's entry.
#[test]
fn a_key_that_was_unknown_before_its_call_ended_is_remembered_from_its_end() {
    let members = vms(2);
    let mut registry = old_registry(&members[0]);
    let remember_ms = KeyRegistryConfig::default().remember_ms;
    let claim_at = |registry: &mut KeyRegistry, now, request| {
        registry.claim(now, claim("k", request, &members[1]), &members)
    };
    assert_eq!(claim_at(&mut registry, LATER, 1), Verdict::Run);
    registry.record_lost_member(LATER, &members[1].vm);
    let ended = LATER + DurationMs(1_000);
    let answer = StoredAnswer::default();
    registry.record_end(ended, "k", RequestId(1), KeyEnd::Done(answer.clone()));
    let first_expiry = LATER + remember_ms;
    let verdict = claim_at(&mut registry, first_expiry, 2);
    assert_eq!(verdict, Verdict::Done(answer), "it ended 1 s later");
    let second_expiry = ended + remember_ms;
    assert_eq!(claim_at(&mut registry, second_expiry, 3), Verdict::Run);
    let newer = claim_at(&mut registry, second_expiry + remember_ms, 4);
    assert_eq!(newer, Verdict::Running, "no end of the first call counts");
}

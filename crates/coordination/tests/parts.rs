//! Configuration replicas, leases, key registry, call budgets and rollouts under failures.

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

#[test]
fn a_replica_follows_deltas_and_tells_others_what_they_miss() {
    let mut replica = ConfigReplica::default();
    replica
        .accept_snapshot(ConfigVersion(1), sections(1))
        .expect("newer");
    for to in 2..6 {
        replica
            .accept_delta(delta(to - 1, to))
            .expect("the next one");
    }
    let mut behind = ConfigReplica::default();
    behind
        .accept_snapshot(ConfigVersion(2), sections(2))
        .expect("newer");
    let ConfigAnswer::Delta(missing) = replica.answer(ConfigVersion(2)) else {
        panic!("a delta is enough");
    };
    behind.accept_delta(missing).expect("it fits");
    assert_eq!(behind.sections(), replica.sections());
    assert_eq!(replica.answer(ConfigVersion(5)), ConfigAnswer::Current);
    assert!(matches!(
        replica.answer(ConfigVersion(0)),
        ConfigAnswer::Snapshot(..)
    ));
}

#[test]
fn a_replica_refuses_what_is_old_or_doesnt_fit() {
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
        Err(NotAccepted::Unfit(_))
    ));
    let mut wrong = delta(5, 6);
    wrong.changes.push(SectionChange {
        path: "customer.x".into(),
        text: Some("a = 1".into()),
    });
    assert!(matches!(
        replica.accept_delta(wrong),
        Err(NotAccepted::Unfit(_))
    ));
    assert_eq!(replica.version(), have);
    assert_eq!(replica.sections(), &sections(5));
}

#[test]
fn a_paused_holder_may_not_act_after_its_lease_and_its_successor_waits() {
    let ttl = DurationMs(10_000);
    let order = DurationMs(2_000);
    let mut lease = HeldLease::granted(FenceToken(7), TimeMs(1_000), ttl);
    assert!(lease.may_act(TimeMs(1_000), order));
    // Paused from here; the clock goes on.
    assert!(
        !lease.may_act(TimeMs(9_000), order),
        "the order would outlast the lease"
    );
    assert!(!lease.may_act(TimeMs(60_000), DurationMs(0)));
    // A renewal that was sent before the pause but answered after it counts from its sending.
    lease.renewed(TimeMs(5_000));
    assert!(!lease.may_act(TimeMs(60_000), DurationMs(0)));
    let successor = HeldLease::granted(FenceToken(8), TimeMs(11_000), ttl);
    assert!(successor.fence() > lease.fence());
    assert!(!successor.is_past_earlier_orders(TimeMs(12_000), order));
    assert!(successor.is_past_earlier_orders(TimeMs(13_000), order));
}

/// Daemons, each younger than the one before.
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
    members.iter().find(is_home).expect("there are members")
}

/// A key whose home is the last of the members.
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

/// A registry that started long ago.
fn old_registry(own: &KeyMember) -> KeyRegistry {
    KeyRegistry::new(KeyRegistryConfig::default(), own.clone(), TimeMs(0))
}

const LATER: TimeMs = TimeMs(10_000_000);

#[test]
fn a_key_runs_once_and_its_answer_is_given_again() {
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
    // Only the request that runs it can end it.
    registry.ended(LATER, "k", RequestId(2), KeyEnd::NotRun);
    registry.ended(LATER, "k", RequestId(1), KeyEnd::Done(answer.clone()));
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

#[test]
fn a_call_that_surely_did_not_run_frees_its_key() {
    let members = vms(3);
    let mut registry = old_registry(&members[0]);
    assert_eq!(
        registry.claim(LATER, claim("k", 1, &members[1]), &members),
        Verdict::Run
    );
    registry.ended(LATER, "k", RequestId(1), KeyEnd::NotRun);
    assert_eq!(
        registry.claim(LATER, claim("k", 2, &members[2]), &members),
        Verdict::Run
    );
}

#[test]
fn the_death_of_the_runner_makes_its_key_unknown_for_good() {
    let members = vms(3);
    let mut registry = old_registry(&members[0]);
    assert_eq!(
        registry.claim(LATER, claim("k", 1, &members[1]), &members),
        Verdict::Run
    );
    registry.member_lost(LATER, &members[1].vm);
    let again = claim("k", 2, &members[2]);
    assert_eq!(registry.claim(LATER, again, &members), Verdict::Unknown);
}

#[test]
fn keys_of_a_dead_home_never_run_again_while_it_may_have_known_them() {
    let members = vms(3);
    let key = key_of_last(&members);
    let left = &members[..2];
    let heir = home(&key, left).clone();
    let mut registry = old_registry(&heir);
    registry.member_lost(LATER, &members[2].vm);
    assert_eq!(
        registry.claim(LATER, claim(&key, 2, &heir), left),
        Verdict::Unknown
    );
    // The platform still lists it: it may live behind a cut, however long that lasts.
    registry.listed(LATER, &names(&members));
    let much_later = LATER + DurationMs(86_400_000);
    registry.listed(much_later, &names(&members));
    assert_eq!(
        registry.claim(much_later, claim(&key, 3, &heir), left),
        Verdict::Unknown
    );
    // An endpoint that deduplicates by itself may get it all the same.
    let deduplicated = Claim {
        endpoint_deduplicates: true,
        ..claim(&key, 4, &heir)
    };
    assert_eq!(
        registry.clone().claim(much_later, deduplicated, left),
        Verdict::Run
    );
    // Delisted, and the memory of its keys has ended.
    registry.listed(much_later, &names(left));
    let remember_ms = KeyRegistryConfig::default().remember_ms;
    let free = much_later + remember_ms;
    registry.listed(free, &names(left));
    assert_eq!(
        registry.claim(free, claim(&key, 5, &heir), left),
        Verdict::Run
    );
}

#[test]
fn a_home_that_has_just_started_asks_the_one_before_it() {
    let members = vms(4);
    let key = key_of_last(&members);
    let before = home(&key, &members[..3]).clone();
    let mut old = old_registry(&before);
    assert_eq!(
        old.claim(LATER, claim(&key, 1, &before), &members[..3]),
        Verdict::Run
    );
    old.ended(
        LATER,
        &key,
        RequestId(1),
        KeyEnd::Done(StoredAnswer::default()),
    );
    let mut started = KeyRegistry::new(KeyRegistryConfig::default(), members[3].clone(), LATER);
    let again = claim(&key, 2, &members[0]);
    let verdict = started.claim(LATER, again.clone(), &members);
    assert_eq!(verdict, Verdict::AskBefore(before.vm));
    let told = old.claim(LATER, again.clone(), &members);
    assert_eq!(
        started.apply_earlier_verdict(again, told),
        Verdict::Done(StoredAnswer::default())
    );
}

#[test]
fn a_fleet_that_has_just_started_has_no_memory_and_says_so() {
    let members = vms(4);
    let key = key_of_last(&members);
    // Each asks the home among the older ones, until one finds none: no one asks in a circle.
    let mut asked = home(&key, &members).clone();
    for _ in 0..members.len() {
        let config = KeyRegistryConfig::default();
        let mut registry = KeyRegistry::new(config, asked.clone(), LATER);
        match registry.claim(LATER, claim(&key, 1, &members[0]), &members) {
            Verdict::AskBefore(before) => {
                let next = members.iter().find(|member| member.vm == before);
                let next = next.expect("a member").clone();
                assert!(next.incarnation < asked.incarnation);
                asked = next;
            }
            Verdict::NoMemory => {
                assert_eq!(asked, members[0]);
                let told =
                    registry.apply_earlier_verdict(claim(&key, 1, &members[0]), Verdict::NoMemory);
                assert_eq!(told, Verdict::Unknown);
                return;
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("the chain must end");
}

#[test]
fn a_full_registry_refuses_before_it_forgets() {
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
        registry.ended(LATER, &key, RequestId(at), KeyEnd::Unknown);
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

#[test]
fn a_fleet_comes_back_from_an_outage_without_a_stampede() {
    // All daemons lose the service together for an hour, and all want it back at once.
    const DAEMONS: u64 = 390;
    const OUTAGE_END_MS: u64 = 3_600_000;
    let config = CallBudgetConfig::default();
    let mut calls_in_second: BTreeMap<u64, u64> = BTreeMap::new();
    for seed in 0..DAEMONS {
        let mut budget = CallBudget::new(config.clone(), seed);
        let mut now = TimeMs(0);
        while now.0 < OUTAGE_END_MS + 60_000 {
            match budget.take(now, CallKind::Read) {
                Err(wait_ms) => now = now + wait_ms,
                Ok(()) => {
                    *calls_in_second.entry(now.0 / 1_000).or_default() += 1;
                    if now.0 >= OUTAGE_END_MS {
                        break;
                    }
                    budget.failed(now, DurationMs(0));
                }
            }
        }
    }
    let busiest = |from: u64, to: u64| {
        let calls = calls_in_second.range(from..to).map(|(_, calls)| *calls);
        calls.max().unwrap_or(0)
    };
    // The very first second has no failure behind it.
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

fn seen(now: u64, on_new: &[&str], on_old: &[&str], burn: f64) -> RolloutObservation {
    let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    RolloutObservation {
        now: TimeMs(now),
        on_new: set(on_new),
        on_old: set(on_old),
        burn,
    }
}

#[test]
fn a_rollout_goes_batch_by_batch_and_a_successor_carries_it_on() {
    let first = Rollout::new(plan(), 4).step(&seen(0, &[], &[], 0.0), TimeMs(0));
    assert_eq!(first.orders().len(), 2);
    let loaded = first.step(&seen(10, &["a", "b"], &[], 0.0), TimeMs(0));
    assert_eq!(loaded.stage, RolloutStage::Watching);
    // The holder dies; another reads what is stored and watches anew.
    let early = loaded.step(&seen(500, &["a", "b"], &[], 0.0), TimeMs(400));
    assert_eq!(early.stage, RolloutStage::Watching);
    // Burn holds it back however long it lasts.
    let held = early.step(&seen(9_000, &["a", "b"], &[], 2.0), TimeMs(400));
    assert_eq!((held.stage, held.started), (RolloutStage::Watching, 2));
    let next = held.step(&seen(20_000, &["a", "b"], &[], 0.0), TimeMs(400));
    assert_eq!((next.stage, next.started), (RolloutStage::Loading, 3));
    let last = next.step(&seen(20_100, &["a", "b", "c"], &[], 0.0), TimeMs(400));
    let done = last.step(&seen(30_000, &["a", "b", "c"], &[], 0.0), TimeMs(20_100));
    assert!(done.is_over());
    assert_eq!(done.generation, 4);
}

#[test]
fn too_much_burn_takes_a_rollout_back_under_a_new_generation() {
    let first = Rollout::new(plan(), 4).step(&seen(0, &[], &[], 0.0), TimeMs(0));
    let back = first.step(&seen(10, &["a"], &[], 6.0), TimeMs(0));
    assert_eq!(back.stage, RolloutStage::RollingBack);
    let orders = back.orders();
    assert!(
        orders
            .iter()
            .all(|order| order.version == 1 && order.generation == 5)
    );
    assert_eq!(orders.len(), 2);
    let over = back.step(&seen(20, &[], &["a", "b"], 6.0), TimeMs(0));
    assert_eq!(over.stage, RolloutStage::RolledBack);
    // Orders of the way there are older now: an endpoint keeps the highest generation.
    assert!(first.orders()[0].generation < over.orders()[0].generation);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order, a replica's version only rises and its sections are
    /// those of its version.
    #[test]
    fn a_replica_never_reverts(steps in prop::collection::vec((0..12u64, 0..12u64, any::<bool>()), 1..60)) {
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

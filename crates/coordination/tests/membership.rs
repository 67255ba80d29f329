//! The membership under failures, in virtual time, over a network that drops by rule.

use bridgevane_coordination::configs::MembershipConfig;
use bridgevane_coordination::{MemberState, Membership, MembershipEffect};
use bridgevane_types::{DurationMs, Incarnation, TimeMs, VmId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const TICK_MS: u64 = 100;

fn vm(at: usize) -> VmId {
    VmId::from(format!("vm-{at:03}").as_str())
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8], 7_000))
}

/// Nodes that exchange heartbeats; calls and answers pass unless a rule cuts them.
struct Net {
    nodes: Vec<Membership>,
    now: TimeMs,
    down: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    /// Directions that are cut.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    rng: Pcg64Mcg,
    /// Live nodes that some node counted as dead.
    false_deaths: usize,
    superseded: BTreeSet<usize>,
    config: MembershipConfig,
}

impl Net {
    fn new(count: usize, config: MembershipConfig) -> Self {
        let start = TimeMs(1_000);
        let node = |at: usize| {
            let mut node =
                Membership::new(config.clone(), vm(at), address(at), Incarnation(1), start);
            (0..count).for_each(|other| node.learn(start, &vm(other), address(other)));
            node
        };
        Self {
            nodes: (0..count).map(node).collect(),
            now: start,
            down: BTreeSet::new(),
            frozen: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(42),
            false_deaths: 0,
            superseded: BTreeSet::new(),
            config,
        }
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let is_away = self.down.contains(&to) || self.frozen.contains(&to);
        let is_lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        !is_away && !is_lost && !self.cut.contains(&(from, to))
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.now = self.now + DurationMs(TICK_MS);
            for at in 0..self.nodes.len() {
                if self.down.contains(&at) || self.frozen.contains(&at) {
                    continue;
                }
                let mut effects = Vec::new();
                self.nodes[at].tick(self.now, &mut effects);
                self.carry_out(at, effects);
            }
        }
    }

    fn carry_out(&mut self, at: usize, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                MembershipEffect::Heartbeat { vm: to, .. } => self.beat(at, &to),
                MembershipEffect::Changed { vm, state } => self.note(&vm, state),
                MembershipEffect::Superseded => {
                    self.superseded.insert(at);
                }
                MembershipEffect::LeavingRequested => self.nodes[at].leave(),
            }
        }
    }

    fn note(&mut self, of: &VmId, state: MemberState) {
        let at = (0..self.nodes.len()).find(|at| vm(*at) == *of);
        let is_up = at.is_some_and(|at| !self.down.contains(&at) && !self.frozen.contains(&at));
        if state == MemberState::Dead && is_up {
            self.false_deaths += 1;
        }
    }

    fn beat(&mut self, from: usize, to: &VmId) {
        let Some(to) = (0..self.nodes.len()).find(|at| vm(*at) == *to) else {
            return;
        };
        if !self.passes(from, to) {
            return;
        }
        self.deliver(from, to);
        if self.passes(to, from) {
            self.deliver(to, from);
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let updates = self.nodes[from].updates();
        let incarnation = self.incarnation(from);
        let mut effects = Vec::new();
        let sender = vm(from);
        self.nodes[to].hear(self.now, &sender, address(from), incarnation, &mut effects);
        self.nodes[to].receive(self.now, updates, &mut effects);
        self.carry_out(to, effects);
    }

    fn incarnation(&self, at: usize) -> Incarnation {
        let own = self.nodes[at].all_updates();
        own[0].incarnation
    }

    /// Whether every node that runs holds exactly these to be live.
    fn all_see(&self, expected: &[usize]) -> bool {
        let expected: Vec<VmId> = expected.iter().map(|at| vm(*at)).collect();
        let running =
            (0..self.nodes.len()).filter(|at| !self.down.contains(at) && !self.frozen.contains(at));
        running
            .into_iter()
            .all(|at| self.nodes[at].live() == expected)
    }

    fn restart(&mut self, at: usize, incarnation: u64) {
        let incarnation = Incarnation(incarnation);
        let mut node = Membership::new(
            self.config.clone(),
            vm(at),
            address(at),
            incarnation,
            self.now,
        );
        (0..self.nodes.len()).for_each(|other| node.learn(self.now, &vm(other), address(other)));
        self.nodes[at] = node;
        self.down.remove(&at);
    }
}

#[test]
fn a_killed_node_is_dead_everywhere_and_no_other_is() {
    for count in [2, 3, 7, 56] {
        let mut net = Net::new(count, MembershipConfig::default());
        net.run(5_000);
        net.down.insert(1);
        net.run(15_000);
        let left: Vec<usize> = (0..count).filter(|at| *at != 1).collect();
        assert!(net.all_see(&left), "{count} nodes");
        assert_eq!(net.false_deaths, 0, "{count} nodes");
    }
}

#[test]
fn a_leaving_node_is_known_everywhere_within_two_seconds() {
    let mut net = Net::new(56, MembershipConfig::default());
    net.run(5_000);
    net.nodes[9].leave();
    let left: Vec<usize> = (0..56).filter(|at| *at != 9).collect();
    // The daemon also tells its peers directly; this is the slow way, by heartbeats alone.
    net.run(8_000);
    assert!(net.all_see(&left));
}

#[test]
fn lost_messages_bury_nobody_where_suspicion_needs_confirmation() {
    let run = |loss: f64, accusers: usize, refute_ms: u64| {
        let config = MembershipConfig {
            accusers,
            refute_ms: DurationMs(refute_ms),
            ..MembershipConfig::default()
        };
        let mut net = Net::new(20, config);
        net.loss = loss;
        net.run(120_000);
        net.false_deaths
    };
    // Taken out: the first suspicion counts at once.
    assert!(run(0.05, 1, 0) > 0, "the loss must bring the failure about");
    assert_eq!(run(0.05, 2, 3_000), 0);
}

#[test]
fn one_direction_cut_buries_nobody() {
    let mut net = Net::new(7, MembershipConfig::default());
    net.run(5_000);
    net.cut.insert((3, 2));
    net.run(120_000);
    assert_eq!(net.false_deaths, 0);
}

#[test]
fn a_node_that_was_frozen_accuses_nobody_and_comes_back() {
    let mut net = Net::new(7, MembershipConfig::default());
    net.run(5_000);
    net.frozen.insert(4);
    net.run(60_000);
    assert!(net.all_see(&[0, 1, 2, 3, 5, 6]));
    net.frozen.remove(&4);
    net.run(10_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4, 5, 6]));
    assert_eq!(net.false_deaths, 0);
}

#[test]
fn a_vm_replaced_under_its_name_is_a_new_one() {
    let mut net = Net::new(5, MembershipConfig::default());
    net.run(5_000);
    let old = net.nodes[2].clone();
    net.restart(2, 2);
    net.run(5_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4]));
    assert_eq!(net.incarnation(2), Incarnation(2));
    // The old life wakes up and hears of the new one.
    net.nodes[2] = old;
    net.run(10_000);
    assert!(net.superseded.contains(&2));
}

#[test]
fn all_nodes_replaced_one_after_another_still_find_each_other() {
    let mut net = Net::new(7, MembershipConfig::default());
    net.run(5_000);
    for at in 0..7 {
        net.down.insert(at);
        net.run(12_000);
        net.restart(at, 2);
        net.run(6_000);
    }
    assert!(net.all_see(&[0, 1, 2, 3, 4, 5, 6]));
}

#[test]
fn a_cut_within_a_data_centre_heals() {
    let mut net = Net::new(8, MembershipConfig::default());
    net.run(5_000);
    let pairs: Vec<(usize, usize)> = (0..4).flat_map(|a| (4..8).map(move |b| (a, b))).collect();
    for (a, b) in &pairs {
        net.cut.insert((*a, *b));
        net.cut.insert((*b, *a));
    }
    net.run(30_000);
    net.cut.clear();
    // Each side has buried the other; the platform's list names them again.
    for at in 0..8 {
        let all: BTreeMap<usize, ()> = (0..8).map(|other| (other, ())).collect();
        for other in all.keys() {
            let now = net.now;
            net.nodes[at].relearn(now, &vm(*other), address(*other));
        }
    }
    net.run(15_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4, 5, 6, 7]));
}

//! Tests of the membership under failures, in virtual time, over a simulated network.

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

/// Nodes that exchange heartbeats over a network with configurable loss, cuts and stopped nodes.
struct SimulatedNetwork {
    nodes: Vec<Membership>,
    now: TimeMs,
    down: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    /// Directions, from and to, in which no message is delivered.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    rng: Pcg64Mcg,
    /// How often a node marked a running node as dead.
    false_deaths: usize,
    superseded: BTreeSet<usize>,
    config: MembershipConfig,
}

impl SimulatedNetwork {
    fn new(count: usize, config: MembershipConfig) -> Self {
        let start = TimeMs(1_000);
        let node = |at: usize| {
            let mut node =
                Membership::new(config.clone(), vm(at), address(at), Incarnation(1), start);
            (0..count).for_each(|other| node.add_listed(start, &vm(other), address(other)));
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

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_unreachable = self.down.contains(&to) || self.frozen.contains(&to);
        let is_lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        !is_unreachable && !is_lost && !self.cut.contains(&(from, to))
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
                self.apply_effects(at, effects);
            }
        }
    }

    fn apply_effects(&mut self, at: usize, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                MembershipEffect::Heartbeat { vm: to, .. } => self.exchange_heartbeat(at, &to),
                MembershipEffect::Changed { vm, state } => self.record_change(&vm, state),
                MembershipEffect::Superseded => {
                    self.superseded.insert(at);
                }
                MembershipEffect::LeavingRequested => self.nodes[at].start_leaving(),
            }
        }
    }

    fn record_change(&mut self, of: &VmId, state: MemberState) {
        let at = (0..self.nodes.len()).find(|at| vm(*at) == *of);
        let is_up = at.is_some_and(|at| !self.down.contains(&at) && !self.frozen.contains(&at));
        if state == MemberState::Dead && is_up {
            self.false_deaths += 1;
        }
    }

    fn exchange_heartbeat(&mut self, from: usize, to: &VmId) {
        let Some(to) = (0..self.nodes.len()).find(|at| vm(*at) == *to) else {
            return;
        };
        if !self.is_delivered(from, to) {
            return;
        }
        self.deliver(from, to);
        if self.is_delivered(to, from) {
            self.deliver(to, from);
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let updates = self.nodes[from].next_updates();
        let incarnation = self.incarnation(from);
        let mut effects = Vec::new();
        let sender = vm(from);
        self.nodes[to].record_contact(self.now, &sender, address(from), incarnation, &mut effects);
        self.nodes[to].apply_updates(self.now, updates, &mut effects);
        self.apply_effects(to, effects);
    }

    fn incarnation(&self, at: usize) -> Incarnation {
        let own = self.nodes[at].all_updates();
        own[0].incarnation
    }

    /// Returns whether exactly the nodes `expected` are live in the view of every running node.
    fn all_views_are(&self, expected: &[usize]) -> bool {
        let expected: Vec<VmId> = expected.iter().map(|at| vm(*at)).collect();
        let running =
            (0..self.nodes.len()).filter(|at| !self.down.contains(at) && !self.frozen.contains(at));
        running
            .into_iter()
            .all(|at| self.nodes[at].live_vms() == expected)
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
        (0..self.nodes.len())
            .for_each(|other| node.add_listed(self.now, &vm(other), address(other)));
        self.nodes[at] = node;
        self.down.remove(&at);
    }
}

/// Guards against a death that some nodes miss, and against live nodes that count as dead, in data
/// centres of different sizes.
#[test]
fn a_killed_node_is_dead_in_every_view_and_no_other_node_is() {
    for count in [2, 3, 7, 56] {
        let mut network = SimulatedNetwork::new(count, MembershipConfig::default());
        network.run(5_000);
        network.down.insert(1);
        network.run(15_000);
        let left: Vec<usize> = (0..count).filter(|at| *at != 1).collect();
        assert!(network.all_views_are(&left), "{count} nodes");
        assert_eq!(network.false_deaths, 0, "{count} nodes");
    }
}

/// Guards against nodes that keep sending work to a leaving node because its update reached only
/// the neighbours.
#[test]
fn a_leaving_node_is_removed_from_every_view_by_heartbeats_alone() {
    let mut network = SimulatedNetwork::new(56, MembershipConfig::default());
    network.run(5_000);
    network.nodes[9].start_leaving();
    let left: Vec<usize> = (0..56).filter(|at| *at != 9).collect();
    // The daemon also notifies its peers directly; this test covers the slower heartbeats alone.
    network.run(8_000);
    assert!(network.all_views_are(&left));
}

/// Lost heartbeats make single nodes suspect a live neighbour. With one accuser and no time to refute,
/// live nodes count as dead; with two accusers and 3 s to refute, none does.
#[test]
fn lost_messages_cause_no_false_death_when_a_suspicion_needs_confirmation() {
    let run = |loss: f64, required_accusers: usize, refute_ms: u64| {
        let config = MembershipConfig {
            required_accusers,
            refute_ms: DurationMs(refute_ms),
            ..MembershipConfig::default()
        };
        let mut network = SimulatedNetwork::new(20, config);
        network.loss = loss;
        network.run(120_000);
        network.false_deaths
    };
    // Without confirmation, the first suspicion counts at once.
    assert!(
        run(0.05, 1, 0) > 0,
        "the message loss must cause false deaths"
    );
    assert_eq!(run(0.05, 2, 3_000), 0);
}

/// Guards against a false death when a node gets no messages from a neighbour that all others reach.
#[test]
fn a_cut_in_one_direction_causes_no_false_death() {
    let mut network = SimulatedNetwork::new(7, MembershipConfig::default());
    network.run(5_000);
    network.cut.insert((3, 2));
    network.run(120_000);
    assert_eq!(network.false_deaths, 0);
}

/// A paused node has received nothing for a long time. It must not take that for the death of its
/// neighbours, and must count as alive again.
#[test]
fn a_node_suspects_no_other_after_its_own_pause_and_rejoins() {
    let mut network = SimulatedNetwork::new(7, MembershipConfig::default());
    network.run(5_000);
    network.frozen.insert(4);
    network.run(60_000);
    assert!(network.all_views_are(&[0, 1, 2, 3, 5, 6]));
    network.frozen.remove(&4);
    network.run(10_000);
    assert!(network.all_views_are(&[0, 1, 2, 3, 4, 5, 6]));
    assert_eq!(network.false_deaths, 0);
}

/// Guards against two incarnations of one VM that both take work: the older one must learn that it was
/// replaced.
#[test]
fn a_replaced_vm_supersedes_the_older_incarnation_of_its_name() {
    let mut network = SimulatedNetwork::new(5, MembershipConfig::default());
    network.run(5_000);
    let old = network.nodes[2].clone();
    network.restart(2, 2);
    network.run(5_000);
    assert!(network.all_views_are(&[0, 1, 2, 3, 4]));
    assert_eq!(network.incarnation(2), Incarnation(2));
    // The older incarnation resumes and receives updates about the newer one.
    network.nodes[2] = old;
    network.run(10_000);
    assert!(network.superseded.contains(&2));
}

/// Guards against replaced nodes that stay dead in some views, as in a rolling update.
#[test]
fn all_nodes_replaced_one_by_one_are_live_in_every_view() {
    let mut network = SimulatedNetwork::new(7, MembershipConfig::default());
    network.run(5_000);
    for at in 0..7 {
        network.down.insert(at);
        network.run(12_000);
        network.restart(at, 2);
        network.run(6_000);
    }
    assert!(network.all_views_are(&[0, 1, 2, 3, 4, 5, 6]));
}

/// During a partition each side marks the other as dead and sends it no heartbeats. After it, the
/// platform's list must make both sides contact each other again.
#[test]
fn both_sides_of_a_healed_network_partition_rejoin() {
    let mut network = SimulatedNetwork::new(8, MembershipConfig::default());
    network.run(5_000);
    let pairs: Vec<(usize, usize)> = (0..4).flat_map(|a| (4..8).map(move |b| (a, b))).collect();
    for (a, b) in &pairs {
        network.cut.insert((*a, *b));
        network.cut.insert((*b, *a));
    }
    network.run(30_000);
    network.cut.clear();
    // Each side has marked the other as dead; the platform's list shows all nodes.
    for at in 0..8 {
        let all: BTreeMap<usize, ()> = (0..8).map(|other| (other, ())).collect();
        for other in all.keys() {
            let now = network.now;
            network.nodes[at].add_or_retry_listed(now, &vm(*other), address(*other));
        }
    }
    network.run(15_000);
    assert!(network.all_views_are(&[0, 1, 2, 3, 4, 5, 6, 7]));
}

//! A fleet of daemons on a virtual clock: the real rules of who follows whom, on a network that is cut,
//! a source that turns daemons away, and processes that die, freeze and start again.
//!
//! What is simulated stands for `replication::{follow, client, server}`: questions are held, answers
//! come late or never. Each daemon's clock is the fleet's. Every proof is checked against what the
//! source really held when it was asked for.

mod peers;
mod source;
mod views;

use bridgevane_gateway::decisions::replication::followers::{
    Follower, FollowerPlacement, Followers, Tree,
};
use bridgevane_gateway::decisions::replication::hold::hold;
use bridgevane_gateway::decisions::replication::proof_limits::ProofLimits;
use bridgevane_gateway::decisions::replication::source_pacing::{SourceCaller, watch_wait};
use bridgevane_gateway::decisions::replication::source_path::SourcePath;
use bridgevane_gateway::decisions::replication::upstream::{
    PeerReport, Upstream, UpstreamSelector,
};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;

/// As `--key-removal-ms 5000` gives it.
pub const PROOF_LIFETIME: DurationMs = DurationMs(4_700);
const ANSWER_TIMEOUT_MS: u64 = 1_000;
const PROBE_TIMEOUT_MS: u64 = 300;
const FIRST_ANSWER_TIMEOUT_MS: u64 = 500;
const CONNECT_TIMEOUT_MS: u64 = 300;
const WATCH_WAIT_MS: u64 = 500;
const GATHER_MS: u64 = 200;
/// What a call of the source may take beyond its wait.
const SOURCE_SLACK_MS: u64 = 1_000;
/// The same of a call that waits for nothing.
const ANSWER_SLACK_MS: u64 = 600;
const SEED_EXCHANGE_MS: u64 = 200;
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 400;

/// One daemon.
struct Daemon {
    vm: VmId,
    data_centre: DataCentreId,
    address: SocketAddr,
    selector: UpstreamSelector,
    followers: Followers,
    at: u64,
    proved_at: Option<TimeMs>,
    fresher: Option<(SocketAddr, TimeMs)>,
    pause_ms: u64,
    is_alive: bool,
    frozen_until: u64,
    /// Counts processes: what was meant for an earlier one is dropped.
    life: u32,
    /// The question that is being waited for, and when it was asked.
    question: u64,
    asked_at: u64,
    /// It waits for a parent or the source, and not for a probe or the end of a pause.
    is_waiting: bool,
    is_at_source: bool,
    /// The source did not answer its last call.
    is_source_lost: bool,
    held: Vec<Held>,
    /// The proof that each follower was last sent on its connection.
    sent_proofs: BTreeMap<usize, Option<TimeMs>>,
    parent: Option<usize>,
}

/// A question that waits for news.
struct Held {
    from: usize,
    from_life: u32,
    question: u64,
    asked_at: u64,
    sent_proof: Option<TimeMs>,
}

#[derive(Clone)]
enum Answer {
    Place(PeerReport),
    Redirect(PeerReport),
    Records {
        report: PeerReport,
        at: u64,
        held_ms: u64,
    },
    Failed,
}

enum Event {
    Step {
        daemon: usize,
        life: u32,
    },
    Ask {
        from: usize,
        life: u32,
        to: usize,
        question: u64,
        is_probe: bool,
        asked_at: u64,
    },
    HoldEnds {
        daemon: usize,
        life: u32,
        from: usize,
        question: u64,
    },
    Answered {
        daemon: usize,
        life: u32,
        question: u64,
        peer: SocketAddr,
        answer: Answer,
        is_probe: bool,
    },
    SourceTurn {
        daemon: usize,
        life: u32,
        question: u64,
    },
    SourceAnswered {
        daemon: usize,
        life: u32,
        question: u64,
        at: Option<u64>,
    },
    SourceChanges,
    /// Seeds ask each other for work, and for proofs.
    SeedExchange,
}

/// The fleet.
pub struct Fleet {
    pub now: u64,
    limits: ProofLimits,
    random: u64,
    daemons: Vec<Daemon>,
    seeds: Vec<SocketAddr>,
    by_address: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    sequence: u64,
    /// When the source took on each revision, from 1.
    revisions: Vec<u64>,
    /// The group of each daemon: daemons of two groups don't reach each other.
    pub group: Vec<u32>,
    /// Whom the source answers.
    pub is_served: Vec<bool>,
    /// Calls of the source, by second and daemon.
    pub source_calls: Vec<(u64, usize)>,
    pub circles_left: u64,
    /// When each circle that stands now was first seen.
    circles_since: BTreeMap<Vec<usize>, u64>,
    pub longest_circle_ms: u64,
}

/// Where a daemon of this number listens.
fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 7_000))
}

impl Fleet {
    /// Daemons by data centre; `seeds` are the first of the first data centres.
    pub fn new(sizes: &[usize], seeds: usize, seed: u64) -> Self {
        Self::with_bound(sizes, seeds, seed, DurationMs(4_000))
    }

    /// The same where a change must be in force within `config_apply`.
    pub fn with_bound(sizes: &[usize], seeds: usize, seed: u64, config_apply: DurationMs) -> Self {
        let mut data_centres = Vec::new();
        // One of each data centre in turn: the first daemons are in different ones.
        let largest = sizes.iter().copied().max().unwrap_or(0);
        for round in 0..largest {
            for (data_centre, size) in sizes.iter().enumerate() {
                if round < *size {
                    data_centres.push(data_centre);
                }
            }
        }
        let count = data_centres.len();
        let mut fleet = Self {
            now: 0,
            limits: ProofLimits::new(PROOF_LIFETIME, config_apply),
            random: seed.wrapping_mul(2).wrapping_add(1),
            daemons: Vec::new(),
            seeds: (0..seeds).map(address).collect(),
            by_address: (0..count).map(|at| (address(at), at)).collect(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            revisions: vec![0],
            group: vec![0; count],
            is_served: vec![true; count],
            source_calls: Vec::new(),
            circles_left: 0,
            circles_since: BTreeMap::new(),
            longest_circle_ms: 0,
        };
        for (at, data_centre) in data_centres.into_iter().enumerate() {
            let data_centre = DataCentreId::from(format!("dc-{data_centre}").as_str());
            let daemon = fleet.new_daemon(at, data_centre, 0);
            fleet.daemons.push(daemon);
            let start = fleet.up_to(300);
            fleet.schedule(
                start,
                Event::Step {
                    daemon: at,
                    life: 0,
                },
            );
        }
        fleet.schedule(50, Event::SourceChanges);
        fleet.schedule(SEED_EXCHANGE_MS, Event::SeedExchange);
        fleet
    }

    fn new_daemon(&self, at: usize, data_centre: DataCentreId, life: u32) -> Daemon {
        Daemon {
            vm: VmId::from(format!("vm-{at}").as_str()),
            address: address(at),
            selector: UpstreamSelector::new(
                TimeMs(self.now),
                data_centre.clone(),
                Some(address(at)),
                &self.seeds,
                self.limits,
            ),
            followers: Followers::new(data_centre.clone()),
            data_centre,
            at: 0,
            proved_at: None,
            fresher: None,
            pause_ms: FIRST_PAUSE_MS,
            is_alive: true,
            frozen_until: 0,
            life,
            question: 0,
            asked_at: 0,
            is_waiting: false,
            is_at_source: false,
            is_source_lost: false,
            held: Vec::new(),
            sent_proofs: BTreeMap::new(),
            parent: None,
        }
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    fn next_random(&mut self) -> u64 {
        // A linear congruence with a final mix; its quality matters little here.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let mixed = self.random ^ (self.random >> 33);
        mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 16
    }

    pub fn up_to(&mut self, limit: u64) -> u64 {
        self.next_random() % limit.max(1)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay_ms, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn latency(&mut self) -> u64 {
        1 + self.up_to(4)
    }

    /// Ends a process.
    pub fn kill(&mut self, daemon: usize) {
        let killed = &mut self.daemons[daemon];
        killed.is_alive = false;
        killed.life += 1;
        killed.held.clear();
        killed.sent_proofs.clear();
        killed.parent = None;
    }

    /// Starts a new process at the same place.
    pub fn restart(&mut self, daemon: usize) {
        let (data_centre, life) = {
            let old = &self.daemons[daemon];
            (old.data_centre.clone(), old.life + 1)
        };
        self.daemons[daemon] = self.new_daemon(daemon, data_centre, life);
        let delay = self.up_to(300);
        self.schedule(delay, Event::Step { daemon, life });
    }

    /// Starts every process that ended.
    pub fn restart_dead(&mut self) {
        let dead = (0..self.len()).filter(|at| !self.daemons[*at].is_alive);
        let dead: Vec<usize> = dead.collect();
        dead.into_iter().for_each(|at| self.restart(at));
    }

    /// A process does nothing for a while.
    pub fn freeze(&mut self, daemon: usize, for_ms: u64) {
        self.daemons[daemon].frozen_until = self.now + for_ms;
    }

    /// Daemons of a data centre.
    pub fn of_data_centre(&self, number: usize) -> Vec<usize> {
        let name = DataCentreId::from(format!("dc-{number}").as_str());
        (0..self.len())
            .filter(|at| self.daemons[*at].data_centre == name)
            .collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while let Some(Reverse((at, sequence))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending.remove(&sequence).expect("it was scheduled");
            self.handle(event);
        }
        self.now = end;
        self.note_circles();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step { daemon, life } => self.step(daemon, life),
            Event::Ask {
                from,
                life,
                to,
                question,
                is_probe,
                asked_at,
            } => {
                self.on_question(from, life, to, question, is_probe, asked_at);
            }
            Event::HoldEnds {
                daemon,
                life,
                from,
                question,
            } => {
                if self.daemons[daemon].life == life && self.is_frozen(daemon) {
                    self.put_off(daemon, event);
                } else if self.daemons[daemon].life == life {
                    self.answer_held(daemon, |held| {
                        held.from == from && held.question == question
                    });
                }
            }
            Event::Answered {
                daemon,
                life,
                question,
                peer,
                answer,
                is_probe,
            } => {
                self.on_answer(daemon, life, question, peer, answer, is_probe);
            }
            Event::SourceTurn { daemon, .. } if self.is_frozen(daemon) => {
                self.put_off(daemon, event);
            }
            Event::SourceTurn {
                daemon,
                life,
                question,
            } => {
                let waiting = &self.daemons[daemon];
                if waiting.life == life && waiting.question == question && waiting.is_waiting {
                    self.give_up_question(daemon);
                }
            }
            Event::SourceAnswered {
                daemon,
                life,
                question,
                at,
            } => {
                self.on_source(daemon, life, question, at);
            }
            Event::SeedExchange => {
                self.exchange_between_seeds();
                self.schedule(SEED_EXCHANGE_MS, Event::SeedExchange);
            }
            Event::SourceChanges => {
                self.revisions.push(self.now);
                let delay = 300 + self.up_to(1_500);
                self.schedule(delay, Event::SourceChanges);
                self.note_circles();
            }
        }
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        self.now < self.daemons[daemon].frozen_until
    }

    /// Puts what a frozen process would do off until it goes on.
    fn put_off(&mut self, daemon: usize, event: Event) {
        let delay = self.daemons[daemon].frozen_until - self.now;
        self.schedule(delay, event);
    }

    fn step(&mut self, at: usize, life: u32) {
        if self.daemons[at].life != life || !self.daemons[at].is_alive {
            return;
        }
        if self.is_frozen(at) {
            return self.put_off(at, Event::Step { daemon: at, life });
        }
        let now = TimeMs(self.now);
        let daemon = &mut self.daemons[at];
        daemon.selector.on_proved(now, daemon.proved_at);
        if let Some((address, proved_at)) = daemon.fresher.take() {
            daemon.selector.on_fresher_daemon(now, address, proved_at);
        }
        let upstream = daemon.selector.select(now);
        daemon.question += 1;
        daemon.asked_at = self.now;
        daemon.is_waiting = !matches!(upstream, Upstream::Probe(_));
        daemon.is_at_source = upstream == Upstream::Source;
        let question = daemon.question;
        match upstream {
            Upstream::Source => {
                daemon.parent = None;
                self.ask_source(at, life);
            }
            Upstream::Peer(peer) => {
                let parent = self.by_address[&peer];
                if daemon.parent.replace(parent) != Some(parent) {
                    // A new connection.
                    self.daemons[parent].sent_proofs.remove(&at);
                }
                if let Some(turn) = self.daemons[at].selector.source_turn(now) {
                    let event = Event::SourceTurn {
                        daemon: at,
                        life,
                        question,
                    };
                    self.schedule(turn.since(now).0, event);
                }
                self.ask(at, life, peer, question, false);
            }
            Upstream::Probe(peer) => self.ask(at, life, peer, question, true),
        }
    }

    fn end_step(&mut self, at: usize, life: u32) {
        let daemon = &mut self.daemons[at];
        daemon.is_waiting = false;
        let delay = if daemon.selector.take_pause() {
            let pause = daemon.pause_ms;
            daemon.pause_ms = (pause * 2).min(MAX_PAUSE_MS);
            pause
        } else {
            daemon.pause_ms = FIRST_PAUSE_MS;
            0
        };
        self.schedule(delay, Event::Step { daemon: at, life });
    }
}

//! A simulated fleet of daemons on a virtual clock: the real rules for selecting an upstream, on a
//! network that is partitioned, with a source that refuses daemons, and processes that die, freeze
//! and restart.
//!
//! The simulation replaces `replication::{follow, client, server}`: polls are held, responses
//! arrive late or never. Each daemon's clock is the fleet's. Every proof is checked against the
//! state that the source held when it was polled.

pub mod disruptions;
mod peers;
mod returns;
mod source;
mod views;

use bridgevane_gateway::decisions::replication::followers::{
    Follower, FollowerPlacement, Followers, Subtree,
};
use bridgevane_gateway::decisions::replication::hold::max_hold;
use bridgevane_gateway::decisions::replication::proof_limits::ProofLimits;
use bridgevane_gateway::decisions::replication::source_pacing::{SourceCaller, watch_wait};
use bridgevane_gateway::decisions::replication::source_path::SourcePath;
use bridgevane_gateway::decisions::replication::upstream::{
    PeerReport, Upstream, UpstreamSelector,
};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use returns::{Knowledge, KnownState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;

/// The lifetime that `--key-removal-ms 5000` gives.
pub const PROOF_LIFETIME: DurationMs = DurationMs(4_700);
const ANSWER_TIMEOUT_MS: u64 = 1_000;
const PROBE_TIMEOUT_MS: u64 = 300;
const FIRST_ANSWER_TIMEOUT_MS: u64 = 500;
const CONNECT_TIMEOUT_MS: u64 = 300;
const WATCH_WAIT_MS: u64 = 500;
const GATHER_MS: u64 = 200;
/// How long a poll of the source may take beyond its wait.
const SOURCE_SLACK_MS: u64 = 1_000;
/// The same for a poll that doesn't wait.
const ANSWER_SLACK_MS: u64 = 600;
const SEED_EXCHANGE_MS: u64 = 200;
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 400;

/// A simulated daemon.
struct Daemon {
    vm: VmId,
    data_centre: DataCentreId,
    address: SocketAddr,
    selector: UpstreamSelector,
    followers: Followers,
    revision: u64,
    proved_at: Option<TimeMs>,
    fresher: Option<(SocketAddr, TimeMs)>,
    pause_ms: u64,
    is_alive: bool,
    frozen_until: u64,
    /// The number of its process: events for an earlier one are dropped.
    incarnation: u32,
    /// The number of the current poll; responses to earlier ones are dropped.
    poll: u64,
    asked_at: u64,
    /// It waits for a parent or the source, not for a probe or the end of a pause.
    is_polling: bool,
    is_polling_source: bool,
    /// The source did not answer its last poll.
    has_source_failed: bool,
    held: Vec<HeldPoll>,
    /// The proof that was last sent to each follower on its connection.
    sent_proofs: BTreeMap<usize, Option<TimeMs>>,
    parent: Option<usize>,
    knowledge: Knowledge,
}

/// A poll that is held until there is something new to return.
struct HeldPoll {
    from: usize,
    from_incarnation: u32,
    poll: u64,
    asked_at: u64,
    sent_proof: Option<TimeMs>,
}

#[derive(Clone)]
enum Answer {
    Position(PeerReport),
    Redirect(PeerReport),
    Records {
        report: PeerReport,
        revision: u64,
        held_ms: u64,
        knowledge: Knowledge,
    },
    Failed,
}

enum Event {
    Step {
        daemon: usize,
        incarnation: u32,
    },
    Poll {
        from: usize,
        incarnation: u32,
        to: usize,
        poll: u64,
        is_probe: bool,
        asked_at: u64,
    },
    HoldEnds {
        daemon: usize,
        incarnation: u32,
        from: usize,
        poll: u64,
    },
    Answered {
        daemon: usize,
        incarnation: u32,
        poll: u64,
        peer: SocketAddr,
        answer: Answer,
        is_probe: bool,
    },
    SourceSlot {
        daemon: usize,
        incarnation: u32,
        poll: u64,
    },
    SourceAnswered {
        daemon: usize,
        incarnation: u32,
        poll: u64,
        revision: Option<u64>,
    },
    /// A daemon asks the source beside its poll of the parent.
    Question {
        daemon: usize,
        incarnation: u32,
        poll: u64,
    },
    QuestionAnswered {
        daemon: usize,
        incarnation: u32,
        asked_at: u64,
        revision: u64,
    },
    SourceChanges,
    /// Seeds exchange their work and their proofs.
    SeedExchange,
    /// Daemons that follow the source report to the seeds.
    SeedReports,
}

/// The simulated fleet.
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
    /// When the source reached each revision, from 1.
    revisions: Vec<u64>,
    /// The configuration at the source.
    stored: KnownState,
    /// The partition of each daemon: daemons of two partitions don't reach each other.
    pub partition: Vec<u32>,
    /// Whether the source answers each daemon.
    pub is_served: Vec<bool>,
    /// The polls of the source, by second and daemon.
    pub source_polls: Vec<(u64, usize)>,
    pub cycles_left: u64,
    /// When each current cycle of parents was first seen.
    cycles_since: BTreeMap<Vec<usize>, u64>,
    pub longest_cycle_ms: u64,
}

/// Returns the address of the daemon with this number.
fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 7_000))
}

impl Fleet {
    /// Creates a fleet with this number of daemons in each data centre; `seeds` are the first of
    /// the first data centres.
    pub fn new(sizes: &[usize], seeds: usize, seed: u64) -> Self {
        Self::with_bound(sizes, seeds, seed, DurationMs(4_000))
    }

    /// Creates the same fleet where a change must be in force within `config_apply`.
    pub fn with_bound(sizes: &[usize], seeds: usize, seed: u64, config_apply: DurationMs) -> Self {
        let mut data_centres = Vec::new();
        // Data centres alternate: the first daemons are in different ones.
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
            stored: KnownState::first(),
            partition: vec![0; count],
            is_served: vec![true; count],
            source_polls: Vec::new(),
            cycles_left: 0,
            cycles_since: BTreeMap::new(),
            longest_cycle_ms: 0,
        };
        for (at, data_centre) in data_centres.into_iter().enumerate() {
            let data_centre = DataCentreId::from(format!("dc-{data_centre}").as_str());
            let daemon = fleet.new_daemon(at, data_centre, 0);
            fleet.daemons.push(daemon);
            let start = fleet.random_below(300);
            fleet.schedule(
                start,
                Event::Step {
                    daemon: at,
                    incarnation: 0,
                },
            );
        }
        fleet.schedule(50, Event::SourceChanges);
        fleet.schedule(SEED_EXCHANGE_MS, Event::SeedExchange);
        fleet.schedule(returns::REPORT_MS, Event::SeedReports);
        fleet
    }

    fn new_daemon(&self, at: usize, data_centre: DataCentreId, incarnation: u32) -> Daemon {
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
            revision: 0,
            proved_at: None,
            fresher: None,
            pause_ms: FIRST_PAUSE_MS,
            is_alive: true,
            frozen_until: 0,
            incarnation,
            poll: 0,
            asked_at: 0,
            is_polling: false,
            is_polling_source: false,
            has_source_failed: false,
            held: Vec::new(),
            sent_proofs: BTreeMap::new(),
            parent: None,
            knowledge: Knowledge::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    fn next_random(&mut self) -> u64 {
        // A linear congruential generator with a final mix; its quality matters little here.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let mixed = self.random ^ (self.random >> 33);
        mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 16
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.next_random() % limit.max(1)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay_ms, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn latency(&mut self) -> u64 {
        1 + self.random_below(4)
    }

    /// Ends a process.
    pub fn kill(&mut self, daemon: usize) {
        let killed = &mut self.daemons[daemon];
        killed.is_alive = false;
        killed.incarnation += 1;
        killed.held.clear();
        killed.sent_proofs.clear();
        killed.parent = None;
    }

    /// Starts a new process of the same daemon.
    pub fn restart(&mut self, daemon: usize) {
        let (data_centre, incarnation) = {
            let old = &self.daemons[daemon];
            (old.data_centre.clone(), old.incarnation + 1)
        };
        self.daemons[daemon] = self.new_daemon(daemon, data_centre, incarnation);
        let delay = self.random_below(300);
        self.schedule(
            delay,
            Event::Step {
                daemon,
                incarnation,
            },
        );
    }

    /// Starts a new process for every daemon without one.
    pub fn restart_dead(&mut self) {
        let dead = (0..self.len()).filter(|at| !self.daemons[*at].is_alive);
        let dead: Vec<usize> = dead.collect();
        dead.into_iter().for_each(|at| self.restart(at));
    }

    /// Freezes a process: it does nothing for a while.
    pub fn freeze(&mut self, daemon: usize, for_ms: u64) {
        self.daemons[daemon].frozen_until = self.now + for_ms;
    }

    /// Returns the daemons of a data centre.
    pub fn in_data_centre(&self, number: usize) -> Vec<usize> {
        let name = DataCentreId::from(format!("dc-{number}").as_str());
        (0..self.len())
            .filter(|at| self.daemons[*at].data_centre == name)
            .collect()
    }

    /// Advances the clock and handles all events until then.
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
        self.record_cycles();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step {
                daemon,
                incarnation,
            } => self.step(daemon, incarnation),
            Event::Poll {
                from,
                incarnation,
                to,
                poll,
                is_probe,
                asked_at,
            } => {
                self.on_poll(from, incarnation, to, poll, is_probe, asked_at);
            }
            Event::HoldEnds {
                daemon,
                incarnation,
                from,
                poll,
            } => {
                if self.daemons[daemon].incarnation == incarnation && self.is_frozen(daemon) {
                    self.postpone(daemon, event);
                } else if self.daemons[daemon].incarnation == incarnation {
                    self.answer_held(daemon, |held| held.from == from && held.poll == poll);
                }
            }
            Event::Answered {
                daemon,
                incarnation,
                poll,
                peer,
                answer,
                is_probe,
            } => {
                self.on_answer(daemon, incarnation, poll, peer, answer, is_probe);
            }
            Event::SourceSlot { daemon, .. } if self.is_frozen(daemon) => {
                self.postpone(daemon, event);
            }
            Event::SourceSlot {
                daemon,
                incarnation,
                poll,
            } => {
                let waiting = &self.daemons[daemon];
                if waiting.incarnation == incarnation && waiting.poll == poll && waiting.is_polling
                {
                    self.cancel_poll(daemon);
                }
            }
            Event::SourceAnswered {
                daemon,
                incarnation,
                poll,
                revision,
            } => {
                self.on_source(daemon, incarnation, poll, revision);
            }
            Event::Question {
                daemon,
                incarnation,
                poll,
            } => self.ask_source(daemon, incarnation, poll),
            Event::QuestionAnswered {
                daemon,
                incarnation,
                asked_at,
                revision,
            } => self.on_question_answered(daemon, incarnation, asked_at, revision),
            Event::SeedExchange => {
                self.exchange_between_seeds();
                self.schedule(SEED_EXCHANGE_MS, Event::SeedExchange);
            }
            Event::SeedReports => {
                self.report_to_seeds();
                self.schedule(returns::REPORT_MS, Event::SeedReports);
            }
            Event::SourceChanges => {
                self.revisions.push(self.now);
                let delay = 300 + self.random_below(1_500);
                self.schedule(delay, Event::SourceChanges);
                self.record_cycles();
            }
        }
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        self.now < self.daemons[daemon].frozen_until
    }

    /// Postpones an event of a frozen process until it resumes.
    fn postpone(&mut self, daemon: usize, event: Event) {
        let delay = self.daemons[daemon].frozen_until - self.now;
        self.schedule(delay, event);
    }

    fn step(&mut self, at: usize, incarnation: u32) {
        if self.daemons[at].incarnation != incarnation || !self.daemons[at].is_alive {
            return;
        }
        if self.is_frozen(at) {
            return self.postpone(
                at,
                Event::Step {
                    daemon: at,
                    incarnation,
                },
            );
        }
        let now = TimeMs(self.now);
        let daemon = &mut self.daemons[at];
        daemon.selector.on_proved(now, daemon.proved_at);
        if let Some((address, proved_at)) = daemon.fresher.take() {
            daemon.selector.on_fresher_daemon(now, address, proved_at);
        }
        let upstream = daemon.selector.select(now);
        daemon.poll += 1;
        daemon.asked_at = self.now;
        daemon.is_polling = !matches!(upstream, Upstream::Probe(_));
        daemon.is_polling_source = upstream == Upstream::Source;
        let poll = daemon.poll;
        match upstream {
            Upstream::Source => {
                daemon.parent = None;
                self.poll_source(at, incarnation);
            }
            Upstream::Peer(peer) => {
                let parent = self.by_address[&peer];
                if daemon.parent.replace(parent) != Some(parent) {
                    // The parent changed, so this is a new connection.
                    self.daemons[parent].sent_proofs.remove(&at);
                }
                if let Some(slot_at) = self.daemons[at].selector.source_slot_at(now) {
                    let event = Event::SourceSlot {
                        daemon: at,
                        incarnation,
                        poll,
                    };
                    self.schedule(slot_at.since(now).0, event);
                }
                if let Some(question_at) = self.daemons[at].selector.question_at() {
                    let event = Event::Question {
                        daemon: at,
                        incarnation,
                        poll,
                    };
                    self.schedule(question_at.since(now).0, event);
                }
                self.poll_peer(at, incarnation, peer, poll, false);
            }
            Upstream::Probe(peer) => self.poll_peer(at, incarnation, peer, poll, true),
        }
    }

    fn end_step(&mut self, at: usize, incarnation: u32) {
        let daemon = &mut self.daemons[at];
        daemon.is_polling = false;
        let delay = if daemon.selector.take_pause_request() {
            let pause = daemon.pause_ms;
            daemon.pause_ms = (pause * 2).min(MAX_PAUSE_MS);
            pause
        } else {
            daemon.pause_ms = FIRST_PAUSE_MS;
            0
        };
        self.schedule(
            delay,
            Event::Step {
                daemon: at,
                incarnation,
            },
        );
    }
}

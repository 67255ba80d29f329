//! Tests of the versions of streams in fleets of several sizes, on a virtual clock: the source's record
//! of one service changes as in a rollout while daemons are frozen, killed or cut off, and streams are
//! taken up at other daemons than those that began them.
//!
//! The version of the simulated configuration is the number of the record. Nothing is reported, and
//! daemons don't keep what they read on demand, so that registrations pass through the tree alone.

#[path = "support/tree_sim/mod.rs"]
#[allow(dead_code)]
mod tree_sim;

use UnreportedVersion::{Known, NeedsProof};
use bridgevane_gateway::decisions::eligibility::stream_version::{
    RegisteredVersions, UnreportedVersion, VersionEvidence, VersionHash,
};
use bridgevane_gateway::decisions::eligibility::version_registration::version_memory;
use bridgevane_types::{DurationMs, TimeMs};
use std::collections::{BTreeMap, BTreeSet};
use tree_sim::{Fleet, disruptions::Disruption};

const V1: VersionHash = VersionHash(1);
const V2: VersionHash = VersionHash(2);
/// The shortest time between two reads by one daemon, which is 20 a second.
const TICK_MS: u64 = 50;
/// The time that a request waits for a proof.
const MAX_WAIT_MS: u64 = 500;
/// The time in which a change must be in force on all daemons.
const MAX_APPLY_MS: u64 = 3_000;
/// The longest life of a stream: four times the longest timeout of a resumable route.
const MAX_STREAM_MS: u64 = 4 * 12_000;
/// The time from the start, or a change of the record, to the streams around the next change.
const PHASE_MS: u64 = 9_000;
/// The number of streams that begin in a tick close to a change.
const BEGUN: usize = 100;

/// Returns the service's record with this number: 0 before the first state, then those of a rollout.
fn record(number: u64) -> RegisteredVersions {
    let (active, retired) = match number {
        0 => (vec![], vec![]),
        1 => (vec![V1], vec![]),
        2 => (vec![V1, V2], vec![]),
        3 => (vec![V2], vec![V1]),
        _ => (vec![V2], vec![]),
    };
    RegisteredVersions { active, retired }
}

fn conclude(number: u64, taken_up_at: u64, proved_at: Option<u64>) -> UnreportedVersion {
    record(number).unreported(VersionEvidence {
        taken_up_at: TimeMs(taken_up_at),
        proved_at: proved_at.map(TimeMs),
        may_lack_versions: false,
    })
}

struct Play {
    fleet: Fleet,
    /// The versions of streams, by the time when they are taken up.
    streams: BTreeMap<u64, Vec<VersionHash>>,
    /// Requests that wait: when and at which daemon a stream was taken up, and its version.
    waiting: Vec<(u64, usize, VersionHash)>,
    /// When each daemon came or comes back into contact.
    contact_since: Vec<u64>,
    /// The number of the newest record, and when it was written.
    newest: (u64, u64),
    /// The reads on demand: when, and by which daemon.
    reads: Vec<(u64, usize)>,
    outcome: Outcome,
}

/// What came of a play.
#[derive(Debug, Default)]
struct Outcome {
    known: usize,
    refused: usize,
    /// Streams that went on at another version than the one that began them.
    joined: usize,
    /// The same by a rule that trusts the daemon's own state if its proof is young.
    joined_by_own_state: usize,
    /// The longest time for which a daemon in contact lacked a registration.
    longest_ms: u64,
}

impl Play {
    fn new(sizes: &[usize], seed: u64) -> Self {
        let fleet = Fleet::with_bound(sizes, 3, seed, DurationMs(MAX_APPLY_MS));
        Self {
            contact_since: vec![0; fleet.len()],
            fleet,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            newest: (1, 0),
            reads: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays for a while; this many streams begin in each tick.
    fn run(&mut self, for_ms: u64, begun: usize) {
        for _ in 0..for_ms / TICK_MS {
            self.fleet.run(TICK_MS);
            self.measure();
            (0..begun).for_each(|_| self.begin_stream());
            self.take_up_streams();
            self.answer_requests();
        }
    }

    fn random_time(&mut self, limit_ms: u64) -> u64 {
        self.fleet.random_below(limit_ms / TICK_MS) * TICK_MS
    }

    fn measure(&mut self) {
        for (at, since) in self.contact_since.iter().enumerate() {
            if self.fleet.version_of(at) < self.newest.0 {
                let lacks_for_ms = self.fleet.now.saturating_sub(self.newest.1.max(*since));
                self.outcome.longest_ms = self.outcome.longest_ms.max(lacks_for_ms);
            }
        }
    }

    /// Begins a stream at a version that is active in a daemon's state.
    fn begin_stream(&mut self) {
        let at = self.fleet.random_daemon();
        let active = record(self.fleet.version_of(at)).active;
        if active.is_empty() || !self.fleet.is_awake(at) || !self.fleet.serves(at) {
            return;
        }
        let version = active[self.fleet.random_below(active.len() as u64) as usize];
        let longest_ms = [2_000, MAX_STREAM_MS][self.fleet.random_below(2) as usize];
        let after_ms = TICK_MS + self.random_time(longest_ms);
        self.client_returns(after_ms, version);
    }

    fn client_returns(&mut self, after_ms: u64, version: VersionHash) {
        let at = self.fleet.now + after_ms;
        self.streams.entry(at).or_default().push(version);
    }

    fn take_up_streams(&mut self) {
        let now = self.fleet.now;
        for begun_at in self.streams.remove(&now).unwrap_or_default() {
            let at = self.fleet.random_daemon();
            if !self.fleet.is_awake(at) {
                self.client_returns(TICK_MS, begun_at);
                continue;
            }
            let proof_age = self.fleet.oldest_proof(&[at]).unwrap_or(MAX_APPLY_MS);
            let by_own_state = conclude(self.fleet.version_of(at), 0, Some(1));
            let is_other = matches!(by_own_state, Known(version) if version != begun_at);
            self.outcome.joined_by_own_state += usize::from(proof_age < MAX_APPLY_MS && is_other);
            self.waiting.push((now, at, begun_at));
        }
    }

    /// Reads the source once for all requests of a daemon, in the millisecond after they came: no proof
    /// that is newer has an older state.
    fn answer_requests(&mut self) {
        let now = self.fleet.now;
        let mut read = BTreeSet::new();
        for (taken_up_at, at, begun_at) in std::mem::take(&mut self.waiting) {
            let mut known = conclude(self.fleet.version_of(at), taken_up_at, None);
            if known == NeedsProof
                && let Some(newest) = self.fleet.read_on_demand(at)
            {
                read.insert((now, at));
                known = conclude(newest, taken_up_at, Some(now + 1));
            }
            if let Known(version) = known {
                self.outcome.known += 1;
                self.outcome.joined += usize::from(version != begun_at);
            } else if now - taken_up_at < MAX_WAIT_MS {
                self.waiting.push((taken_up_at, at, begun_at));
            } else {
                self.outcome.refused += 1;
            }
        }
        self.reads.extend(read);
    }
}

/// Plays a rollout up to the record with the number `last`; each is written during a disruption.
fn assert_apart(sizes: &[usize], seeds: &[u64], last: u64) {
    let mut joined_by_own_state = 0;
    for seed in seeds {
        let mut play = Play::new(sizes, *seed);
        play.run(PHASE_MS, 0);
        for number in 2..=last {
            if number == 4 {
                let memory_ms = version_memory(DurationMs(MAX_STREAM_MS / 4)).0;
                play.run(memory_ms - PHASE_MS - MAX_APPLY_MS, 0);
            }
            let early_ms = play.random_time(MAX_APPLY_MS);
            let late_ms = MAX_WAIT_MS + play.random_time(MAX_APPLY_MS);
            play.run(MAX_APPLY_MS - early_ms, BEGUN);
            let disruption = Disruption::ALL[(seed + number) as usize % 4];
            for (at, back_at) in play.fleet.disrupt(disruption, early_ms + late_ms) {
                play.contact_since[at] = back_at;
            }
            play.run(early_ms, BEGUN);
            play.fleet.write_version(number);
            play.newest = (number, play.fleet.now);
            play.run(late_ms, BEGUN);
            play.fleet.end_disruption();
            play.run(PHASE_MS - late_ms, 0);
        }
        let outcome = play.outcome;
        println!("{sizes:?}, seed {seed}: {outcome:?}");
        assert!(outcome.longest_ms <= MAX_APPLY_MS, "seed {seed}");
        assert!(outcome.known > 0 && outcome.joined == 0, "seed {seed}");
        joined_by_own_state += outcome.joined_by_own_state;
    }
    // Otherwise no play could tell a wrong rule.
    assert!(joined_by_own_state > 0, "{sizes:?}");
}

/// Guards against streams joined from two versions after a daemon was frozen, killed or cut off in a
/// rollout, and against registrations that reach daemons too late.
#[test]
fn no_stream_goes_on_at_another_version_in_a_small_fleet() {
    assert_apart(&[6; 4], &[0, 1, 2, 3, 4, 5, 6, 7], 4);
    assert_apart(&[15, 15, 15, 14], &[0, 1, 2, 3], 4);
}

/// Guards against the same in a large fleet, of which half stands still while the second version is
/// registered. The removal of the first one would take longer than all before.
#[test]
fn no_stream_goes_on_at_another_version_in_a_large_fleet() {
    assert_apart(&[197; 5], &[2], 3);
}

/// Guards against a store that gets a read for every stream when many are taken up at a time.
#[test]
fn a_daemon_reads_the_source_once_for_all_streams_that_wait() {
    let mut play = Play::new(&[197; 5], 0);
    play.run(PHASE_MS, 0);
    let killed = (0..play.fleet.len()).step_by(2);
    let streams = 3 * killed.len();
    killed.for_each(|at| play.fleet.kill(at));
    for _ in 0..streams {
        let after_ms = TICK_MS + play.random_time(MAX_WAIT_MS);
        play.client_returns(after_ms, V1);
    }
    play.run(2 * MAX_WAIT_MS, 0);
    let (reads, outcome) = (play.reads.len(), play.outcome);
    println!("{streams} streams: {reads} reads, {outcome:?}");
    assert_eq!((outcome.known, outcome.joined), (streams, 0));
    assert!((1..streams).contains(&reads), "{reads} reads");
}

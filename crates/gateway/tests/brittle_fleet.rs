//! Tests on a virtual clock that large fleets send a brittle endpoint no more than it can turn away while
//! it is full, and what it has room for otherwise.
//!
//! Each daemon knows its own requests at once, and what the others observe after a delay.

mod support;

use bridgevane_gateway::decisions::eligibility::brittle::{
    BrittleLoad, Fullness, has_room, permit_rate,
};
use bridgevane_gateway::decisions::eligibility::rate_limit::{PacedPermits, daemon_rate};
use bridgevane_types::{RequestsPerSecond, TimeMs};
use std::collections::VecDeque;
use support::seeded::Seeded;

const STEP_MS: u64 = 10;
/// The number of requests that the endpoint can turn away in a second.
const MAX_TURNED_AWAY_PER_S: u64 = 3;
const SLOTS: u32 = 32;
/// How long a request runs.
const WORK_MS: u64 = 100;
/// How long an observation takes to all daemons, along the tree.
const REPORT_MS: u64 = 800;
/// The time after the first announcement from which the number holds.
const NOTICE_MS: u64 = 3_000;
const RUN_MS: u64 = 20_000;
const SIZES: [u32; 2] = [100, 985];

struct Daemon {
    permits: PacedPermits,
    /// The ends of its requests that run.
    own: Vec<u64>,
    fullness: Fullness,
}

struct Fleet {
    daemons: Vec<Daemon>,
    random: Seeded,
    /// The requests that run at the endpoint, at each step.
    running: VecDeque<u32>,
    /// What daemons observed, until all know it.
    reports: VecDeque<(u64, Fullness)>,
}

#[derive(Default)]
struct Outcome {
    turned_away_at: Vec<u64>,
    offered: u64,
    run: u64,
}

fn newer(known: Option<TimeMs>, observed: Option<TimeMs>) -> Option<TimeMs> {
    known.max(observed)
}

impl Fleet {
    fn new(size: u32, seed: u64) -> Self {
        let mut random = Seeded::new(seed);
        let rate = permit_rate(RequestsPerSecond(MAX_TURNED_AWAY_PER_S as f64));
        let rate = daemon_rate(rate, size);
        let daemons = (0..size).map(|_| Daemon {
            permits: PacedPermits::start(TimeMs(0), rate, random.below(1_000) as f64 / 1_000.0),
            own: Vec::new(),
            fullness: Fullness::default(),
        });
        Self {
            daemons: daemons.collect(),
            random,
            running: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Passes on what was observed long enough ago.
    fn deliver_reports(&mut self, now_ms: u64) {
        while let Some((at_ms, observed)) = self.reports.front().copied()
            && at_ms + REPORT_MS <= now_ms
        {
            self.reports.pop_front();
            for daemon in &mut self.daemons {
                let known = &mut daemon.fullness;
                known.turned_away_at = newer(known.turned_away_at, observed.turned_away_at);
                known.had_room_at = newer(known.had_room_at, observed.had_room_at);
            }
        }
    }

    /// Offers a request to a daemon; returns whether it sends the request.
    fn may_send(&mut self, at: usize, now_ms: u64) -> bool {
        let daemons = Some(self.daemons.len() as u32);
        let others = self.running.front().copied().unwrap_or_default();
        let daemon = &mut self.daemons[at];
        let own_running = daemon.own.len() as u32;
        let load = BrittleLoad {
            slots: SLOTS,
            daemons,
            own_running,
            running: others.max(own_running),
            is_full: daemon.fullness.is_full(),
        };
        has_room(load) || daemon.permits.try_acquire(TimeMs(now_ms))
    }
}

/// Plays a fleet that is offered so many requests a second; the endpoint has `free` slots.
fn play(size: u32, seed: u64, offered_per_s: u64, free: u32) -> Outcome {
    let mut fleet = Fleet::new(size, seed);
    let mut outcome = Outcome::default();
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        fleet.deliver_reports(now_ms);
        for daemon in &mut fleet.daemons {
            daemon.own.retain(|end_ms| *end_ms > now_ms);
        }
        let mut running = fleet
            .daemons
            .iter()
            .map(|daemon| daemon.own.len() as u32)
            .sum();
        // Arrivals of one step, with the mean of the offered rate.
        let draws = offered_per_s * STEP_MS / 10;
        let arrivals = (0..draws).filter(|_| fleet.random.below(100) == 0);
        for _ in 0..arrivals.count() {
            let is_counted = now_ms >= NOTICE_MS;
            outcome.offered += u64::from(is_counted);
            let at = fleet.random.below(fleet.daemons.len());
            if !fleet.may_send(at, now_ms) {
                continue;
            }
            let now = Some(TimeMs(now_ms));
            let mut observed = Fullness::default();
            if running < free {
                running += 1;
                outcome.run += u64::from(is_counted);
                fleet.daemons[at].own.push(now_ms + WORK_MS);
                observed.had_room_at = now;
            } else {
                outcome.turned_away_at.push(now_ms);
                observed.turned_away_at = now;
            }
            let known = &mut fleet.daemons[at].fullness;
            known.turned_away_at = newer(known.turned_away_at, observed.turned_away_at);
            known.had_room_at = newer(known.had_room_at, observed.had_room_at);
            fleet.reports.push_back((now_ms, observed));
        }
        fleet.running.push_back(running);
        if fleet.running.len() as u64 > REPORT_MS / STEP_MS {
            fleet.running.pop_front();
        }
    }
    outcome
}

/// Returns the most requests that were turned away in any second after the notice time.
fn most_in_a_second(turned_away_at: &[u64]) -> usize {
    let late: Vec<u64> = turned_away_at
        .iter()
        .copied()
        .filter(|at_ms| *at_ms >= NOTICE_MS)
        .collect();
    let in_second = |from: &u64| {
        let window = *from..from + 1_000;
        late.iter().filter(|at_ms| window.contains(at_ms)).count()
    };
    late.iter().map(in_second).max().unwrap_or_default()
}

/// Guards against daemons of a large fleet that each try a full endpoint on their own.
#[test]
fn a_large_fleet_has_no_more_turned_away_than_a_full_endpoint_can_bear() {
    for size in SIZES {
        for seed in 1..=8 {
            let outcome = play(size, seed, 400, 0);
            let most = most_in_a_second(&outcome.turned_away_at);
            assert!(
                most as u64 <= MAX_TURNED_AWAY_PER_S,
                "{size} daemons, seed {seed}: {most} in a second"
            );
        }
    }
}

/// Guards against a brittle endpoint that gets much less than a plain one although half of its slots are
/// free: the share of a daemon is one slot where there are more daemons than slots.
#[test]
#[ignore = "listed in KNOWN-RED.txt"]
fn a_brittle_endpoint_with_room_gets_nine_tenths_of_what_a_plain_one_would() {
    let offered_per_s = u64::from(SLOTS / 2) * 1_000 / WORK_MS;
    for size in SIZES {
        for seed in 1..=3 {
            let outcome = play(size, seed, offered_per_s, SLOTS);
            let share = outcome.run as f64 / outcome.offered as f64;
            assert!(share >= 0.9, "{size} daemons, seed {seed}: {share:.3}");
        }
    }
}

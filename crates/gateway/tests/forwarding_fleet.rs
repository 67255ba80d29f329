//! Tests in virtual time that daemons which are cut off from all endpoints of a service find those that
//! reach it, in fleets of several sizes. A daemon knows the seeds and some daemons of its own data
//! centre at first, and a seed some followers in each data centre; they learn others from the answers of
//! those that they ask.

mod support;

use bridgevane_gateway::Daemons;
use bridgevane_gateway::decisions::eligibility::region_limits::RegionLimits;
use bridgevane_gateway::decisions::forwarding::MAX_ASKED;
use bridgevane_types::{DataCentreId, ServiceName, TimeMs};
use std::collections::HashSet;
use std::net::SocketAddr;
use support::seeded::Seeded;

/// The time after the begin of a cut from which the users' rule counts.
const CONTACT_MS: u64 = 3_000;
/// How long the cut lasts.
const CUT_MS: u64 = 15_000;
/// The share of the tries at daemons that are cut off that must be served.
const MIN_SERVED: f64 = 0.95;
/// The time that a request may spend on finding a daemon: less than a plain route's deadline leaves
/// after a connection that hangs.
const MAX_SEARCH_MS: u64 = 250;
/// A round trip within a data centre, and to another one.
const LOCAL_MS: u64 = 2;
const FAR_MS: u64 = 20;
const SERVICE: &str = "model";
const SEEDS: usize = 3;
/// The daemons that an answer names.
const NAMED: usize = 8;
/// The interval of the probe beside which a daemon searches.
const SEARCH_INTERVAL_MS: usize = 550;
/// The mean times between two requests of one daemon.
const INTERVALS_MS: [u64; 2] = [1_000, 5_000];
const LOCAL_CONTACTS: usize = 10;
/// The followers of a seed in each data centre.
const FOLLOWERS: usize = 3;

/// Which daemons are cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// All of the first data centre.
    DataCentre,
    /// A share of the fleet, whole data centres first.
    Share(f64),
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    daemons: usize,
    data_centres: usize,
    cut: Cut,
    /// The mean time between two requests of one daemon, in milliseconds.
    request_interval_ms: u64,
}

#[derive(Debug)]
struct Simulated {
    data_centre: DataCentreId,
    is_cut_off: bool,
    daemons: Daemons,
}

#[derive(Debug, Default)]
struct Outcome {
    tries: u64,
    served: u64,
}

fn address(index: usize) -> SocketAddr {
    let octets = [10, 0, (index / 256) as u8, (index % 256) as u8];
    SocketAddr::from((octets, 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("IPv4 alone is used");
    };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

fn build(fleet: Fleet, random: &mut Seeded) -> Vec<Simulated> {
    let size = fleet.daemons.div_ceil(fleet.data_centres);
    let data_centre = |index: usize| DataCentreId::from(format!("dc-{}", index / size).as_str());
    let cut_off = match fleet.cut {
        Cut::DataCentre => size,
        Cut::Share(share) => (fleet.daemons as f64 * share) as usize,
    };
    let seeds: Vec<SocketAddr> = (0..SEEDS)
        .map(|_| address(random.below(fleet.daemons)))
        .collect();
    (0..fleet.daemons)
        .map(|index| {
            let own = Some(address(index));
            let random_seed = random.below(usize::MAX) as u64;
            let daemons = Daemons::new(own, data_centre(index), &seeds, random_seed);
            let first = index / size * size;
            let locals = size.min(fleet.daemons - first);
            for _ in 0..LOCAL_CONTACTS {
                let local = first + random.below(locals);
                daemons.on_heard_of(TimeMs(1), address(local), Some(&data_centre(local)));
            }
            if seeds.contains(&address(index)) {
                for first in (0..fleet.daemons).step_by(size) {
                    for _ in 0..FOLLOWERS {
                        let follower = first + random.below(size.min(fleet.daemons - first));
                        let place = data_centre(follower);
                        daemons.on_heard_of(TimeMs(1), address(follower), Some(&place));
                    }
                }
            }
            Simulated {
                data_centre: data_centre(index),
                is_cut_off: index < cut_off,
                daemons,
            }
        })
        .collect()
}

/// Asks a daemon; returns its index if it serves, and adds the round trips of the handshake.
fn ask(
    fleet: &[Simulated],
    from: usize,
    asked: &mut Vec<SocketAddr>,
    at: TimeMs,
    elapsed_ms: &mut u64,
) -> Option<Option<usize>> {
    let service = &ServiceName::from(SERVICE);
    let own = &fleet[from];
    let chosen = own
        .daemons
        .choose(at, service, asked, &RegionLimits::EVERYWHERE)?;
    asked.push(chosen.address);
    let index = index_of(chosen.address);
    let other = &fleet[index];
    *elapsed_ms += if other.data_centre == own.data_centre {
        LOCAL_MS
    } else {
        FAR_MS
    };
    let place = &other.data_centre;
    own.daemons.on_heard_of(at, chosen.address, Some(place));
    for (named, place) in other.daemons.sample(NAMED) {
        own.daemons.on_heard_of(at, named, Some(&place));
    }
    for (named, place) in other.daemons.serving(at, service, NAMED) {
        let daemons = &own.daemons;
        daemons.on_named_as_serving(at, named, &place, service);
    }
    if other.is_cut_off {
        own.daemons.on_declined(at, chosen.address, service);
        return Some(None);
    }
    own.daemons.on_served(at, chosen.address, service);
    Some(Some(index))
}

/// Sends one request through other daemons; returns the one that serves it.
fn forward(fleet: &[Simulated], from: usize, at: TimeMs) -> Option<usize> {
    let mut asked = Vec::new();
    let mut elapsed_ms = 0;
    while asked.len() < MAX_ASKED {
        let served_by = ask(fleet, from, &mut asked, at, &mut elapsed_ms)?;
        if elapsed_ms > MAX_SEARCH_MS {
            return None;
        }
        if served_by.is_some() {
            return served_by;
        }
    }
    None
}

/// What a daemon does while it is cut off, in the order of time.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It searches for a daemon that serves, beside the probe of its endpoints.
    Search,
    /// A client's request arrives.
    Request,
}

/// Returns the steps of the daemons that are cut off, by their times: requests at random, and searches
/// once a daemon has found out with its first request.
fn steps(fleet: Fleet, cut_off: &[usize], random: &mut Seeded) -> Vec<(u64, usize, Step)> {
    let requests = cut_off.len() as u64 * CUT_MS / fleet.request_interval_ms;
    let mut steps: Vec<(u64, usize, Step)> = (0..requests)
        .map(|_| {
            let at_ms = random.below(CUT_MS as usize) as u64;
            (at_ms, cut_off[random.below(cut_off.len())], Step::Request)
        })
        .collect();
    steps.sort_by_key(|(at_ms, ..)| *at_ms);
    let mut knowing = HashSet::new();
    for (at_ms, daemon, _) in steps.clone() {
        if knowing.insert(daemon) {
            let searches = (at_ms..CUT_MS).step_by(SEARCH_INTERVAL_MS).skip(1);
            steps.extend(searches.map(|at_ms| (at_ms, daemon, Step::Search)));
        }
    }
    steps.sort_by_key(|(at_ms, ..)| *at_ms);
    steps
}

/// Plays a cut; counts the tries at daemons that are cut off, from `CONTACT_MS` on.
fn play(fleet: Fleet, seed: u64) -> Outcome {
    let mut random = Seeded::new(seed);
    let simulated = build(fleet, &mut random);
    let cut_off: Vec<usize> = (0..fleet.daemons)
        .filter(|index| simulated[*index].is_cut_off)
        .collect();
    let mut outcome = Outcome::default();
    for (at_ms, daemon, step) in steps(fleet, &cut_off, &mut random) {
        let at = TimeMs(10_000 + at_ms);
        match step {
            Step::Search => {
                let daemons = &simulated[daemon].daemons;
                if !daemons.knows_serving(at, &ServiceName::from(SERVICE)) {
                    ask(&simulated, daemon, &mut Vec::new(), at, &mut 0);
                }
            }
            Step::Request => {
                let served_by = forward(&simulated, daemon, at);
                if at_ms >= CONTACT_MS {
                    outcome.tries += 1;
                    outcome.served += u64::from(served_by.is_some());
                }
            }
        }
    }
    outcome
}

fn assert_served(fleet: Fleet) {
    for seed in 1..=3 {
        let outcome = play(fleet, seed);
        let served = outcome.served as f64 / outcome.tries as f64;
        assert!(
            served >= MIN_SERVED,
            "{fleet:?}, seed {seed}: {} of {} tries are served",
            outcome.served,
            outcome.tries
        );
    }
}

/// Guards against requests that ask only daemons of a data centre that is cut off as a whole, which go
/// before all others.
#[test]
fn requests_leave_a_data_centre_of_which_all_daemons_are_cut_off() {
    for (daemons, data_centres) in [(6, 3), (80, 3), (985, 5)] {
        for request_interval_ms in INTERVALS_MS {
            assert_served(Fleet {
                daemons,
                data_centres,
                cut: Cut::DataCentre,
                request_interval_ms,
            });
        }
    }
}

/// Guards against requests that ask a few daemons at random, of which hardly any reaches the service,
/// while others know one that does.
#[test]
fn requests_find_the_few_daemons_that_reach_a_service() {
    for (daemons, data_centres) in [(80, 3), (985, 5)] {
        for share in [0.85, 0.95] {
            for request_interval_ms in INTERVALS_MS {
                assert_served(Fleet {
                    daemons,
                    data_centres,
                    cut: Cut::Share(share),
                    request_interval_ms,
                });
            }
        }
    }
}

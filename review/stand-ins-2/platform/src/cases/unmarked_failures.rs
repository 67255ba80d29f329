//! A worker fails part of its requests after it ran them, with status 503 and without
//! `Not-Executed`: does a client get a status that promises that its booking has not run?

use super::{Record, SERVICE, log_folder, start_gateways};
use crate::clients::{Clients, PROMISES, configuration};
use crate::gateway::ZONES;
use crate::store::Store;
use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// How long the clients send before and after the disruption.
const AROUND: Duration = Duration::from_secs(5);
/// The length of the disruption.
const DISRUPTION: Duration = Duration::from_millis(6_500);
/// The workers, of which one fails.
const WORKERS: usize = 7;
/// The clients at each gateway.
const CLIENTS: usize = 4;
/// The pause between two bookings of a client.
const PAUSE: Duration = Duration::from_millis(40);
/// Returns whether a client got a promise for a booking that had run.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Record::create(folder)?;
    let store = Store::start();
    store.put("op/config", configuration(SERVICE).as_bytes());
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|at| Worker::start(&format!("i-{at}")))
        .collect();
    for (at, worker) in workers.iter().enumerate() {
        let entry = worker.record(SERVICE, ZONES[at % ZONES.len()]);
        store.put(&format!("servers/{}", worker.id), entry.as_bytes());
    }
    let logs = log_folder("unmarked-failures")?;
    let gateways = start_gateways(&store, &logs)?;
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let clients = Clients::start(&fronts, CLIENTS, PAUSE);
    thread::sleep(AROUND);
    workers[0].set_failing(has_trouble);
    if has_trouble {
        record.line(format!(
            "{:.1} s to {:.1} s: worker i-0 fails two of five requests after it ran them",
            AROUND.as_secs_f64(),
            (AROUND + DISRUPTION).as_secs_f64()
        ));
    }
    thread::sleep(DISRUPTION);
    workers[0].set_failing(false);
    thread::sleep(AROUND);
    let bookings = clients.stop();
    drop(gateways);
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for booking in &bookings {
        *ends.entry(&booking.result).or_default() += 1;
    }
    record.line(format!(
        "sent: {} bookings; answered: {ends:?}",
        bookings.len()
    ));
    for worker in &workers {
        record.line(format!("worker {} ran {}", worker.id, worker.ran().len()));
    }
    let ran: BTreeSet<String> = workers.iter().flat_map(Worker::ran).collect();
    let broken = bookings
        .iter()
        .filter(|booking| PROMISES.contains(&booking.result.as_str()) && ran.contains(&booking.id));
    for booking in broken.clone() {
        record.line(format!(
            "{:.3} s: booking {} was answered {}, signature {:?}, and has run",
            booking.sent_at.as_secs_f64(),
            booking.id,
            booking.result,
            booking.signature
        ));
    }
    let twice = bookings.iter().filter(|booking| {
        let before = booking.repeats.as_ref();
        before.is_some_and(|before| ran.contains(before) && ran.contains(&booking.id))
    });
    for booking in twice {
        record.line(format!(
            "{:.3} s: its client has sent it again as {}, answered {}, and it has run twice",
            booking.sent_at.as_secs_f64(),
            booking.id,
            booking.result
        ));
    }
    let broken = broken.count();
    record.line(format!("bookings with a promise that have run: {broken}"));
    Ok(broken > 0)
}

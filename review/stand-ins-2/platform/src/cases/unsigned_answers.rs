//! Half of the workers hand out wrong bytes in two of a hundred answers: do clients get them as a
//! success?

use super::{Record, SERVICE, log_folder, start_gateways};
use crate::clients::{Clients, configuration};
use crate::gateway::ZONES;
use crate::store::Store;
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// How long the clients send before and after the disruption.
const AROUND: Duration = Duration::from_secs(5);
/// The length of the disruption.
const DISRUPTION: Duration = Duration::from_secs(5);
/// One in this many answers is spoiled: a share of 0.02.
const SPOILED_OF: usize = 50;
/// The workers, of which half are faulty.
const WORKERS: usize = 4;
/// The clients at each gateway.
const CLIENTS: usize = 4;
/// The pause between two bookings of a client.
const PAUSE: Duration = Duration::from_millis(40);

/// Returns whether a client got a success without a worker's signature.
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
    let logs = log_folder("unsigned-answers")?;
    let gateways = start_gateways(&store, &logs)?;
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let clients = Clients::start(&fronts, CLIENTS, PAUSE);
    thread::sleep(AROUND);
    let faulty = &workers[..WORKERS / 2];
    if has_trouble {
        faulty.iter().for_each(|worker| worker.spoil(SPOILED_OF));
        record.line(format!(
            "{:.1} s to {:.1} s: workers i-0 and i-1 spoil one of {SPOILED_OF} answers",
            AROUND.as_secs_f64(),
            (AROUND + DISRUPTION).as_secs_f64()
        ));
    }
    thread::sleep(DISRUPTION);
    faulty.iter().for_each(|worker| worker.spoil(0));
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
    let unsigned = bookings
        .iter()
        .filter(|booking| booking.result == "200" && booking.signature.is_empty());
    for booking in unsigned.clone() {
        record.line(format!(
            "{:.3} s: booking {} was answered 200 without a signature, with {} bytes of body",
            booking.sent_at.as_secs_f64(),
            booking.id,
            booking.body_bytes
        ));
    }
    let unsigned = unsigned.count();
    record.line(format!("successes without a signature: {unsigned}"));
    Ok(unsigned > 0)
}

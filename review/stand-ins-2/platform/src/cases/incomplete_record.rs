//! Another writer's entry lacks fields that every worker writes: does the server at its address get
//! bookings?

use super::{Record, SERVICE, log_folder, start_gateways};
use crate::clients::{Clients, configuration};
use crate::gateway::ZONES;
use crate::store::Store;
use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// How long the clients send before and after the entry is written.
const SPAN: Duration = Duration::from_secs(8);
/// The clients at each gateway.
const CLIENTS: usize = 4;
/// The pause between two bookings of a client.
const PAUSE: Duration = Duration::from_millis(40);

/// Returns whether a server that is no worker ran bookings.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Record::create(folder)?;
    let store = Store::start();
    store.put("op/config", configuration(SERVICE).as_bytes());
    let workers: Vec<Worker> = (0..3).map(|at| Worker::start(&format!("i-{at}"))).collect();
    for (worker, zone) in workers.iter().zip(ZONES) {
        let entry = worker.record(SERVICE, zone);
        store.put(&format!("servers/{}", worker.id), entry.as_bytes());
    }
    let logs = log_folder("incomplete-record")?;
    let gateways = start_gateways(&store, &logs)?;
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let clients = Clients::start(&fronts, CLIENTS, PAUSE);
    thread::sleep(SPAN);
    // A server of another system, which answers as a worker does.
    let other = Worker::start("trial-desk-1");
    if has_trouble {
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","slots":6,"state":"ready"}}"#,
            other.address, ZONES[0]
        );
        record.line(format!("another writer: servers/{} = {entry}", other.id));
        store.put(&format!("servers/{}", other.id), entry.as_bytes());
    }
    thread::sleep(SPAN);
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
    let elsewhere: BTreeSet<String> = other.ran().into_iter().collect();
    record.line(format!(
        "{}, which is no worker, ran {}",
        other.id,
        elsewhere.len()
    ));
    let lost = bookings
        .iter()
        .filter(|booking| booking.result == "200" && elsewhere.contains(&booking.id));
    for booking in lost.clone().take(5) {
        record.line(format!(
            "{:.3} s: booking {} was answered 200 with signature {}, and no worker ran it",
            booking.sent_at.as_secs_f64(),
            booking.id,
            booking.signature
        ));
    }
    record.line(format!(
        "bookings answered 200 that ran only at a server that is no worker: {}",
        lost.count()
    ));
    Ok(!elsewhere.is_empty())
}

//! Another writer leaves entries of the largest size beside the workers': do gateways stay within
//! their memory?

use super::{Record, SERVICE, log_folder, seeds, start_gateways};
use crate::clients::{Booking, Clients, configuration};
use crate::gateway::{MEMORY_MB, ZONES};
use crate::store::Store;
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How long the clients send before the entries are written.
const BEFORE: Duration = Duration::from_secs(8);
/// How long they send afterwards.
const AFTER: Duration = Duration::from_secs(20);
/// The entries of the other writer.
const ENTRIES: usize = 100;
/// The length of each: `value_bytes` of the store.
const ENTRY_BYTES: usize = 1_048_576;
/// The pause between two writes: far below the store's 400 a second.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// How often the platform looks at the memory of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// After how long the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// The ends of processes in a day that are a fault, and on how many machines.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;
/// The clients at each gateway.
const CLIENTS: usize = 2;
/// The pause between two bookings of a client.
const PAUSE: Duration = Duration::from_millis(100);

/// Returns whether the processes of two machines ended three times above their memory.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Record::create(folder)?;
    let store = Store::start();
    store.put("op/config", configuration(SERVICE).as_bytes());
    let workers: Vec<Worker> = (0..3).map(|at| Worker::start(&format!("i-{at}"))).collect();
    for (worker, zone) in workers.iter().zip(ZONES) {
        let entry = worker.record(SERVICE, zone);
        store.put(&format!("servers/{}", worker.id), entry.as_bytes());
    }
    let logs = log_folder("large-records")?;
    let mut gateways = start_gateways(&store, &logs)?;
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let seeds = seeds(&gateways);
    let started = Instant::now();
    let clients = Clients::start(&fronts, CLIENTS, PAUSE);
    let writer = store.clone();
    thread::spawn(move || {
        thread::sleep(BEFORE);
        for at in 0..if has_trouble { ENTRIES } else { 0 } {
            // No bytes of UTF-8 text.
            let bytes = vec![0xfe - (at % 16) as u8; ENTRY_BYTES];
            writer.put(&format!("servers/backup-{at:03}"), &bytes);
            thread::sleep(WRITE_PAUSE);
        }
    });
    if has_trouble {
        record.line(format!(
            "{:.3} s: another writer begins to write {ENTRIES} entries of {ENTRY_BYTES} bytes that can't be read, servers/backup-000 and on",
            BEFORE.as_secs_f64()
        ));
    }
    let mut ends = vec![0; gateways.len()];
    let mut highest_mb = vec![0.0_f64; gateways.len()];
    let mut restart_at = vec![None; gateways.len()];
    while started.elapsed() < BEFORE + AFTER {
        for (at, gateway) in gateways.iter_mut().enumerate() {
            let now = started.elapsed();
            if let Some(due) = restart_at[at] {
                if now >= due {
                    restart_at[at] = None;
                    gateway.start(store.address, &seeds);
                }
                continue;
            }
            let memory_mb = gateway.memory_mb();
            let is_above = memory_mb.is_some_and(|memory_mb| memory_mb > MEMORY_MB);
            highest_mb[at] = highest_mb[at].max(memory_mb.unwrap_or_default());
            if is_above || memory_mb.is_none() {
                ends[at] += 1;
                record.line(format!(
                    "{:.3} s: the platform kills {} at {:.0} MB of {MEMORY_MB} MB",
                    now.as_secs_f64(),
                    gateway.name,
                    memory_mb.unwrap_or_default()
                ));
                gateway.kill();
                restart_at[at] = Some(now + RESTART_DELAY);
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
    let bookings = clients.stop();
    for (at, gateway) in gateways.iter().enumerate() {
        record.line(format!(
            "{}: ended {} times, highest memory seen {:.0} MB",
            gateway.name, ends[at], highest_mb[at]
        ));
    }
    drop(gateways);
    let is_before = |booking: &&Booking| booking.sent_at < BEFORE;
    let (before, after): (Vec<_>, Vec<_>) = bookings.iter().partition(is_before);
    for (name, part) in [("before", before), ("afterwards", after)] {
        let mut results: BTreeMap<&str, usize> = BTreeMap::new();
        for booking in &part {
            *results.entry(&booking.result).or_default() += 1;
        }
        record.line(format!(
            "{name}: sent {} bookings; answered {results:?}",
            part.len()
        ));
    }
    let machines = ends.iter().filter(|ends| **ends >= FAULT_ENDS).count();
    record.line(format!(
        "machines whose processes ended {FAULT_ENDS} times: {machines} of {}",
        ends.len()
    ));
    Ok(machines >= FAULT_MACHINES)
}

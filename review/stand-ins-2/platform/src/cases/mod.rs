//! The cases, and what they have in common.

pub mod early_answers;
pub mod incomplete_record;
pub mod large_records;
pub mod unsigned_answers;
pub mod upgraded_in_place;

use crate::gateway::{Gateway, ZONES};
use crate::http;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// The service of the bookings.
const SERVICE: &str = "wuno96b";

/// The record of a run in the case's folder.
struct Record(File);

impl Record {
    fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt"));
        file.map(Self).map_err(|error| error.to_string())
    }

    fn line(&mut self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        // A full disk shows in the missing lines.
        let _ = writeln!(self.0, "{}", text.as_ref());
    }
}

/// A folder for the gateways' logs, outside of the repository.
fn log_folder(case: &str) -> Result<PathBuf, String> {
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    Ok(folder)
}

/// Starts one gateway in each zone and waits until all are ready.
fn start_gateways(store: &Store, logs: &Path) -> Result<Vec<Gateway>, String> {
    let mut gateways: Vec<Gateway> = ZONES.iter().map(|zone| Gateway::new(zone, logs)).collect();
    let seeds = seeds(&gateways);
    for gateway in &mut gateways {
        gateway.start(store.address, &seeds);
    }
    let limit = Instant::now() + Duration::from_secs(10);
    while !gateways.iter().all(is_ready) {
        if Instant::now() > limit {
            return Err("the gateways weren't ready within 10 s".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(gateways)
}

fn seeds(gateways: &[Gateway]) -> Vec<SocketAddr> {
    gateways.iter().map(|gateway| gateway.control).collect()
}

/// Asks a gateway as the platform does.
fn is_ready(gateway: &Gateway) -> bool {
    let head = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
    let answer = http::call(gateway.ready, head, b"", Duration::from_secs(1));
    answer.is_ok_and(|answer| answer.status == 200)
}

//! One run in which another writer leaves odd records among those of the workers, while daemons run and
//! before some of them start.

use crate::callers::{Body, open_connection};
use crate::copy_environment::{CopyEnvironment, time_until_ready};
use crate::environment::KEYS;
use crate::options::SoakOptions;
use crate::processes::DaemonBounds;
use crate::run::SoakError;
use bridgevane_platform_emulator::{
    CONFIG_KEY, EmulatedStore, LARGEST_VALUES, document_with_keys, keyed_request, odd_records,
};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The time that daemons have for each step.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// The number of daemons that are restarted.
const RESTARTS: usize = 2;
/// The time between two looks at a daemon.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The deadline of a call.
const DEADLINE: Duration = Duration::from_secs(2);
/// The version of the configuration that is written beside the odd records.
const LATER_VERSION: u64 = 2;
/// The key that only this configuration has.
const LATER_KEY: &str = "key-later";

/// What daemons did beside odd records.
#[derive(Clone, Debug, Default)]
pub struct OddRecordsOutcome {
    /// The daemons whose processes ended by themselves.
    pub ended: Vec<String>,
    /// The daemons that didn't become ready in time.
    pub not_ready: Vec<String>,
    /// The daemons that didn't serve by a later configuration in time.
    pub not_following: Vec<String>,
}

impl OddRecordsOutcome {
    /// Returns whether every daemon ran, was ready and followed the store.
    pub fn is_sound(&self) -> bool {
        self.ended.is_empty() && self.not_ready.is_empty() && self.not_following.is_empty()
    }
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed.
pub async fn run_odd_records(options: &SoakOptions) -> Result<OddRecordsOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let mut environment = CopyEnvironment::start(options, DaemonBounds::default()).await?;
    let mut outcome = OddRecordsOutcome::default();
    check_ready(&environment, &mut outcome).await;
    put_all(&environment.store);
    write_later_configuration(&environment);
    check_following(&environment, &mut outcome).await;
    check_ended(&mut environment, &mut outcome)?;
    for daemon in environment.daemons.iter_mut().rev().take(RESTARTS) {
        daemon.signal(Signal::TERM);
        daemon.wait_for_end().await?;
        daemon.restart()?;
    }
    check_ready(&environment, &mut outcome).await;
    check_following(&environment, &mut outcome).await;
    check_ended(&mut environment, &mut outcome)?;
    Ok(outcome)
}

/// Writes odd records of each kind, of which one has the largest value.
fn put_all(store: &EmulatedStore) {
    let records = odd_records();
    for record in &records[..=records.len() - LARGEST_VALUES] {
        store.put_bytes(&record.key(), &record.value);
    }
}

/// Writes a configuration with another key.
fn write_later_configuration(environment: &CopyEnvironment) {
    let document = document_with_keys(LATER_VERSION, &[KEYS[0], LATER_KEY]);
    environment.store.put(CONFIG_KEY, &document);
}

fn check_ended(
    environment: &mut CopyEnvironment,
    outcome: &mut OddRecordsOutcome,
) -> Result<(), std::io::Error> {
    for daemon in &mut environment.daemons {
        if daemon.has_ended()? {
            outcome.ended.push(daemon.settings.name.clone());
        }
    }
    Ok(())
}

async fn check_ready(environment: &CopyEnvironment, outcome: &mut OddRecordsOutcome) {
    for daemon in &environment.daemons {
        let until = Instant::now() + STEP_LIMIT;
        if time_until_ready(daemon.settings.ready, until).await >= STEP_LIMIT {
            outcome.not_ready.push(daemon.settings.name.clone());
        }
    }
}

/// Checks that each daemon serves a call with the key that only the later configuration has.
async fn check_following(environment: &CopyEnvironment, outcome: &mut OddRecordsOutcome) {
    for daemon in &environment.daemons {
        let until = Instant::now() + STEP_LIMIT;
        while !is_served(daemon.settings.clients).await {
            if Instant::now() > until {
                outcome.not_following.push(daemon.settings.name.clone());
                break;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }
}

async fn is_served(daemon: SocketAddr) -> bool {
    let Some(mut sender) = open_connection(daemon).await else {
        return false;
    };
    let deadline_ms = DEADLINE.as_millis() as u64;
    let (head, _) = keyed_request("/once/1", "later-1", LATER_KEY, deadline_ms).into_parts();
    let request = http::Request::from_parts(head, Body::from("hi"));
    let answer = timeout(DEADLINE, sender.send_request(request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status().is_success())
}

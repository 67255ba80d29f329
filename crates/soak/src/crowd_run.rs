//! One run in which crowds of clients meet daemons while callers go on, and daemons are frozen, stopped, killed
//! and reconfigured. No process may end by itself, hang, or go over its memory, and each serves afterwards.

use crate::callers::{self, CallPace, Calls};
use crate::copy_environment::{CopyEnvironment, time_until_ready};
use crate::crowd::{Crowd, PeakUsage, Target};
use crate::crowd_plan::{CrowdInterruption, CrowdPlan, PlannedCrowd};
use crate::environment::KEYS;
use crate::history::CallEnd;
use crate::options::SoakOptions;
use crate::processes::{DaemonBounds, DaemonProcess};
use crate::run::SoakError;
use bridgevane_platform_emulator::{CONFIG_KEY, document_with_customers, unframed_head};
use rustix::process::Signal;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The memory of a daemon in megabytes.
const MEMORY_MB: u64 = 48;
/// The limits for bodies that take turns.
const BODY_BYTES: [usize; 2] = [256 * 1024, 64 * 1024];
/// The number of chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 2_000;
/// The time that daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// The time that a daemon has to end after a stop signal, more than its `--stop-s`.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// The time between two readings of what the processes use.
const USAGE_INTERVAL: Duration = Duration::from_millis(20);
/// The deadline of requests of the crowd, and how long their route allows.
const CROWD_DEADLINE_MS: u64 = 15_000;

/// What daemons did beside crowds.
#[derive(Clone, Debug, Default)]
pub struct CrowdsOutcome {
    /// The plan of the run.
    pub plan: CrowdPlan,
    /// The daemons whose processes ended by themselves.
    pub ended: Vec<String>,
    /// The daemons that didn't end after a stop signal.
    pub hung: Vec<String>,
    /// The daemons that served no ordinary request after the crowds had gone.
    pub not_serving: Vec<String>,
    /// The highest use of a process.
    pub peak: PeakUsage,
    /// The number of calls, of those served, and of successes without the signature of a worker.
    pub calls: usize,
    /// The calls that were served.
    pub served: usize,
    /// The successes without the signature of a worker.
    pub unsigned: usize,
}

impl CrowdsOutcome {
    /// Returns whether all daemons lived, stayed within their memory and served.
    pub fn is_sound(&self) -> bool {
        let is_within = self.peak.memory_bytes < MEMORY_MB << 20;
        let has_none = self.ended.is_empty() && self.hung.is_empty() && self.not_serving.is_empty();
        is_within && has_none && self.unsigned == 0
    }

    /// Returns one line with the figures of the run.
    pub fn summary(&self) -> String {
        format!(
            "seed {}: {} crowds, {} interruptions, peak {} MB of {MEMORY_MB} and {} descriptors, {} of {} \
             calls served, {} unsigned; ended {:?}, hung {:?}, not serving {:?}",
            self.plan.seed,
            self.plan.crowds.len(),
            self.plan.interruptions.len(),
            self.peak.memory_bytes.div_ceil(1 << 20),
            self.peak.descriptors,
            self.served,
            self.calls,
            self.unsigned,
            self.ended,
            self.hung,
            self.not_serving
        )
    }
}

/// The ids of the processes that run.
type ProcessIds = Arc<Mutex<Vec<Option<u32>>>>;

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed.
pub async fn run_crowds(options: &SoakOptions) -> Result<CrowdsOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let bounds = DaemonBounds {
        memory_mb: Some(MEMORY_MB),
        ..DaemonBounds::default()
    };
    let mut environment = CopyEnvironment::start(options, bounds).await?;
    write_config(&environment, 0);
    environment
        .wait_until_ready(Instant::now() + START_LIMIT)
        .await;
    let plan = CrowdPlan::draw(options.seed, options.size.duration, options.size.daemons);
    let mut outcome = CrowdsOutcome {
        plan: plan.clone(),
        ..CrowdsOutcome::default()
    };
    let started = Instant::now();
    let addresses = environment.client_addresses();
    let calls = Calls::default();
    let pace = CallPace::default();
    let mut callers = callers::start(options, &addresses, started, &pace, &calls);
    let ids: ProcessIds = Arc::default();
    set_ids(&ids, &environment.daemons);
    let usage = Arc::new(Mutex::new(PeakUsage::default()));
    let mut watching = JoinSet::new();
    watching.spawn(watch_usage(ids.clone(), usage.clone()));
    let mut crowds = JoinSet::new();
    for crowd in plan.crowds {
        crowds.spawn(let_meet(addresses[crowd.daemon], crowd, started));
    }
    for (number, (at, daemon, interruption)) in plan.interruptions.into_iter().enumerate() {
        sleep_until(started + at).await;
        if let CrowdInterruption::Reconfigured = interruption {
            write_config(&environment, number + 1);
            continue;
        }
        interrupt(&mut environment.daemons[daemon], interruption, &mut outcome).await?;
        set_ids(&ids, &environment.daemons);
    }
    while crowds.join_next().await.is_some() {}
    while callers.join_next().await.is_some() {}
    for daemon in &mut environment.daemons {
        note_end(daemon, &mut outcome)?;
        if !target(daemon.settings.clients).serves().await {
            outcome.not_serving.push(daemon.settings.name.clone());
        }
    }
    watching.shutdown().await;
    outcome.peak = *usage.lock().unwrap_or_else(PoisonError::into_inner);
    count_calls(&calls, &mut outcome);
    Ok(outcome)
}

/// Writes a configuration of this number; its limit for bodies takes turns.
fn write_config(environment: &CopyEnvironment, number: usize) {
    // The crowd and ordinary requests after it use another key than the callers.
    let customers: [(&str, &[&str]); 2] = [("callers", &KEYS), ("crowd", &["k"])];
    let mut document = document_with_customers(2 + number as u64, &customers);
    document["limits"]["bodyBytes"] = json!(BODY_BYTES[number % BODY_BYTES.len()]);
    document["routes"][0]["timeoutMs"] = json!(CROWD_DEADLINE_MS);
    environment.store.put(CONFIG_KEY, &document);
}

fn target(address: SocketAddr) -> Target {
    Target {
        address,
        head: |id| unframed_head("/once/x", id, CROWD_DEADLINE_MS),
        ordinary_body: "hi".to_owned(),
        max_body_bytes: BODY_BYTES[0],
        tiny_chunks: TINY_CHUNKS,
    }
}

/// Lets a crowd connect at its time, and stay until its end.
async fn let_meet(address: SocketAddr, planned: PlannedCrowd, started: Instant) {
    sleep_until(started + planned.at).await;
    let target = target(address);
    let mut crowd = Crowd::start(&target, &planned.kinds, planned.clients);
    // Clients of a process that ends stay until it is gone.
    let _ = timeout(planned.lasts, crowd.sent()).await;
    sleep_until(started + planned.at + planned.lasts).await;
}

async fn watch_usage(ids: ProcessIds, usage: Arc<Mutex<PeakUsage>>) {
    loop {
        let running = ids.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for id in running.into_iter().flatten() {
            usage.lock().unwrap_or_else(PoisonError::into_inner).add(id);
        }
        sleep(USAGE_INTERVAL).await;
    }
}

fn set_ids(ids: &ProcessIds, daemons: &[DaemonProcess]) {
    let running = daemons.iter().map(DaemonProcess::id).collect();
    *ids.lock().unwrap_or_else(PoisonError::into_inner) = running;
}

/// Records a process that has ended by itself, and starts it again.
fn note_end(daemon: &mut DaemonProcess, outcome: &mut CrowdsOutcome) -> Result<(), SoakError> {
    if daemon.has_ended()? {
        outcome.ended.push(daemon.settings.name.clone());
        daemon.restart()?;
    }
    Ok(())
}

async fn interrupt(
    daemon: &mut DaemonProcess,
    interruption: CrowdInterruption,
    outcome: &mut CrowdsOutcome,
) -> Result<(), SoakError> {
    note_end(daemon, outcome)?;
    match interruption {
        CrowdInterruption::Frozen(lasts) => {
            daemon.signal(Signal::STOP);
            sleep(lasts).await;
            daemon.signal(Signal::CONT);
        }
        CrowdInterruption::Reloaded => {
            // Before it listens, a process has no handler yet and the signal ends it.
            time_until_ready(daemon.settings.ready, Instant::now() + START_LIMIT).await;
            daemon.signal(Signal::HUP);
        }
        CrowdInterruption::Stopped => {
            daemon.signal(Signal::TERM);
            if timeout(STOP_LIMIT, daemon.wait_for_end()).await.is_err() {
                outcome.hung.push(daemon.settings.name.clone());
                daemon.signal(Signal::KILL);
                daemon.wait_for_end().await?;
            }
            daemon.restart()?;
        }
        CrowdInterruption::Killed => {
            daemon.signal(Signal::KILL);
            daemon.wait_for_end().await?;
            daemon.restart()?;
        }
        // It concerns all daemons.
        CrowdInterruption::Reconfigured => {}
    }
    Ok(())
}

fn count_calls(calls: &Calls, outcome: &mut CrowdsOutcome) {
    for call in calls.take() {
        outcome.calls += 1;
        if let CallEnd::Answered {
            status: 200,
            is_signed,
            ..
        } = call.end
        {
            outcome.served += 1;
            outcome.unsigned += usize::from(!is_signed);
        }
    }
}

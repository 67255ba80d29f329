//! One run in which daemons are cut off from all workers while callers, the store and the other daemons
//! reach them.
//!
//! Each daemon has a store of its own, all with the same content but for the workers' addresses: those
//! lead through its own paths, which can be cut for this daemon alone.

use crate::callers::{self, CallPace, Calls};
use crate::cut_checks::{CutHistory, CutViolation, Disturbance, find_cut_violations};
use crate::cut_path::{CutPath, PathState};
use crate::cut_plan::{Cut, CutPlan, DATA_CENTRES, Strike, StrikeEvent};
use crate::environment::{KEYS, Ports, normal_behaviour};
use crate::options::SoakOptions;
use crate::processes::{DaemonBounds, DaemonProcess, DaemonSettings};
use crate::run::SoakError;
use bridgevane_platform_emulator::{
    CONFIG_KEY, EmulatedStore, MODEL, PLAIN, Worker, document_with_keys,
};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The time that daemons have to start before the calls begin.
const START_PERIOD: Duration = Duration::from_millis(1_500);
/// The deadline of a call: that of plain routes in the field, and the time of a short stream.
const DEADLINE: Duration = Duration::from_millis(900);
/// The pause between two calls of a caller: with few requests a daemon learns slowly.
const PAUSE_MS: std::ops::Range<u64> = 200..900;
/// Longer than a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_millis(7_000);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct CutOutcome {
    /// The plan of the run.
    pub plan: CutPlan,
    /// The record of the run.
    pub history: CutHistory,
    /// The violated guarantees.
    pub violations: Vec<CutViolation>,
}

impl CutOutcome {
    /// Returns one line with the number of calls and of violations, and the lowest share served at
    /// daemons that were cut off.
    pub fn summary(&self) -> String {
        let lowest = self.history.lowest_share();
        format!(
            "seed {}: {} calls, {} cuts, {} strikes, lowest share at daemons that were cut off {}, \
             {} broken",
            self.plan.seed,
            self.history.calls.len(),
            self.plan.cuts.len(),
            self.plan.strikes.len(),
            lowest.map_or_else(|| "-".to_owned(), |share| format!("{share:.3}")),
            self.violations.len()
        )
    }
}

/// The processes, stores, workers and paths of a run.
#[derive(Debug)]
struct CutEnvironment {
    workers: Vec<Worker>,
    /// The stores of the daemons, which stop when they are dropped.
    _stores: Vec<EmulatedStore>,
    /// For each daemon its paths to all workers.
    paths: Vec<Vec<CutPath>>,
    daemons: Vec<DaemonProcess>,
}

impl CutEnvironment {
    async fn start(options: &SoakOptions) -> Result<Self, std::io::Error> {
        let mut workers = Vec::new();
        for at in 0..options.size.workers {
            let behaviour = normal_behaviour(service(at));
            workers.push(Worker::start(&format!("i-{at}"), behaviour).await);
        }
        let ports = Ports::new();
        let count = options.size.daemons;
        let mut peers = Vec::new();
        for _ in 0..count {
            peers.push(ports.free_address().await?);
        }
        let mut environment = Self {
            workers,
            _stores: Vec::new(),
            paths: Vec::new(),
            daemons: Vec::new(),
        };
        for at in 0..count {
            let store = environment.start_store().await?;
            let settings = DaemonSettings {
                name: format!("vm-{at}"),
                data_centre: format!("z{}", at % DATA_CENTRES),
                clients: ports.free_address().await?,
                ready: ports.free_address().await?,
                peers: peers[at],
                store: store.address,
                // Every daemon polls its own store.
                seeds: peers.clone(),
                bounds: DaemonBounds::default(),
                serves_stale: options.serves_stale,
                duties: None,
            };
            environment._stores.push(store);
            let daemon = DaemonProcess::start(&options.program, &options.folder, settings)?;
            environment.daemons.push(daemon);
        }
        Ok(environment)
    }

    /// Starts the store of the next daemon and opens its paths.
    async fn start_store(&mut self) -> Result<EmulatedStore, std::io::Error> {
        let store = EmulatedStore::start().await;
        store.put(CONFIG_KEY, &document_with_keys(1, &KEYS));
        let mut paths = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let path = CutPath::open(worker.address)?;
            let data_centre = format!("z{}", at % DATA_CENTRES);
            let record = worker.record_at(path.address, service(at), &data_centre, "ready");
            store.put(&worker.key(), &record);
            paths.push(path);
        }
        self.paths.push(paths);
        Ok(store)
    }

    fn set_paths(&self, cut: &Cut, state: PathState) {
        for (daemon, paths) in self.paths.iter().enumerate() {
            if cut.target.strikes(daemon, self.paths.len()) {
                paths.iter().for_each(|path| path.set(state));
            }
        }
    }

    fn client_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.settings.clients).collect()
    }
}

fn service(worker: usize) -> &'static str {
    if worker.is_multiple_of(2) {
        PLAIN
    } else {
        MODEL
    }
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; violations are part of the outcome.
pub async fn run_cut_off(options: &SoakOptions) -> Result<CutOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = CutPlan::draw(options.seed, options.size.daemons, options.size.duration);
    let environment = CutEnvironment::start(options).await?;
    sleep(START_PERIOD).await;
    let started = Instant::now();
    let calls = Calls::default();
    let pace = CallPace {
        deadline: DEADLINE,
        pause_ms: PAUSE_MS,
    };
    let addresses = environment.client_addresses();
    let callers = callers::start(options, &addresses, started, &pace, &calls);
    let environment = Arc::new(Mutex::new(environment));
    let mut events = JoinSet::new();
    for cut in plan.cuts.iter().copied() {
        events.spawn(make_cut(environment.clone(), started, cut));
    }
    for event in plan.strikes.iter().copied() {
        events.spawn(strike(environment.clone(), started, event));
    }
    callers.join_all().await;
    let mut disturbances = Vec::new();
    for disturbance in events.join_all().await {
        disturbances.extend(disturbance?);
    }
    let environment = environment.lock().await;
    let history = CutHistory {
        calls: calls.take(),
        executed_ids: (environment.workers.iter())
            .flat_map(Worker::executed_ids)
            .collect(),
        cuts: plan.cuts.clone(),
        daemons: options.size.daemons,
        disturbances,
    };
    let violations = find_cut_violations(&history);
    Ok(CutOutcome {
        plan,
        history,
        violations,
    })
}

async fn make_cut(
    environment: Arc<Mutex<CutEnvironment>>,
    started: Instant,
    cut: Cut,
) -> Result<Option<Disturbance>, std::io::Error> {
    sleep_until(started + cut.at).await;
    environment.lock().await.set_paths(&cut, cut.state);
    sleep(cut.lasts).await;
    environment.lock().await.set_paths(&cut, PathState::Open);
    Ok(None)
}

async fn strike(
    environment: Arc<Mutex<CutEnvironment>>,
    started: Instant,
    event: StrikeEvent,
) -> Result<Option<Disturbance>, std::io::Error> {
    sleep_until(started + event.at).await;
    let at = event.daemon;
    match event.strike {
        Strike::Kill => {
            let mut environment = environment.lock().await;
            let daemon = &mut environment.daemons[at];
            daemon.signal(Signal::KILL);
            daemon.wait_for_end().await?;
            daemon.restart()?;
        }
        Strike::Stop => {
            environment.lock().await.daemons[at].signal(Signal::TERM);
            let limit = Instant::now() + STOP_LIMIT;
            // The lock is free in between for other events.
            while Instant::now() < limit {
                sleep(Duration::from_millis(20)).await;
                let mut environment = environment.lock().await;
                if environment.daemons[at].has_ended()? {
                    environment.daemons[at].restart()?;
                    break;
                }
            }
        }
        Strike::Pause => {
            environment.lock().await.daemons[at].signal(Signal::STOP);
            sleep(event.lasts).await;
            environment.lock().await.daemons[at].signal(Signal::CONT);
        }
    }
    Ok(Some(Disturbance {
        daemon: at,
        from: event.at,
        to: started.elapsed(),
    }))
}

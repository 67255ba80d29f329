//! The store, workers and daemons of a run with rollouts.

use crate::confirmed_versions::{APPLY_BOUND, KEY_BOUND};
use crate::copy_environment::{SEED_DAEMONS, time_until_ready};
use crate::cut_path::{CutPath, PathState};
use crate::environment::{KEYS, Ports};
use crate::options::SoakOptions;
use crate::processes::{DaemonBounds, DaemonProcess, DaemonSettings};
use crate::rollout_plan::CutLinks;
use crate::stream_checks::STREAM_EVENTS;
use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, EmulatedStore, MODEL, Worker, document_with_keys,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that the operator wants a request held: that of a client's deadline.
const ROUTE_TIMEOUT_MS: u64 = 9_000;
/// The operator's objective for the first event; clients wait four times as long between events.
const ROUTE_OBJECTIVE_MS: u64 = 500;
/// The data centre of all daemons and workers.
const DATA_CENTRE: &str = "z";
/// The times within which daemons have changes in force.
const BOUNDS: DaemonBounds = DaemonBounds {
    key_removal: KEY_BOUND,
    config_apply: Some(APPLY_BOUND),
    drain: None,
    memory_mb: None,
};

/// A worker behind a path that is closed when the worker ends.
#[derive(Debug)]
pub(crate) struct RolloutWorker {
    worker: Worker,
    path: CutPath,
}

impl RolloutWorker {
    /// Ends the worker: its connections are reset, and new ones refused.
    pub(crate) fn end(&self) {
        self.path.set(PathState::Reset);
    }
}

/// A path from a daemon to one of the seeds.
#[derive(Debug)]
struct PeerPath {
    from: usize,
    to: usize,
    path: CutPath,
}

/// The store, workers and daemons of a run.
#[derive(Debug)]
pub(crate) struct RolloutEnvironment {
    pub(crate) store: EmulatedStore,
    pub(crate) daemons: Vec<DaemonProcess>,
    /// The workers that weren't taken out, the oldest ones first.
    serving: Vec<RolloutWorker>,
    workers_started: usize,
    version: usize,
    store_paths: Vec<CutPath>,
    peer_paths: Vec<PeerPath>,
}

impl RolloutEnvironment {
    /// Starts everything, with workers of one version.
    pub(crate) async fn start(options: &SoakOptions) -> Result<Self, std::io::Error> {
        let mut environment = Self {
            store: EmulatedStore::start().await,
            daemons: Vec::new(),
            serving: Vec::new(),
            workers_started: 0,
            version: 0,
            store_paths: Vec::new(),
            peer_paths: Vec::new(),
        };
        environment.store.put(CONFIG_KEY, &configuration());
        let new = environment.start_version(options.size.workers).await?;
        environment.join(new);
        environment.start_daemons(options).await?;
        Ok(environment)
    }

    /// Starts workers of the next version, which have no records yet.
    pub(crate) async fn start_version(
        &mut self,
        workers: usize,
    ) -> Result<Vec<RolloutWorker>, std::io::Error> {
        self.version += 1;
        let version = format!("v{}", self.version);
        let mut started = Vec::new();
        for _ in 0..workers {
            let id = format!("i-{}", self.workers_started);
            self.workers_started += 1;
            let behaviour = Behaviour::NamedEvents(STREAM_EVENTS, EVENT_INTERVAL);
            let worker = Worker::start_version(&id, &version, behaviour).await;
            let path = CutPath::open(worker.address)?;
            started.push(RolloutWorker { worker, path });
        }
        Ok(started)
    }

    /// Writes the records of workers, which serve from now on.
    pub(crate) fn join(&mut self, workers: Vec<RolloutWorker>) {
        for worker in &workers {
            self.write_record(worker, "ready");
        }
        self.serving.extend(workers);
    }

    pub(crate) fn serving(&self) -> usize {
        self.serving.len()
    }

    /// Returns the oldest workers; they don't count as serving any more, but keep their records.
    pub(crate) fn take_oldest(&mut self, workers: usize) -> Vec<RolloutWorker> {
        let workers = workers.min(self.serving.len());
        self.serving.drain(..workers).collect()
    }

    /// Writes the record of a worker with this state.
    pub(crate) fn write_record(&self, worker: &RolloutWorker, state: &str) {
        let address = worker.path.address;
        let record = worker.worker.record_at(address, MODEL, DATA_CENTRE, state);
        self.store.put(&worker.worker.key(), &record);
    }

    pub(crate) fn remove_record(&self, worker: &RolloutWorker) {
        self.store.remove(&worker.worker.key());
    }

    async fn start_daemons(&mut self, options: &SoakOptions) -> Result<(), std::io::Error> {
        let ports = Ports::new();
        let mut peers = Vec::new();
        for _ in 0..options.size.daemons {
            peers.push(ports.free_address().await?);
        }
        for at in 0..options.size.daemons {
            let store_path = CutPath::open(self.store.address)?;
            let settings = DaemonSettings {
                name: format!("vm-{at}"),
                data_centre: DATA_CENTRE.to_owned(),
                clients: ports.free_address().await?,
                ready: ports.free_address().await?,
                peers: peers[at],
                store: store_path.address,
                seeds: self.open_peer_paths(at, &peers)?,
                bounds: BOUNDS,
                serves_stale: options.serves_stale,
                duties: None,
            };
            let daemon = DaemonProcess::start(&options.program, &options.folder, settings)?;
            self.daemons.push(daemon);
            self.store_paths.push(store_path);
        }
        Ok(())
    }

    /// Opens paths from a daemon to the seeds; a seed has its own address among these.
    fn open_peer_paths(
        &mut self,
        from: usize,
        peers: &[SocketAddr],
    ) -> Result<Vec<SocketAddr>, std::io::Error> {
        let mut seeds = Vec::new();
        for (to, address) in peers.iter().enumerate().take(SEED_DAEMONS) {
            if to == from {
                seeds.push(*address);
                continue;
            }
            let path = CutPath::open(*address)?;
            seeds.push(path.address);
            self.peer_paths.push(PeerPath { from, to, path });
        }
        Ok(seeds)
    }

    /// Sets the paths between a daemon and what it is cut off from to a state.
    pub(crate) fn set_paths(&self, daemon: usize, links: CutLinks, state: PathState) {
        if matches!(links, CutLinks::Store | CutLinks::Both) {
            self.store_paths[daemon].set(state);
        }
        if matches!(links, CutLinks::Daemons | CutLinks::Both) {
            let paths = self.peer_paths.iter();
            paths
                .filter(|path| path.from == daemon || path.to == daemon)
                .for_each(|path| path.path.set(state));
        }
    }

    /// Waits until all daemons are ready, or until a time.
    pub(crate) async fn wait_until_ready(&self, until: Instant) {
        for daemon in &self.daemons {
            time_until_ready(daemon.settings.ready, until).await;
        }
    }

    pub(crate) fn client_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.settings.clients).collect()
    }
}

/// Returns a configuration whose routes leave streams enough time.
fn configuration() -> Value {
    let mut document = document_with_keys(1, &KEYS);
    let routes = document["routes"].as_array_mut();
    for route in routes.into_iter().flatten() {
        route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
        route["sloMs"] = json!(ROUTE_OBJECTIVE_MS);
    }
    document
}

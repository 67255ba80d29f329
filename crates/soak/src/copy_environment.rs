//! The store, interface for duties, workers and daemons of a run with returns from copies.

use crate::copy_plan::{DATA_CENTRES, Target};
use crate::cut_path::{CutPath, PathState};
use crate::environment::{KEYS, Ports, normal_behaviour};
use crate::options::SoakOptions;
use crate::processes::{DaemonBounds, DaemonProcess, DaemonSettings};
use bridgevane_platform_emulator::{
    CONFIG_KEY, EmulatedDutyApi, EmulatedStore, HOLDER_KEY, MODEL, PLAIN, StoreCopy, Worker,
    allow_orders, document_with_customers,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The number of daemons through which the others join.
pub(crate) const SEED_DAEMONS: usize = 3;
/// The number of workers that the fleet may order in each data centre.
const MAX_ORDERED: u32 = 20;
/// The time after a return after which operator and workers write again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// The timeout of one question whether a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two questions.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// The store, workers and daemons of a run.
#[derive(Debug)]
pub(crate) struct CopyEnvironment {
    pub(crate) store: EmulatedStore,
    pub(crate) duties: EmulatedDutyApi,
    pub(crate) workers: Vec<Worker>,
    /// The path of each daemon to the store.
    pub(crate) store_paths: Vec<CutPath>,
    pub(crate) daemons: Vec<DaemonProcess>,
}

impl CopyEnvironment {
    /// Starts everything; daemons have changes in force within `bounds`.
    pub(crate) async fn start(
        options: &SoakOptions,
        bounds: DaemonBounds,
    ) -> Result<Self, std::io::Error> {
        let mut environment = Self {
            store: EmulatedStore::start().await,
            duties: EmulatedDutyApi::start().await,
            workers: Vec::new(),
            store_paths: Vec::new(),
            daemons: Vec::new(),
        };
        environment.write_config();
        for at in 0..options.size.workers {
            let behaviour = normal_behaviour(service(at));
            let worker = Worker::start(&format!("i-{at}"), behaviour).await;
            let record = worker.record(service(at), &data_centre(at), "ready");
            environment.store.put(&worker.key(), &record);
            environment.workers.push(worker);
        }
        environment.start_daemons(options, bounds).await?;
        Ok(environment)
    }

    /// Writes a configuration in which each key is that of another customer.
    fn write_config(&self) {
        let customers: Vec<String> = (0..KEYS.len()).map(|at| format!("customer-{at}")).collect();
        let keys = KEYS.map(|key| [key]);
        let named = customers.iter().zip(&keys);
        let named: Vec<(&str, &[&str])> = named
            .map(|(name, keys)| (name.as_str(), keys.as_slice()))
            .collect();
        let data_centres: Vec<String> = (0..DATA_CENTRES).map(data_centre).collect();
        let data_centres: Vec<&str> = data_centres.iter().map(String::as_str).collect();
        let mut document = document_with_customers(1, &named);
        allow_orders(&mut document, MAX_ORDERED, &data_centres);
        self.store.put(CONFIG_KEY, &document);
    }

    async fn start_daemons(
        &mut self,
        options: &SoakOptions,
        bounds: DaemonBounds,
    ) -> Result<(), std::io::Error> {
        let ports = Ports::new();
        let mut peers = Vec::new();
        for _ in 0..options.size.daemons {
            peers.push(ports.free_address().await?);
        }
        for (at, address) in peers.iter().enumerate() {
            let path = CutPath::open(self.store.address)?;
            let settings = DaemonSettings {
                name: format!("vm-{at}"),
                data_centre: data_centre(at),
                clients: ports.free_address().await?,
                ready: ports.free_address().await?,
                peers: *address,
                store: path.address,
                seeds: peers.iter().take(SEED_DAEMONS).copied().collect(),
                bounds,
                serves_stale: options.serves_stale,
                duties: Some(self.duties.address),
            };
            let daemon = DaemonProcess::start(&options.program, &options.folder, settings)?;
            self.daemons.push(daemon);
            self.store_paths.push(path);
        }
        Ok(())
    }

    /// Waits until all daemons are ready, or until a time.
    pub(crate) async fn wait_until_ready(&self, until: Instant) {
        for daemon in &self.daemons {
            while Instant::now() < until && !is_ready(daemon.settings.ready).await {
                sleep(READY_INTERVAL).await;
            }
        }
    }

    /// Returns the daemon that a trouble strikes; the first one if there has never been a holder.
    pub(crate) fn target(&self, target: Target) -> usize {
        match target {
            Target::Holder => self.holder().unwrap_or_default(),
            Target::Daemon(at) => at,
        }
    }

    /// Returns the holder of the duties: the daemon that the store names, or the one that made the newest
    /// duty call while the store names none.
    pub(crate) fn holder(&self) -> Option<usize> {
        let stored = self.store.value(HOLDER_KEY);
        let named = stored.and_then(|value| self.daemon_named_in(&value));
        named.or_else(|| {
            let calls = self.duties.calls();
            self.daemon_named_in(calls.last()?.holder.as_bytes())
        })
    }

    /// Returns the daemon whose name a value contains; of several, that with the longest name.
    fn daemon_named_in(&self, value: &[u8]) -> Option<usize> {
        let name = |daemon: usize| self.daemons[daemon].settings.name.as_bytes();
        let is_named = |daemon: &usize| {
            let name = name(*daemon);
            value.windows(name.len()).any(|part| part == name)
        };
        let named = (0..self.daemons.len()).filter(is_named);
        named.max_by_key(|daemon| name(*daemon).len())
    }

    pub(crate) fn set_store_path(&self, daemon: usize, state: PathState) {
        self.store_paths[daemon].set(state);
    }

    pub(crate) fn client_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.settings.clients).collect()
    }
}

/// Lets operator and workers write again, shortly after a return, what a copy has of them.
pub(crate) async fn rewrite(store: &EmulatedStore, copy: &StoreCopy) {
    sleep(REWRITE_DELAY).await;
    for (key, value) in copy.records() {
        store.put(&key, &value);
    }
}

fn service(worker: usize) -> &'static str {
    if worker.is_multiple_of(2) {
        PLAIN
    } else {
        MODEL
    }
}

fn data_centre(at: usize) -> String {
    format!("z{}", at % DATA_CENTRES)
}

/// Waits until a daemon is ready, or until a time; returns how long it took.
pub(crate) async fn time_until_ready(address: SocketAddr, until: Instant) -> Duration {
    let started = Instant::now();
    while Instant::now() < until && !is_ready(address).await {
        sleep(READY_INTERVAL).await;
    }
    started.elapsed()
}

async fn is_ready(address: SocketAddr) -> bool {
    let asking = async {
        let mut stream = TcpStream::connect(address).await?;
        let question = b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(question).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<bool, std::io::Error>(answer.starts_with("HTTP/1.1 200"))
    };
    matches!(timeout(READY_TIMEOUT, asking).await, Ok(Ok(true)))
}

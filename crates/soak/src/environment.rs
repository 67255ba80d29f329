//! The store, workers, proxies and daemons of a run.

use crate::history::{RequestArrival, Run};
use crate::options::SoakOptions;
use crate::plan::{Link, LinkMode};
use crate::processes::{DaemonBounds, DaemonProcess, DaemonSettings};
use crate::proxy::Proxy;
use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, EmulatedStore, MODEL, PLAIN, Worker, document_with_keys,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// The number of daemons through which the others join.
const SEED_DAEMONS: usize = 2;
/// The number of events of a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 12;
/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// The duration of a plain request at its worker.
const PLAIN_DURATION: Duration = Duration::from_millis(15);
/// The API keys of callers; a run removes some of them.
pub(crate) const KEYS: [&str; 6] = ["key-0", "key-1", "key-2", "key-3", "key-4", "key-5"];

/// A position for a worker, with the worker that holds it now.
#[derive(Debug)]
struct WorkerPosition {
    service: &'static str,
    worker: Worker,
    proxy: Proxy,
}

/// The proxies of a daemon: before it, and between it and the store and a peer.
#[derive(Debug)]
struct Proxies {
    callers: Proxy,
    store: Proxy,
    peer: Proxy,
}

/// The store, daemons, workers and proxies of a run.
#[derive(Debug)]
pub(crate) struct Environment {
    pub(crate) store: EmulatedStore,
    pub(crate) daemons: Vec<DaemonProcess>,
    proxies: Vec<Proxies>,
    positions: Vec<WorkerPosition>,
    replaced: Vec<Worker>,
    keys: Vec<&'static str>,
    version: u64,
    workers_started: usize,
    pub(crate) started: Instant,
}

/// The ports of daemons: below the ephemeral ports, since an outgoing connection could otherwise
/// take a port between the check that it is free and the daemon's start.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// The number of software versions that serve side by side.
const VERSIONS: usize = 2;

/// The number of ports that this process has assigned: runs in one process may be concurrent, and a
/// daemon binds its port only some time later.
static PORTS_ASSIGNED: AtomicU32 = AtomicU32::new(0);

/// Assigns free ports, starting at an offset derived from the process id.
#[derive(Debug)]
pub(crate) struct Ports {
    first: u32,
}

impl Ports {
    pub(crate) fn new() -> Self {
        Self {
            first: std::process::id() * 97,
        }
    }

    fn next(&self) -> u16 {
        let assigned = PORTS_ASSIGNED.fetch_add(1, Ordering::Relaxed);
        let position = self.first.wrapping_add(assigned) % u32::from(PORTS.end - PORTS.start);
        PORTS.start + position as u16
    }

    pub(crate) async fn free_address(&self) -> Result<SocketAddr, std::io::Error> {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next()));
            match TcpListener::bind(address).await {
                Ok(_) => return Ok(address),
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Returns how a worker of a service answers while nothing is wrong.
pub(crate) fn normal_behaviour(service: &str) -> Behaviour {
    if service == PLAIN {
        Behaviour::Whole(PLAIN_DURATION)
    } else {
        Behaviour::Events(STREAM_EVENTS, EVENT_INTERVAL)
    }
}

impl Environment {
    /// Starts the store, workers, proxies and daemons.
    pub(crate) async fn start(options: &SoakOptions) -> Result<Self, std::io::Error> {
        let size = options.size;
        let mut environment = Self {
            store: EmulatedStore::start().await,
            daemons: Vec::new(),
            proxies: Vec::new(),
            positions: Vec::new(),
            replaced: Vec::new(),
            keys: KEYS.to_vec(),
            version: 0,
            workers_started: 0,
            started: Instant::now(),
        };
        environment.change_config();
        for at in 0..size.workers {
            let service = if at % 2 == 0 { PLAIN } else { MODEL };
            let position = environment.start_worker(service).await?;
            environment.positions.push(position);
        }
        environment.start_daemons(options).await?;
        Ok(environment)
    }

    async fn start_daemons(&mut self, options: &SoakOptions) -> Result<(), std::io::Error> {
        let count = options.size.daemons;
        let ports = Ports::new();
        let mut peers = Vec::new();
        for _ in 0..count {
            peers.push(ports.free_address().await?);
        }
        for at in 0..count {
            let clients = ports.free_address().await?;
            let proxies = Proxies {
                callers: Proxy::start(clients).await?,
                store: Proxy::start(self.store.address).await?,
                peer: Proxy::start(peers[at % SEED_DAEMONS.min(count)]).await?,
            };
            // The first daemons know each other directly, the rest one of them through a proxy.
            let seeds = if at < SEED_DAEMONS {
                peers.iter().take(SEED_DAEMONS).copied().collect()
            } else {
                vec![proxies.peer.address]
            };
            let settings = DaemonSettings {
                name: format!("vm-{at}"),
                data_centre: "z".to_owned(),
                clients,
                ready: ports.free_address().await?,
                peers: peers[at],
                store: proxies.store.address,
                seeds,
                bounds: DaemonBounds::default(),
                serves_stale: options.serves_stale,
                duties: None,
            };
            let daemon = DaemonProcess::start(&options.program, &options.folder, settings)?;
            self.daemons.push(daemon);
            self.proxies.push(proxies);
        }
        Ok(())
    }

    /// Starts a worker with a proxy before it, and writes its record to the store.
    async fn start_worker(
        &mut self,
        service: &'static str,
    ) -> Result<WorkerPosition, std::io::Error> {
        let id = format!("i-{}", self.workers_started);
        // Services alternate, so that half of the workers of each service run another version.
        let version = format!("v{}", self.workers_started / 2 % VERSIONS);
        self.workers_started += 1;
        let worker = Worker::start_version(&id, &version, normal_behaviour(service)).await;
        let proxy = Proxy::start(worker.address).await?;
        let record = worker.record_at(proxy.address, service, "z", "ready");
        self.store.put(&worker.key(), &record);
        Ok(WorkerPosition {
            service,
            worker,
            proxy,
        })
    }

    /// Starts another worker in a position; drains and returns the one that held it.
    pub(crate) async fn replace_worker(&mut self, at: usize) -> Result<Worker, std::io::Error> {
        let service = self.positions[at].service;
        let new = self.start_worker(service).await?;
        let old = std::mem::replace(&mut self.positions[at], new);
        let record = old
            .worker
            .record_at(old.proxy.address, service, "z", "draining");
        self.store.put(&old.worker.key(), &record);
        self.replaced.push(old.worker.clone());
        // Its proxy stays for its running requests and for daemons that don't know the change yet.
        let proxy = old.proxy;
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(60)).await;
            drop(proxy);
        });
        Ok(old.worker)
    }

    pub(crate) fn set_behaviour(&self, at: usize, behaviour: Behaviour) {
        self.positions[at].worker.set_behaviour(behaviour);
    }

    pub(crate) fn restore_behaviour(&self, at: usize) {
        let position = &self.positions[at];
        position
            .worker
            .set_behaviour(normal_behaviour(position.service));
    }

    /// Returns the worker that holds a position now.
    pub(crate) fn worker(&self, at: usize) -> Worker {
        self.positions[at].worker.clone()
    }

    pub(crate) fn set_link(&self, link: Link, mode: LinkMode) {
        match link {
            Link::Callers(at) => self.proxies[at].callers.set(mode),
            Link::Store(at) => self.proxies[at].store.set(mode),
            Link::Peer(at) => self.proxies[at].peer.set(mode),
            Link::Worker(at) => self.positions[at].proxy.set(mode),
        }
    }

    /// Returns the daemons that aren't running.
    pub(crate) fn stopped_daemons(&mut self) -> Result<Vec<usize>, std::io::Error> {
        let mut stopped = Vec::new();
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            if daemon.has_ended()? {
                stopped.push(at);
            }
        }
        Ok(stopped)
    }

    /// Returns the addresses at which callers reach the daemons.
    pub(crate) fn client_addresses(&self) -> Vec<SocketAddr> {
        let proxies = self.proxies.iter();
        proxies.map(|proxies| proxies.callers.address).collect()
    }

    /// Writes a new version of the configuration.
    pub(crate) fn change_config(&mut self) {
        self.version += 1;
        let document = document_with_keys(self.version, &self.keys);
        self.store.put(CONFIG_KEY, &document);
    }

    /// Removes the last key, but never the first one; returns the removed key.
    pub(crate) fn remove_key(&mut self) -> Option<&'static str> {
        if self.keys.len() < 2 {
            return None;
        }
        let key = self.keys.pop();
        self.change_config();
        key
    }

    fn all_workers(&self) -> impl Iterator<Item = &Worker> {
        let current = self.positions.iter().map(|position| &position.worker);
        current.chain(&self.replaced)
    }

    /// Returns the requests that reached workers.
    pub(crate) fn arrivals(&self) -> Vec<RequestArrival> {
        let of_worker = |worker: &Worker| {
            let arrivals = worker.arrivals().into_iter();
            let arrived = arrivals.map(|arrival| RequestArrival {
                id: arrival.id,
                worker: worker.id.clone(),
                at: Instant::from_std(arrival.at).duration_since(self.started),
                announcement: arrival.announcement,
            });
            arrived.collect::<Vec<_>>()
        };
        self.all_workers().flat_map(of_worker).collect()
    }

    /// Returns the runs at all workers.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let all = self.all_workers();
        all.flat_map(|worker| {
            worker.executed_requests().into_iter().map(|request| Run {
                id: request.id,
                worker: worker.id.clone(),
                at: Instant::from_std(request.at).duration_since(self.started),
                version: worker.version.clone(),
                last_event_id: request.last_event_id,
            })
        })
        .collect()
    }
}

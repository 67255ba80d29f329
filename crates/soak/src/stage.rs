//! Store, workers, proxies and daemons of a run.

use crate::checks::KEY_REMOVAL;
use crate::history::{Arrived, Run};
use crate::options::Options;
use crate::plan::{Link, LinkMode};
use crate::processes::{Daemon, DaemonSettings};
use crate::proxy::Proxy;
use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, MODEL, PLAIN, Store, Worker, document_with_keys,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Daemons that follow the store.
const SEEDS: usize = 2;
/// Events of a whole stream.
pub(crate) const STREAM_EVENTS: u64 = 12;
/// The time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// How long a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(15);
/// Keys that callers use in turn; some are taken away.
pub(crate) const KEYS: [&str; 6] = ["key-0", "key-1", "key-2", "key-3", "key-4", "key-5"];

/// A worker's place: one worker after the other runs there.
#[derive(Debug)]
struct Place {
    service: &'static str,
    worker: Worker,
    proxy: Proxy,
}

/// A daemon's proxies.
#[derive(Debug)]
struct Proxies {
    callers: Proxy,
    store: Proxy,
    peer: Proxy,
}

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Stage {
    pub(crate) store: Store,
    pub(crate) daemons: Vec<Daemon>,
    proxies: Vec<Proxies>,
    places: Vec<Place>,
    gone: Vec<Worker>,
    keys: Vec<&'static str>,
    version: u64,
    born: usize,
    pub(crate) started: Instant,
}

/// Ports for daemons: below those that the system gives to outgoing connections, which could
/// take one between the look and the start of the daemon.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Ports that this process has given out: stages may run side by side, and a daemon takes its port
/// only a while later.
static PORTS_GIVEN: AtomicU32 = AtomicU32::new(0);

/// Gives ports that are free, from a place of this process's own on.
#[derive(Debug)]
struct Ports {
    first: u32,
}

impl Ports {
    fn new() -> Self {
        Self {
            first: std::process::id() * 97,
        }
    }

    fn next(&self) -> u16 {
        let given = PORTS_GIVEN.fetch_add(1, Ordering::Relaxed);
        let place = self.first.wrapping_add(given) % u32::from(PORTS.end - PORTS.start);
        PORTS.start + place as u16
    }

    async fn free_address(&self) -> Result<SocketAddr, std::io::Error> {
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

fn behaviour(service: &str) -> Behaviour {
    if service == PLAIN {
        Behaviour::Whole(PLAIN_WORK)
    } else {
        Behaviour::Events(STREAM_EVENTS, EVENT_PAUSE)
    }
}

impl Stage {
    /// Starts everything.
    pub(crate) async fn start(options: &Options) -> Result<Self, std::io::Error> {
        let scale = options.scale;
        let mut stage = Self {
            store: Store::start().await,
            daemons: Vec::new(),
            proxies: Vec::new(),
            places: Vec::new(),
            gone: Vec::new(),
            keys: KEYS.to_vec(),
            version: 0,
            born: 0,
            started: Instant::now(),
        };
        stage.change_config();
        for at in 0..scale.workers {
            let service = if at % 2 == 0 { PLAIN } else { MODEL };
            let place = stage.settle(service).await?;
            stage.places.push(place);
        }
        stage.start_daemons(options).await?;
        Ok(stage)
    }

    async fn start_daemons(&mut self, options: &Options) -> Result<(), std::io::Error> {
        let count = options.scale.daemons;
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
                peer: Proxy::start(peers[at % SEEDS.min(count)]).await?,
            };
            // A seed knows itself and the others; the rest one seed, by their own proxy.
            let seeds = if at < SEEDS {
                peers.iter().take(SEEDS).copied().collect()
            } else {
                vec![proxies.peer.address]
            };
            let settings = DaemonSettings {
                name: format!("vm-{at}"),
                clients,
                ready: ports.free_address().await?,
                peers: peers[at],
                store: proxies.store.address,
                seeds,
                key_removal_ms: KEY_REMOVAL.as_millis(),
                serves_stale: options.serves_stale,
            };
            let daemon = Daemon::start(&options.program, &options.folder, settings)?;
            self.daemons.push(daemon);
            self.proxies.push(proxies);
        }
        Ok(())
    }

    /// A new worker with a proxy before it, in the store's records.
    async fn settle(&mut self, service: &'static str) -> Result<Place, std::io::Error> {
        let id = format!("i-{}", self.born);
        self.born += 1;
        let worker = Worker::start(&id, behaviour(service)).await;
        let proxy = Proxy::start(worker.address).await?;
        let record = worker.record_at(proxy.address, service, "z", "ready");
        self.store.put(&worker.key(), &record);
        Ok(Place {
            service,
            worker,
            proxy,
        })
    }

    /// Puts another worker in a place; gives the one that drains.
    pub(crate) async fn replace_worker(&mut self, at: usize) -> Result<Worker, std::io::Error> {
        let service = self.places[at].service;
        let new = self.settle(service).await?;
        let old = std::mem::replace(&mut self.places[at], new);
        let record = old
            .worker
            .record_at(old.proxy.address, service, "z", "draining");
        self.store.put(&old.worker.key(), &record);
        self.gone.push(old.worker.clone());
        // It serves what it has, and whoever has not heard yet.
        let proxy = old.proxy;
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(60)).await;
            drop(proxy);
        });
        Ok(old.worker)
    }

    pub(crate) fn behave(&self, at: usize, behaviour: Behaviour) {
        self.places[at].worker.behave(behaviour);
    }

    pub(crate) fn behave_well(&self, at: usize) {
        let place = &self.places[at];
        place.worker.behave(behaviour(place.service));
    }

    /// The worker that is in a place now.
    pub(crate) fn worker(&self, at: usize) -> Worker {
        self.places[at].worker.clone()
    }

    pub(crate) fn set_link(&self, link: Link, mode: LinkMode) {
        match link {
            Link::Callers(at) => self.proxies[at].callers.set(mode),
            Link::Store(at) => self.proxies[at].store.set(mode),
            Link::Peer(at) => self.proxies[at].peer.set(mode),
            Link::Worker(at) => self.places[at].proxy.set(mode),
        }
    }

    /// Daemons that have ended though nobody ended them.
    pub(crate) fn ended(&mut self) -> Result<Vec<usize>, std::io::Error> {
        let mut ended = Vec::new();
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            if daemon.has_ended()? {
                ended.push(at);
            }
        }
        Ok(ended)
    }

    /// Where callers reach the daemons.
    pub(crate) fn doors(&self) -> Vec<SocketAddr> {
        let proxies = self.proxies.iter();
        proxies.map(|proxies| proxies.callers.address).collect()
    }

    /// Writes a new version of the configuration.
    pub(crate) fn change_config(&mut self) {
        self.version += 1;
        let document = document_with_keys(self.version, &self.keys);
        self.store.put(CONFIG_KEY, &document);
    }

    /// Takes the last key away, but never the first.
    pub(crate) fn remove_key(&mut self) -> Option<&'static str> {
        if self.keys.len() < 2 {
            return None;
        }
        let key = self.keys.pop();
        self.change_config();
        key
    }

    fn all_workers(&self) -> impl Iterator<Item = &Worker> {
        let living = self.places.iter().map(|place| &place.worker);
        living.chain(&self.gone)
    }

    /// All requests that reached workers.
    pub(crate) fn arrivals(&self) -> Vec<Arrived> {
        let of_worker = |worker: &Worker| {
            let arrivals = worker.arrivals().into_iter();
            let arrived = arrivals.map(|arrival| Arrived {
                id: arrival.id,
                worker: worker.id.clone(),
                at: Instant::from_std(arrival.at).duration_since(self.started),
                wish: arrival.wish,
            });
            arrived.collect::<Vec<_>>()
        };
        self.all_workers().flat_map(of_worker).collect()
    }

    /// All runs at all workers.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let all = self.all_workers();
        all.flat_map(|worker| {
            worker.runs().into_iter().map(|ran| Run {
                id: ran.id,
                worker: worker.id.clone(),
                at: Instant::from_std(ran.at).duration_since(self.started),
            })
        })
        .collect()
    }
}

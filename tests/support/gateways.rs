//! Gateways as processes on loopback with the emulated platform, ended by their process ids.
#![allow(dead_code, missing_docs)]

use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, EmulatedStore, MODEL, PLAIN, Worker, document, request,
};
use rustix::process::{Pid, Signal, kill_process};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A store, workers and gateways.
pub struct GatewayFleet {
    pub store: EmulatedStore,
    pub workers: Vec<Worker>,
    pub gateways: Vec<Gateway>,
}

/// A gateway; its process is killed when this is dropped.
pub struct Gateway {
    pub process: Child,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
}

/// The most addresses that are tried for one gateway.
pub const MAX_STARTS: usize = 4;
/// The next loopback address of this process.
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Returns an address whose port was just free. Each call has a loopback address of its own, so that no
/// other daemon answers there.
pub async fn free_address() -> SocketAddr {
    let next = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed) % 1_024;
    let chosen = (std::process::id() << 10 | next) % (1 << 24);
    let ip = Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() | chosen);
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    listener.local_addr().expect("it listens")
}

/// Starts a gateway, at other addresses if it ends because one was taken meanwhile.
pub async fn start_gateway(store: &EmulatedStore, name: &str) -> Gateway {
    for _ in 0..MAX_STARTS {
        let mut gateway = spawn_gateway(store, name).await;
        let started = async || is_ready(&gateway).await || has_ended(&gateway);
        wait_for("ready", started).await;
        if !has_ended(&gateway) {
            return gateway;
        }
        let mut log = String::new();
        let output = gateway.process.stdout.as_mut().expect("it is piped");
        output.read_to_string(&mut log).await.expect("its log");
        assert!(log.contains("Address already in use"), "{log}");
    }
    panic!("all addresses were taken");
}

/// Returns whether the process of a gateway has ended.
pub fn has_ended(gateway: &Gateway) -> bool {
    let id = gateway.process.id().expect("it wasn't waited for");
    let state = std::fs::read_to_string(format!("/proc/{id}/stat"));
    state.is_ok_and(|state| state.contains(") Z "))
}

pub async fn spawn_gateway(store: &EmulatedStore, name: &str) -> Gateway {
    spawn_gateway_with(store, name, |command| command.stdout(Stdio::piped())).await
}

/// Starts the process of a gateway; `prepare` sets its output and further flags.
pub async fn spawn_gateway_with(
    store: &EmulatedStore,
    name: &str,
    prepare: impl FnOnce(&mut Command) -> &mut Command,
) -> Gateway {
    let program = Command::new(env!("CARGO_BIN_EXE_bridgevane"));
    spawn_gateway_of(program, store, name, prepare).await
}

/// The same for a command that runs the program with the arguments that are added.
pub async fn spawn_gateway_of(
    mut command: Command,
    store: &EmulatedStore,
    name: &str,
    prepare: impl FnOnce(&mut Command) -> &mut Command,
) -> Gateway {
    let (clients, ready) = (free_address().await, free_address().await);
    command
        .arg("gateway")
        .args([
            "--vm-id",
            name,
            "--data-centre",
            "z",
            "--key-removal-ms",
            "2000",
        ])
        .args(["--client-address", &clients.to_string()])
        .args(["--ready-address", &ready.to_string()])
        .args(["--store-address", &store.address.to_string()])
        .kill_on_drop(true);
    let process = prepare(&mut command).spawn().expect("the process starts");
    Gateway {
        process,
        clients,
        ready,
    }
}

pub async fn start_fleet(gateways: usize) -> GatewayFleet {
    let store = EmulatedStore::start().await;
    store.put(CONFIG_KEY, &document(1));
    let whole = Behaviour::Whole(Duration::ZERO);
    let events = Behaviour::Events(4, Duration::from_millis(10));
    let workers = vec![
        Worker::start("i-plain", whole).await,
        Worker::start("i-model-1", events).await,
        Worker::start("i-model-2", events).await,
    ];
    for (worker, service) in workers.iter().zip([PLAIN, MODEL, MODEL]) {
        store.put(&worker.key(), &worker.record(service, "z", "ready"));
    }
    let mut fleet = GatewayFleet {
        store,
        workers,
        gateways: Vec::new(),
    };
    for at in 0..gateways {
        let gateway = start_gateway(&fleet.store, &format!("vm-{at}")).await;
        fleet.gateways.push(gateway);
    }
    fleet
}

pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("in time: {what}"));
}

pub async fn exchange(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let mut answer = String::new();
    if stream.write_all(text.as_bytes()).await.is_ok() {
        let _ = stream.read_to_string(&mut answer).await;
    }
    answer
}

pub async fn is_ready(gateway: &Gateway) -> bool {
    let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    exchange(gateway.ready, text).await.contains(" 200 ")
}

impl GatewayFleet {
    pub async fn send(&self, path: &str, id: &str) -> String {
        exchange(self.gateways[0].clients, &request(path, id)).await
    }
}

/// Stops a gateway with SIGTERM and returns its log.
pub async fn stop_gateway(mut gateway: Gateway) -> String {
    signal(&gateway, Signal::TERM);
    let mut log = String::new();
    let mut output = gateway.process.stdout.take().expect("it is piped");
    let reading = output.read_to_string(&mut log);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    read.expect("it ends").expect("its log can be read");
    log
}

pub fn signal(gateway: &Gateway, signal: Signal) {
    let id = gateway.process.id().expect("it runs");
    let pid = Pid::from_raw(id as i32).expect("an id");
    kill_process(pid, signal).expect("it runs");
}

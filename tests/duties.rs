//! The duties of a fleet of separate processes before the emulated platform: usage is told once, with
//! every request, and a holder that is killed is followed.

use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, DutyApi, LEASE_MS, PLAIN, Store, ToldUsage, Worker, document, request,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

/// The longest that anything may take, beside other tests.
const LIMIT: Duration = Duration::from_secs(40);
/// Requests that one daemon gets in one go.
const REQUESTS: u64 = 10;

struct Gateway {
    name: String,
    process: Child,
    clients: SocketAddr,
}

struct Stage {
    store: Store,
    api: DutyApi,
    gateways: Vec<Gateway>,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("it listens")
}

async fn exchange(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let mut answer = String::new();
    if stream.write_all(text.as_bytes()).await.is_ok() {
        // An answer that breaks off isn't a whole one, and is seen so.
        let _ = stream.read_to_string(&mut answer).await;
    }
    answer
}

async fn wait_for(what: &str, is_so: impl AsyncFn() -> bool) {
    let waiting = async {
        while !is_so().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, waiting).await;
    waited.unwrap_or_else(|_| panic!("in time: {what}"));
}

async fn start(stage: &Stage, at: usize, peers: &[SocketAddr]) -> Gateway {
    let (clients, ready) = (free_address().await, free_address().await);
    let seeds: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let name = format!("vm-{at}");
    let process = Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .arg("gateway")
        .args(["--vm-id", &name, "--data-centre", "z"])
        .args(["--client-address", &clients.to_string()])
        .args(["--ready-address", &ready.to_string()])
        .args(["--peer-address", &peers[at].to_string()])
        .args(["--seed-addresses", &seeds.join(",")])
        .args(["--store-address", &stage.store.address.to_string()])
        .args(["--duty-address", &stage.api.address.to_string()])
        .args(["--duties", "usage_report"])
        .args(["--lease-ms", &LEASE_MS.to_string()])
        .args(["--usage-window-s", "1", "--usage-late-s", "8"])
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    wait_for("ready", async || {
        exchange(ready, text).await.contains(" 200 ")
    })
    .await;
    Gateway {
        name,
        process,
        clients,
    }
}

async fn stage(daemons: usize) -> Stage {
    let store = Store::start().await;
    store.put(CONFIG_KEY, &document(1));
    let worker = Worker::start("i-plain", Behaviour::Whole(Duration::ZERO)).await;
    store.put(&worker.key(), &worker.record(PLAIN, "z", "ready"));
    let mut stage = Stage {
        store,
        api: DutyApi::start().await,
        gateways: Vec::new(),
    };
    let mut peers = Vec::new();
    for _ in 0..daemons {
        peers.push(free_address().await);
    }
    for at in 0..daemons {
        let gateway = start(&stage, at, &peers).await;
        stage.gateways.push(gateway);
    }
    stage
}

impl Stage {
    /// Sends requests to every daemon; gives how many were answered with success.
    async fn send_to_all(&self, round: &str) -> u64 {
        let mut served = 0;
        for gateway in &self.gateways {
            for at in 0..REQUESTS {
                let id = format!("{round}-{}-{at}", gateway.name);
                let answer = exchange(gateway.clients, &request("/once/x", &id)).await;
                served += u64::from(answer.starts_with("HTTP/1.1 200"));
            }
        }
        served
    }

    /// Requests that the platform was told of, after a check that no window was told in two ways.
    fn told(&self) -> u64 {
        let mut by_window: HashMap<u64, ToldUsage> = HashMap::new();
        let mut newest_fence = 0;
        for told in self.api.usage() {
            assert!(told.fence >= newest_fence, "{told:?} after {newest_fence}");
            newest_fence = told.fence;
            let first = by_window.entry(told.window).or_insert(told.clone());
            assert_eq!(first.counts, told.counts, "{told:?}");
        }
        let counts = by_window.values().flat_map(|told| told.counts.values());
        counts.copied().map(u64::from).sum()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_of_all_daemons_is_told_once_also_after_the_holder_was_killed() {
    let mut stage = stage(3).await;
    let served = stage.send_to_all("before").await;
    assert_eq!(served, 3 * REQUESTS);
    wait_for("all requests are told", async || stage.told() >= served).await;
    assert_eq!(stage.told(), served);
    let before = stage.api.usage().last().cloned().expect("some usage");
    let killed = stage
        .gateways
        .iter()
        .position(|gateway| gateway.name == before.holder);
    let mut killed = stage.gateways.remove(killed.expect("the holder runs"));
    killed.process.kill().await.expect("it runs");
    // Nothing of it is lost, since the killed daemon had told all that it counted.
    let served_after = stage.send_to_all("after").await;
    assert_eq!(served_after, 2 * REQUESTS);
    let all = served + served_after;
    wait_for("the successor tells the rest", async || stage.told() >= all).await;
    assert_eq!(stage.told(), all);
    let after = stage.api.usage().last().cloned().expect("some usage");
    assert_ne!(after.holder, before.holder);
    assert!(after.fence > before.fence);
}

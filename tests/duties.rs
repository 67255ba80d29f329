//! The duties of a fleet of separate processes with the emulated platform: the usage of every
//! request is submitted once, and a killed holder gets a successor.

use bridgevane_platform_emulator::{
    Behaviour, CONFIG_KEY, EmulatedDutyApi, EmulatedStore, LEASE_MS, PLAIN, SubmittedUsage, Worker,
    document, request,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

/// The timeout of every wait; other tests run at the same time.
const TIMEOUT: Duration = Duration::from_secs(40);
/// The number of requests per daemon and round.
const REQUESTS: u64 = 10;

struct Gateway {
    name: String,
    process: Child,
    clients: SocketAddr,
}

struct GatewayFleet {
    store: EmulatedStore,
    api: EmulatedDutyApi,
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
        // The caller sees that an answer that breaks off is incomplete.
        let _ = stream.read_to_string(&mut answer).await;
    }
    answer
}

async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("in time: {what}"));
}

async fn start_gateway(fleet: &GatewayFleet, at: usize, peers: &[SocketAddr]) -> Gateway {
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
        .args(["--store-address", &fleet.store.address.to_string()])
        .args(["--duty-address", &fleet.api.address.to_string()])
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

async fn start_fleet(daemons: usize) -> GatewayFleet {
    let store = EmulatedStore::start().await;
    store.put(CONFIG_KEY, &document(1));
    let worker = Worker::start("i-plain", Behaviour::Whole(Duration::ZERO)).await;
    store.put(&worker.key(), &worker.record(PLAIN, "z", "ready"));
    let mut fleet = GatewayFleet {
        store,
        api: EmulatedDutyApi::start().await,
        gateways: Vec::new(),
    };
    let mut peers = Vec::new();
    for _ in 0..daemons {
        peers.push(free_address().await);
    }
    for at in 0..daemons {
        let gateway = start_gateway(&fleet, at, &peers).await;
        fleet.gateways.push(gateway);
    }
    fleet
}

impl GatewayFleet {
    /// Sends requests to every daemon and returns how many were served.
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

    /// Returns the number of requests in the submitted usage, after a check that fencing tokens
    /// never fall and that no window was submitted with different counts.
    fn usage_count(&self) -> u64 {
        let mut by_window: HashMap<u64, SubmittedUsage> = HashMap::new();
        let mut newest_fence = 0;
        for usage in self.api.usage() {
            assert!(
                usage.fence >= newest_fence,
                "{usage:?} after {newest_fence}"
            );
            newest_fence = usage.fence;
            let first = by_window.entry(usage.window).or_insert(usage.clone());
            assert_eq!(first.counts, usage.counts, "{usage:?}");
        }
        let counts = by_window.values().flat_map(|usage| usage.counts.values());
        counts.copied().map(u64::from).sum()
    }
}

/// Guards against usage that is lost or submitted twice when the holder of the duties is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_usage_of_every_request_is_submitted_once_also_after_the_holder_was_killed() {
    let mut fleet = start_fleet(3).await;
    let served = fleet.send_to_all("before").await;
    assert_eq!(served, 3 * REQUESTS);
    wait_for("all is submitted", async || fleet.usage_count() >= served).await;
    assert_eq!(fleet.usage_count(), served);
    let before = fleet.api.usage().last().cloned().expect("some usage");
    let killed = fleet
        .gateways
        .iter()
        .position(|gateway| gateway.name == before.holder);
    let mut killed = fleet.gateways.remove(killed.expect("the holder runs"));
    killed.process.kill().await.expect("it runs");
    // No usage is lost: the killed daemon had submitted all that it counted.
    let served_after = fleet.send_to_all("after").await;
    assert_eq!(served_after, 2 * REQUESTS);
    let all = served + served_after;
    wait_for("the rest is submitted", async || fleet.usage_count() >= all).await;
    assert_eq!(fleet.usage_count(), all);
    let after = fleet.api.usage().last().cloned().expect("some usage");
    assert_ne!(after.holder, before.holder);
    assert!(after.fence > before.fence);
}

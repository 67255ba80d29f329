//! A soak of gateway processes with workers that crash when they run a certain request and restart
//! under the same ids. Meanwhile, another writer stores foreign records among the workers' records,
//! and gateways are killed.
//!
//! Runs are seeded: `CRASH_SEEDS` is the number of seeds, `CRASH_FIRST_SEED` the first one.

use bridgevane_platform_emulator::{
    CONFIG_KEY, CRASHING_BODY, CrashingWorkers, EmulatedStore, FOREIGN_RECORDS, PLAIN, document,
    foreign_record, request_with_body, worker_key,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// The number of seeds in CI; they take about 20 s.
const SEEDS: u64 = 2;
const GATEWAYS: usize = 3;
const WORKERS: usize = 6;
/// The time during which the crashing request is sent repeatedly.
const CRASHING_PERIOD: Duration = Duration::from_millis(8_000);
/// The time after the third crash within which every daemon must quarantine the request.
const PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// The number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;
/// The maximum number of runs after [`PROPAGATION_TIME`].
const MAX_LATE_RUNS: usize = 3;
/// The timeout of an answer.
const TIMEOUT: Duration = Duration::from_millis(6_000);

struct Gateway {
    process: Child,
    clients: SocketAddr,
    ready: SocketAddr,
}

/// The addresses of a gateway; it keeps them when it is restarted.
#[derive(Clone, Copy)]
struct GatewayAddresses {
    clients: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("it listens")
}

fn start_gateway(store: &EmulatedStore, all: &[GatewayAddresses], at: usize) -> Gateway {
    let seeds = all.iter().take(2).map(|gateway| gateway.peers.to_string());
    let seeds: Vec<String> = seeds.collect();
    let addresses = all[at];
    let process = Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .arg("gateway")
        .args(["--vm-id", &format!("vm-{at}"), "--data-centre", "z"])
        .args(["--client-address", &addresses.clients.to_string()])
        .args(["--ready-address", &addresses.ready.to_string()])
        .args(["--peer-address", &addresses.peers.to_string()])
        .args(["--seed-addresses", &seeds.join(",")])
        .args(["--store-address", &store.address.to_string()])
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    Gateway {
        process,
        clients: addresses.clients,
        ready: addresses.ready,
    }
}

async fn exchange(address: SocketAddr, text: &str) -> String {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        // An answer that breaks off is returned as far as it arrived.
        let _ = stream.read_to_string(&mut answer).await;
        Some(answer)
    };
    let answer = timeout(TIMEOUT, asking).await;
    answer
        .expect("an answer, or the end of the connection")
        .unwrap_or_default()
}

fn request(id: &str, body: &str) -> String {
    request_with_body("/once/x", id, body)
}

async fn wait_until_ready(gateway: &Gateway) {
    let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let begun = Instant::now();
    while !exchange(gateway.ready, text).await.contains(" 200 ") {
        assert!(begun.elapsed() < 3 * TIMEOUT, "it becomes ready");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stores a foreign record among the workers' records, as another writer does.
fn store_foreign_record(store: &EmulatedStore, random: &mut Pcg64) {
    let key = worker_key(&format!("i-junk-{}", random.random_range(0..40)));
    let kind = random.random_range(0..FOREIGN_RECORDS);
    store.put(&key, &foreign_record(kind));
}

/// Counts of the other requests and of their outcomes.
#[derive(Default)]
struct OtherRequests {
    sent: AtomicUsize,
    served: AtomicUsize,
    quarantined: AtomicUsize,
}

impl OtherRequests {
    async fn send(&self, address: SocketAddr, id: usize) -> bool {
        let body = format!("innocent {id}");
        let answer = exchange(address, &request(&format!("i{id}"), &body)).await;
        let is_served = answer.contains(" 200 ") && answer.ends_with(&body);
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.served
            .fetch_add(usize::from(is_served), Ordering::Relaxed);
        let is_quarantined = answer.contains("ends_endpoints");
        self.quarantined
            .fetch_add(usize::from(is_quarantined), Ordering::Relaxed);
        is_served
    }
}

async fn run_seed(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let store = EmulatedStore::start().await;
    store.put(CONFIG_KEY, &document(1));
    let workers = CrashingWorkers::start(&store, PLAIN, WORKERS);
    let mut addresses = Vec::new();
    for _ in 0..GATEWAYS {
        addresses.push(GatewayAddresses {
            clients: free_address().await,
            ready: free_address().await,
            peers: free_address().await,
        });
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|at| start_gateway(&store, &addresses, at))
        .collect();
    for gateway in &gateways {
        wait_until_ready(gateway).await;
    }
    let others = Arc::new(OtherRequests::default());
    let begun = Instant::now();
    let kill_one_at = Duration::from_millis(random.random_range(500..4_000));
    let kill_all_at = Duration::from_millis(random.random_range(4_000..6_000));
    let (mut killed_one, mut killed_all) = (false, false);
    let mut next_crashing = Duration::ZERO;
    let mut tries = 0;
    while begun.elapsed() < CRASHING_PERIOD {
        let now = begun.elapsed();
        if now >= next_crashing {
            next_crashing = now + Duration::from_millis(random.random_range(30..200));
            let address = addresses[random.random_range(0..GATEWAYS)].clients;
            tokio::spawn(async move {
                exchange(address, &request(&format!("d{tries}"), CRASHING_BODY)).await
            });
            tries += 1;
        }
        if random.random_ratio(1, 15) {
            store_foreign_record(&store, &mut random);
        }
        if now >= kill_one_at && !std::mem::replace(&mut killed_one, true) {
            let at = random.random_range(0..GATEWAYS);
            gateways[at].process.kill().await.expect("it runs");
            gateways[at] = start_gateway(&store, &addresses, at);
        }
        if now >= kill_all_at && !std::mem::replace(&mut killed_all, true) {
            for gateway in &mut gateways {
                gateway.process.kill().await.expect("it runs");
            }
            gateways = (0..GATEWAYS)
                .map(|at| start_gateway(&store, &addresses, at))
                .collect();
        }
        let address = addresses[random.random_range(0..GATEWAYS)].clients;
        let (sending, id) = (others.clone(), tries * 1_000 + now.as_millis() as usize);
        tokio::spawn(async move { sending.send(address, id).await });
        sleep(Duration::from_millis(20)).await;
    }
    let crash_times = workers.crash_times();
    let third = crash_times.get(CRASHES_TO_QUARANTINE - 1).copied();
    let late = third.map_or(0, |third| {
        crash_times
            .iter()
            .filter(|time| **time > third + PROPAGATION_TIME)
            .count()
    });
    let summary = format!(
        "seed {seed}: {tries} tries, {} runs, {late} late, {} crashes, {} of {} other requests served",
        crash_times.len(),
        workers.crash_count(),
        others.served.load(Ordering::Relaxed),
        others.sent.load(Ordering::Relaxed),
    );
    println!("{summary}");
    assert!(late <= MAX_LATE_RUNS, "{summary}");
    let quarantined = others.quarantined.load(Ordering::Relaxed);
    assert_eq!(quarantined, 0, "other requests were quarantined; {summary}");
    for (at, gateway) in gateways.iter().enumerate() {
        wait_until_ready(gateway).await;
        let answer = exchange(gateway.clients, &request("last", CRASHING_BODY)).await;
        assert!(
            answer.contains("ends_endpoints"),
            "vm-{at}: {answer}; {summary}"
        );
        for id in 0..5 {
            let is_served = others
                .send(gateway.clients, 1_000_000 * (at + 1) + id)
                .await;
            assert!(is_served, "vm-{at} serves others; {summary}");
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a number"))
}

/// Guards against a request that crashes worker after worker, and against other requests that are
/// quarantined or not served because of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_ends_few_workers_and_no_other_request_is_refused() {
    let first = env_number("CRASH_FIRST_SEED").unwrap_or(1);
    for seed in first..first + env_number("CRASH_SEEDS").unwrap_or(SEEDS) {
        run_seed(seed).await;
    }
}

//! Gateways as processes before workers that end when they run a certain request and start again under
//! their ids, beside records that another writer leaves among the workers', while gateways are killed.
//!
//! Seeded; `CRASH_SEEDS` plays so many, from `CRASH_FIRST_SEED` on.

use bridgevane_platform_emulator::{
    CONFIG_KEY, DEADLY, FOREIGN_RECORDS, MortalWorkers, PLAIN, Store, document, foreign_record,
    request_with_body, worker_key,
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

/// Seeds in CI: some 20 s.
const SEEDS: u64 = 2;
const GATEWAYS: usize = 3;
const WORKERS: usize = 6;
/// How long the deadly request comes again and again.
const TROUBLE: Duration = Duration::from_millis(8_000);
/// Within so long after the third end every daemon knows it.
const CONTACT: Duration = Duration::from_millis(3_000);
const PROOF: usize = 3;
const LATE_RUNS: usize = 3;
/// The longest that an answer may take.
const LIMIT: Duration = Duration::from_millis(6_000);

struct Gateway {
    process: Child,
    clients: SocketAddr,
    ready: SocketAddr,
}

/// Where a gateway listens, in each of its lives.
#[derive(Clone, Copy)]
struct Place {
    clients: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("it listens")
}

fn gateway(store: &Store, places: &[Place], at: usize) -> Gateway {
    let seeds = places.iter().take(2).map(|place| place.peers.to_string());
    let seeds: Vec<String> = seeds.collect();
    let place = places[at];
    let process = Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .arg("gateway")
        .args(["--vm-id", &format!("vm-{at}"), "--data-centre", "z"])
        .args(["--client-address", &place.clients.to_string()])
        .args(["--ready-address", &place.ready.to_string()])
        .args(["--peer-address", &place.peers.to_string()])
        .args(["--seed-addresses", &seeds.join(",")])
        .args(["--store-address", &store.address.to_string()])
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    Gateway {
        process,
        clients: place.clients,
        ready: place.ready,
    }
}

async fn exchange(address: SocketAddr, text: &str) -> String {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        // An answer that breaks off is seen as what came of it.
        let _ = stream.read_to_string(&mut answer).await;
        Some(answer)
    };
    let answer = timeout(LIMIT, asking).await;
    answer
        .expect("an answer, or the end of the connection")
        .unwrap_or_default()
}

fn request(id: &str, body: &str) -> String {
    request_with_body("/once/x", id, body)
}

async fn until_ready(gateway: &Gateway) {
    let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let begun = Instant::now();
    while !exchange(gateway.ready, text).await.contains(" 200 ") {
        assert!(begun.elapsed() < 3 * LIMIT, "it becomes ready");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Another writer leaves something among the workers' records.
fn leave_junk(store: &Store, random: &mut Pcg64) {
    let key = worker_key(&format!("i-junk-{}", random.random_range(0..40)));
    let kind = random.random_range(0..FOREIGN_RECORDS);
    store.put(&key, &foreign_record(kind));
}

/// What became of innocent requests.
#[derive(Default)]
struct Innocents {
    sent: AtomicUsize,
    served: AtomicUsize,
    taken_for_the_cause: AtomicUsize,
}

impl Innocents {
    async fn send(&self, address: SocketAddr, id: usize) -> bool {
        let body = format!("innocent {id}");
        let answer = exchange(address, &request(&format!("i{id}"), &body)).await;
        let is_served = answer.contains(" 200 ") && answer.ends_with(&body);
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.served
            .fetch_add(usize::from(is_served), Ordering::Relaxed);
        let is_stopped = answer.contains("ends_endpoints");
        self.taken_for_the_cause
            .fetch_add(usize::from(is_stopped), Ordering::Relaxed);
        is_served
    }
}

async fn play(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let store = Store::start().await;
    store.put(CONFIG_KEY, &document(1));
    let workers = MortalWorkers::start(&store, PLAIN, WORKERS);
    let mut places = Vec::new();
    for _ in 0..GATEWAYS {
        places.push(Place {
            clients: free_address().await,
            ready: free_address().await,
            peers: free_address().await,
        });
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|at| gateway(&store, &places, at))
        .collect();
    for gateway in &gateways {
        until_ready(gateway).await;
    }
    let innocents = Arc::new(Innocents::default());
    let begun = Instant::now();
    let kill_one_at = Duration::from_millis(random.random_range(500..4_000));
    let kill_all_at = Duration::from_millis(random.random_range(4_000..6_000));
    let (mut killed_one, mut killed_all) = (false, false);
    let mut next_deadly = Duration::ZERO;
    let mut tries = 0;
    while begun.elapsed() < TROUBLE {
        let now = begun.elapsed();
        if now >= next_deadly {
            next_deadly = now + Duration::from_millis(random.random_range(30..200));
            let address = places[random.random_range(0..GATEWAYS)].clients;
            tokio::spawn(
                async move { exchange(address, &request(&format!("d{tries}"), DEADLY)).await },
            );
            tries += 1;
        }
        if random.random_ratio(1, 15) {
            leave_junk(&store, &mut random);
        }
        if now >= kill_one_at && !std::mem::replace(&mut killed_one, true) {
            let at = random.random_range(0..GATEWAYS);
            gateways[at].process.kill().await.expect("it runs");
            gateways[at] = gateway(&store, &places, at);
        }
        if now >= kill_all_at && !std::mem::replace(&mut killed_all, true) {
            for gateway in &mut gateways {
                gateway.process.kill().await.expect("it runs");
            }
            gateways = (0..GATEWAYS)
                .map(|at| gateway(&store, &places, at))
                .collect();
        }
        let address = places[random.random_range(0..GATEWAYS)].clients;
        let (sending, id) = (innocents.clone(), tries * 1_000 + now.as_millis() as usize);
        tokio::spawn(async move { sending.send(address, id).await });
        sleep(Duration::from_millis(20)).await;
    }
    let runs = workers.deadly_runs();
    let third = runs.get(PROOF - 1).copied();
    let late = third.map_or(0, |third| {
        runs.iter().filter(|run| **run > third + CONTACT).count()
    });
    let seen = format!(
        "seed {seed}: {tries} tries, {} runs, {late} late, {} lives ended, innocents {} of {} served",
        runs.len(),
        workers.ended(),
        innocents.served.load(Ordering::Relaxed),
        innocents.sent.load(Ordering::Relaxed),
    );
    println!("{seen}");
    assert!(late <= LATE_RUNS, "{seen}");
    let blamed = innocents.taken_for_the_cause.load(Ordering::Relaxed);
    assert_eq!(blamed, 0, "innocent requests were stopped; {seen}");
    for (at, gateway) in gateways.iter().enumerate() {
        until_ready(gateway).await;
        let stopped = exchange(gateway.clients, &request("last", DEADLY)).await;
        assert!(
            stopped.contains("ends_endpoints"),
            "vm-{at}: {stopped}; {seen}"
        );
        for id in 0..5 {
            let is_served = innocents
                .send(gateway.clients, 1_000_000 * (at + 1) + id)
                .await;
            assert!(is_served, "vm-{at} serves others; {seen}");
        }
    }
}

fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadly_request_is_bounded_and_no_other_pays_for_it() {
    let first = number("CRASH_FIRST_SEED").unwrap_or(1);
    for seed in first..first + number("CRASH_SEEDS").unwrap_or(SEEDS) {
        play(seed).await;
    }
}

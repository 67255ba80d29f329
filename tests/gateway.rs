//! The gateway as separate processes with the emulated platform.

#[path = "support/full_pipe.rs"]
mod full_pipe;

use bridgevane_platform_emulator::{
    Announcement, Behaviour, CONFIG_KEY, EmulatedStore, Fault, MODEL, PLAIN, Worker, document,
    request,
};
use full_pipe::FullPipe;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A store, workers and gateways.
struct GatewayFleet {
    store: EmulatedStore,
    workers: Vec<Worker>,
    gateways: Vec<Gateway>,
}

struct Gateway {
    process: Child,
    clients: SocketAddr,
    ready: SocketAddr,
}

/// The most addresses that are tried for one gateway.
const MAX_STARTS: usize = 4;
/// The next loopback address of this process.
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Returns an address whose port was just free. Each call has a loopback address of its own, so that no
/// other daemon answers there.
async fn free_address() -> SocketAddr {
    let next = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed) % 1_024;
    let chosen = (std::process::id() << 10 | next) % (1 << 24);
    let ip = Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() | chosen);
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    listener.local_addr().expect("it listens")
}

/// Starts a gateway, at other addresses if it ends because one was taken meanwhile.
async fn start_gateway(store: &EmulatedStore, name: &str) -> Gateway {
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
fn has_ended(gateway: &Gateway) -> bool {
    let id = gateway.process.id().expect("it wasn't waited for");
    let state = std::fs::read_to_string(format!("/proc/{id}/stat"));
    state.is_ok_and(|state| state.contains(") Z "))
}

async fn spawn_gateway(store: &EmulatedStore, name: &str) -> Gateway {
    spawn_gateway_with(store, name, |command| command.stdout(Stdio::piped())).await
}

/// Starts the process of a gateway; `prepare` sets its output and further flags.
async fn spawn_gateway_with(
    store: &EmulatedStore,
    name: &str,
    prepare: impl FnOnce(&mut Command) -> &mut Command,
) -> Gateway {
    let (clients, ready) = (free_address().await, free_address().await);
    let mut command = Command::new(env!("CARGO_BIN_EXE_bridgevane"));
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

async fn start_fleet(gateways: usize) -> GatewayFleet {
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

async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("in time: {what}"));
}

async fn exchange(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let mut answer = String::new();
    if stream.write_all(text.as_bytes()).await.is_ok() {
        let _ = stream.read_to_string(&mut answer).await;
    }
    answer
}

async fn is_ready(gateway: &Gateway) -> bool {
    let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    exchange(gateway.ready, text).await.contains(" 200 ")
}

impl GatewayFleet {
    async fn send(&self, path: &str, id: &str) -> String {
        exchange(self.gateways[0].clients, &request(path, id)).await
    }
}

/// Stops a gateway with SIGTERM and returns its log.
async fn stop_gateway(mut gateway: Gateway) -> String {
    signal(&gateway, Signal::TERM);
    let mut log = String::new();
    let mut output = gateway.process.stdout.take().expect("it is piped");
    let reading = output.read_to_string(&mut log);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    read.expect("it ends").expect("its log can be read");
    log
}

fn signal(gateway: &Gateway, signal: Signal) {
    let id = gateway.process.id().expect("it runs");
    let pid = Pid::from_raw(id as i32).expect("an id");
    kill_process(pid, signal).expect("it runs");
}

/// Guards against failures that an operator can't trace: each refused or cut request must be
/// explained by the log lines with its id, and counted in the metrics.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_and_failures_are_explained_by_their_id() {
    let mut fleet = start_fleet(1).await;
    let answer = fleet.send("/once/x", "a1").await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole a1"),
        "{answer}"
    );
    let answer = fleet.send("/stream/x", "a2").await;
    assert!(
        answer.contains("piece 4") && answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    // The worker refuses as overloaded.
    fleet.workers[0].set_behaviour(Behaviour::Full);
    let answer = fleet.send("/once/x", "a3").await;
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"),
        "{answer}"
    );
    // Both workers of the route break off their streams.
    fleet.workers[1].set_behaviour(Behaviour::BreaksOff(2));
    fleet.workers[2].set_behaviour(Behaviour::BreaksOff(2));
    let answer = fleet.send("/stream/x", "a4").await;
    assert!(
        answer.contains("piece 2") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    let text = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let page = exchange(fleet.gateways[0].ready, text).await;
    for row in [
        "bridgevane_gateway_refused_total{",
        "reason=\"overloaded\"",
        "cause=\"not_executed\"",
        "bridgevane_gateway_broken_off_total",
        "bridgevane_gateway_first_byte_seconds_bucket{",
    ] {
        assert!(page.contains(row), "{row} in {page}");
    }
    let log = stop_gateway(fleet.gateways.remove(0)).await;
    let lines_of = |id: &str| -> Vec<&str> {
        let quoted = format!("\"{id}\"");
        log.lines().filter(|line| line.contains(&quoted)).collect()
    };
    let refused = lines_of("a3").join("\n");
    assert!(
        refused.contains("not_executed") && refused.contains("i-plain"),
        "{log}"
    );
    assert!(refused.contains("overloaded"), "{refused}");
    let cut = lines_of("a4").join("\n");
    assert!(
        cut.contains("the endpoint broke off") && cut.contains("i-model-"),
        "{cut}"
    );
    assert!(log.contains("the daemon serves") && log.contains("all streams have ended"));
}

/// Guards against a stream that SIGHUP or a planned stop cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_and_a_planned_stop_cut_no_stream() {
    let mut fleet = start_fleet(1).await;
    for worker in &fleet.workers {
        worker.set_behaviour(Behaviour::Events(20, Duration::from_millis(40)));
    }
    let gateway = fleet.gateways.remove(0);
    let clients = gateway.clients;
    signal(&gateway, Signal::HUP);
    let streaming =
        tokio::spawn(async move { exchange(clients, &request("/stream/x", "b1")).await });
    let has_started = async || {
        fleet
            .workers
            .iter()
            .any(|worker| !worker.executed_ids().is_empty())
    };
    wait_for("the stream runs", has_started).await;
    signal(&gateway, Signal::HUP);
    // Two pending signals may be handled in either order.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let log = stop_gateway(gateway).await;
    let answer = streaming.await.expect("the client ends");
    assert!(
        answer.contains("piece 20") && answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    assert_eq!(log.matches("\"event\":1005").count(), 2, "{log}");
}

/// Guards against requests served on an outdated configuration, and against a gateway that stays
/// unready after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_refuses_requests_during_a_store_outage_and_recovers() {
    let fleet = start_fleet(2).await;
    let first = &fleet.gateways[0];
    fleet.store.set_fault(Some(Fault::Silent));
    let answer = fleet.send("/once/x", "c1").await;
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "the last proof is still valid: {answer}"
    );
    wait_for("not ready", async || !is_ready(first).await).await;
    let answer = fleet.send("/once/x", "c2").await;
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("not_ready"),
        "{answer}"
    );
    assert!(!fleet.workers[0].executed_ids().contains(&"c2".to_owned()));
    fleet.store.set_fault(None);
    wait_for("ready", async || is_ready(first).await).await;
    let answer = fleet.send("/once/x", "c3").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Sends `requests` requests one after the other and returns how many were served.
async fn count_served(fleet: &GatewayFleet, requests: usize) -> usize {
    let mut served = 0;
    for at in 0..requests {
        let answer = fleet.send("/once/x", &format!("r{at}")).await;
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
    }
    served
}

/// Guards against an announced limit that is parsed but not enforced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_gets_no_more_requests_than_its_announced_limit() {
    let fleet = start_fleet(1).await;
    fleet.workers[0].announce(Some(Announcement::Limit(0.5)));
    assert_eq!(count_served(&fleet, 1).await, 1);
    // 1.5 times the limit over 4 s, plus five.
    assert!(count_served(&fleet, 20).await <= 8);
}

/// Guards against a leaving worker that counts as ready again after an outage of the store: it
/// announced during the outage that it is leaving, and its record in the store is older.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_announces_leaving_during_an_outage_gets_no_requests_afterwards() {
    let fleet = start_fleet(1).await;
    let daemon = &fleet.gateways[0];
    fleet.store.set_fault(Some(Fault::Silent));
    fleet.workers[0].announce(Some(Announcement::Leaving));
    assert_eq!(count_served(&fleet, 1).await, 1);
    wait_for("not ready", async || !is_ready(daemon).await).await;
    fleet.store.set_fault(None);
    wait_for("ready", async || is_ready(daemon).await).await;
    assert_eq!(count_served(&fleet, 3).await, 0);
    assert_eq!(fleet.workers[0].executed_ids().len(), 1);
}

/// Guards against a requested back-off that is parsed but not enforced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_gets_no_requests_during_its_requested_backoff() {
    let fleet = start_fleet(1).await;
    let worker = &fleet.workers[0];
    worker.announce(Some(Announcement::Backoff(Duration::from_secs(60))));
    worker.set_behaviour(Behaviour::Full);
    let answer = fleet.send("/once/x", "s1").await;
    assert!(
        answer.contains("retry-after: 5") || answer.contains("retry-after: 60"),
        "{answer}"
    );
    worker.set_behaviour(Behaviour::Whole(Duration::ZERO));
    assert_eq!(count_served(&fleet, 20).await, 0);
}

/// The stop time of the gateways whose log nobody reads.
const STOP_TIME: Duration = Duration::from_secs(4);

/// Starts a fleet of one gateway, which has these outputs.
async fn start_gateway_with_outputs(
    output: impl Fn() -> Stdio,
    error_output: impl Fn() -> Stdio,
) -> GatewayFleet {
    let mut fleet = start_fleet(0).await;
    for _ in 0..MAX_STARTS {
        let stop_s = STOP_TIME.as_secs().to_string();
        let gateway = spawn_gateway_with(&fleet.store, "vm-0", |command| {
            let command = command.args(["--stop-s", &stop_s]);
            command.stdout(output()).stderr(error_output())
        })
        .await;
        let started = async || is_ready(&gateway).await || has_ended(&gateway);
        wait_for("ready", started).await;
        if !has_ended(&gateway) {
            fleet.gateways.push(gateway);
            return fleet;
        }
    }
    panic!("no gateway became ready");
}

/// Stops a gateway with SIGTERM, and checks that its process ends by itself a second after its stop time
/// at the latest.
async fn assert_stops_in_time(gateway: &mut Gateway) {
    signal(gateway, Signal::TERM);
    let limit = STOP_TIME + Duration::from_secs(1);
    let ended = tokio::time::timeout(limit, gateway.process.wait()).await;
    let status = ended.expect("it ends in time").expect("its status");
    assert!(status.success(), "{status}");
}

/// Guards against a process that never ends, and is killed in the end, because nobody reads its log: the
/// pipe is full, and the last lines are written before the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_whose_log_nobody_reads_serves_and_ends_in_time() {
    let pipe = FullPipe::new();
    let mut fleet = start_gateway_with_outputs(|| pipe.as_output(), || pipe.as_output()).await;
    assert_eq!(count_served(&fleet, 5).await, 5);
    assert_stops_in_time(&mut fleet.gateways[0]).await;
}

/// Guards against log lines that are lost at the end of a process without a trace.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lines_that_nobody_reads_are_counted_on_standard_error_at_the_end() {
    let pipe = FullPipe::new();
    let mut fleet = start_gateway_with_outputs(|| pipe.as_output(), Stdio::piped).await;
    let gateway = &mut fleet.gateways[0];
    assert_stops_in_time(gateway).await;
    let mut errors = String::new();
    let output = gateway.process.stderr.as_mut().expect("it is piped");
    output
        .read_to_string(&mut errors)
        .await
        .expect("its errors");
    let line: Value = serde_json::from_str(&errors).expect("one line");
    // At least those of the begin and of the end of the stop.
    assert!(
        line["dropped"].as_u64().is_some_and(|lines| lines >= 2),
        "{errors}"
    );
}

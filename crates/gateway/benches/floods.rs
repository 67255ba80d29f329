//! What floods of an endpoint cost: a calm run and one in which an endpoint of three answers one request
//! in thirty by bytes without end. Prints the share of requests served, processor time and memory of the
//! gateway, which has a process of its own. `FLOODS_RUN_S` is the length of a run in seconds,
//! `FLOODS_ENDPOINTS` the number of endpoints that flood: a single one soon gets few requests.
#![allow(missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};

/// The names of a process's role and kind of run.
const ROLE: &str = "FLOODS_ROLE";
const KIND: &str = "FLOODS_KIND";
const RUN_S: &str = "FLOODS_RUN_S";
const FLOODING: &str = "FLOODS_ENDPOINTS";

const DEFAULT_RUN_S: u64 = 60;
const CLIENTS: usize = 16;
/// The pause of a client after an answer.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);
const ENDPOINTS: usize = 3;
/// How many requests the flooding endpoint gets for each flood.
const REQUESTS_PER_FLOOD: usize = 30;
/// The unit of processor time in `/proc`.
const TICK_MS: u64 = 10;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
/// Floods: the start of the answer, the bytes behind it, and those that are repeated.
const FLOODS: [(&str, &str, &str); 10] = [
    ("", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    ("", "HTTP/1.1 200 ", "x"),
    ("", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ("", "HTTP/1.1 200 OK\r\nx-a: ", "b"),
    ("", "", "no answer"),
    ("", "", "\r\n"),
    (CHUNKED, "", "0"),
    (CHUNKED, "4 ", " "),
    (CHUNKED, "4\r\nfine\r\n0\r\n", "x-a: b\r\n"),
];

fn main() {
    match std::env::var(ROLE).as_deref() {
        Ok("gateway") => run(gateway()),
        Ok(_) => run(load()),
        Err(_) => {
            for kind in ["calm", "floods"] {
                let status = own_command("gateway", kind).status();
                assert!(status.expect("the gateway starts").success());
            }
        }
    }
}

fn run(role: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(role);
}

fn own_command(role: &str, kind: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("the own program"));
    command.env(ROLE, role).env(KIND, kind);
    command
}

fn kind() -> String {
    std::env::var(KIND).expect("set by the first process")
}

fn run_time() -> Duration {
    Duration::from_secs(setting(RUN_S).unwrap_or(DEFAULT_RUN_S))
}

fn setting(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a number"))
}

/// Serves the requests of the other process, and prints what that cost.
async fn gateway() {
    let mut load = own_command("load", &kind());
    let load = load.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
    let mut load = load.expect("the load starts");
    let mut lines = BufReader::new(load.stdout.take().expect("piped")).lines();
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    for at in 0..ENDPOINTS {
        let line = lines.next().expect("an address").expect("it is text");
        let address = line.parse().expect("an address");
        source.publish_endpoint(&format!("e-{at}"), "plain", address);
    }
    let running = support::start(source).await;
    let mut input = load.stdin.take().expect("piped");
    writeln!(input, "{}", running.address).expect("the load reads it");
    let before_ms = processor_ms();
    let result = tokio::task::spawn_blocking(move || lines.next());
    let result = result.await.expect("it ends");
    let used_ms = processor_ms() - before_ms;
    let result = result.expect("a result").expect("it is text");
    let (now, peak) = (memory_kib("VmRSS:"), memory_kib("VmHWM:"));
    println!(
        "{}: {result}; processor time {used_ms} ms; memory {now} KiB, at most {peak} KiB",
        kind()
    );
    assert!(load.wait().expect("it ends").success());
}

fn processor_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("on Linux");
    // The name of the program, in brackets, may hold blanks; the 12th field behind it is `utime`.
    let (_, fields) = stat.rsplit_once(") ").expect("a name in brackets");
    let times = fields.split(' ').skip(11).take(2);
    let ticks: u64 = times
        .map(|ticks| ticks.parse::<u64>().expect("ticks"))
        .sum();
    ticks * TICK_MS
}

fn memory_kib(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("on Linux");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.expect("a size").parse().expect("a number")
}

/// Runs the endpoints and the clients, and prints how many requests were served.
async fn load() {
    let flooding = match kind().as_str() {
        "floods" => setting(FLOODING).unwrap_or(1),
        _ => 0,
    };
    let mut endpoints = Vec::new();
    for at in 0..ENDPOINTS {
        let floods = (at as u64) < flooding;
        let endpoint = Endpoint::start(move |request| script(floods, request)).await;
        println!("{}", endpoint.address);
        endpoints.push(endpoint);
    }
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    assert!(read.is_ok_and(|bytes| bytes > 0), "the gateway's address");
    let address: SocketAddr = line.trim().parse().expect("an address");
    let end = Instant::now() + run_time();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| tokio::spawn(requests(address, client, end)))
        .collect();
    let (mut sent, mut served) = (0, 0);
    for client in clients {
        let counts = client.await.expect("a client ends");
        sent += counts.0;
        served += counts.1;
    }
    let floods: usize = (endpoints.iter())
        .map(|endpoint| endpoint.floods.lock().unwrap().len())
        .sum();
    let share = f64::from(served) / f64::from(sent);
    println!("{served} of {sent} requests served ({share:.4}), {floods} floods ended");
}

fn script(floods: bool, request: usize) -> Vec<Action> {
    if !floods || request % REQUESTS_PER_FLOOD != REQUESTS_PER_FLOOD - 1 {
        return vec![answer("200 OK", &"x".repeat(800))];
    }
    let (start, before, repeated) = FLOODS[request / REQUESTS_PER_FLOOD % FLOODS.len()];
    vec![
        Action::Send(format!("{start}{before}")),
        Action::Flood(repeated),
    ]
}

/// Sends requests one after the other until `end`; returns how many were sent, and how many served.
async fn requests(address: SocketAddr, client: usize, end: Instant) -> (u32, u32) {
    let mut connection = Client::connect(address).await;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let id = format!("c{client}-{sent}");
        let text = request("GET", "/often/x", &id, "x-deadline: 1500\r\n", "");
        connection.send(&text).await;
        sent += 1;
        match connection.answer().await {
            Some(answer) if answer.status == 200 => served += 1,
            Some(_) => {}
            None => connection = Client::connect(address).await,
        }
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    (sent, served)
}

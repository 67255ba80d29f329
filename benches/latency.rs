//! The latency that the daemon adds to a call: the bench compares calls to the engine stand-in
//! directly, through a minimal proxy with the same HTTP library, and through the daemon.
//!
//! `cargo bench --bench latency` prints the table of docs/BENCHMARKS.md.

#[path = "../tests/support/mod.rs"]
mod support;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use axum::routing::post;
use bridgevane::modules::process::http_serve::Servers;
use bridgevane_adapters::HttpClient;
use bridgevane_client_limits::{ClientConnections, ClientMemory};
use bridgevane_coordination::home_of;
use bridgevane_types::{Bytes, VmId};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::*;

const CALLS: usize = 2_000;
const WARM_UP: usize = 200;
const PARALLEL: usize = 32;
const PROMPT: &str = "A short question. [tokens=1]";

/// Forwards a body to the engine and returns the answer, both unchanged.
async fn forward(State(client): State<HttpClient>, request: Request) -> Response {
    let body = request
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let request = client
        .request(http::Method::POST, "/engine/generate")
        .header("content-type", "application/json")
        .body(Full::new(body))
        .expect("a request");
    let response = client.send(request).await.expect("an answer");
    response.map(Body::new)
}

/// What the connections of the bench may use; more than it opens.
const CLIENT_MEMORY: Bytes = Bytes(256 << 20);
const MAX_CONNECTIONS: usize = 1_024;

/// Starts the minimal proxy; it serves until the servers are dropped.
async fn start_minimal_proxy(engine: SocketAddr) -> (Servers, SocketAddr) {
    let router = Router::new()
        .route("/engine/generate", post(forward))
        .with_state(HttpClient::new(engine));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut servers = Servers::default();
    let connections = ClientConnections::new(ClientMemory::new(CLIENT_MEMORY), MAX_CONNECTIONS);
    servers.serve(listener, router, connections);
    (servers, address)
}

fn engine_body(at: usize) -> Value {
    json!({
        "request": format!("req-{at:032x}"),
        "attempt": 0,
        "priority": 0,
        "model": "tutor",
        "prompt": PROMPT,
        "max_tokens": 8,
        "resume_from": 0,
        "delivered_text": "",
    })
}

fn caller_body(_at: usize) -> Value {
    json!({ "model": "tutor", "stream": true, "max_tokens": 8, "prompt": PROMPT })
}

/// One of the compared paths to the engine.
struct CallPath {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    body: fn(usize) -> Value,
}

/// Sends one call, reads the whole answer, and returns the time that it took.
async fn call(client: &HttpClient, call_path: &CallPath, at: usize) -> Duration {
    let begun = Instant::now();
    let request = client
        .request(http::Method::POST, call_path.path)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(Full::new((call_path.body)(at).to_string().into()))
        .expect("a request");
    let response = client.send(request).await.expect("an answer");
    assert!(
        response.status().is_success(),
        "{}: {}",
        call_path.name,
        response.status()
    );
    response
        .into_body()
        .collect()
        .await
        .expect("a whole answer");
    begun.elapsed()
}

/// Measures latency with one call after the other; returns the median and the 99th percentile in
/// µs.
async fn serial(call_path: &CallPath) -> (f64, f64) {
    let client = HttpClient::new(call_path.address);
    for at in 0..WARM_UP {
        call(&client, call_path, at).await;
    }
    let mut times = Vec::new();
    for at in 0..CALLS {
        times.push(call(&client, call_path, at).await.as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    (times[CALLS / 2], times[CALLS * 99 / 100])
}

/// Measures throughput with [`PARALLEL`] callers; returns calls per second.
async fn parallel(call_path: &'static CallPath) -> f64 {
    let begun = Instant::now();
    let callers: Vec<_> = (0..PARALLEL)
        .map(|caller| {
            tokio::spawn(async move {
                let client = HttpClient::new(call_path.address);
                for at in 0..CALLS / PARALLEL {
                    call(&client, call_path, caller * CALLS + at).await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("the calls end");
    }
    CALLS as f64 / begun.elapsed().as_secs_f64()
}

/// Measures the three paths and prints a table.
async fn measure_paths() {
    // Steps of almost no duration, so that the path before the engine is measured.
    let engine = start_standin(&[
        "engine",
        "--step-ms",
        "0.001",
        "--sequence-ms",
        "0",
        "--slots",
        "512",
        "--prefill-per-ms",
        "10000000",
    ]);
    let text =
        configuration(DATA_CENTRE, &[engine.address], &[]).replace("slots = 16", "slots = 512");
    let file = configuration_file("latency_bench", &text);
    let platform = start_standin(&["platform", "--config", file.to_str().expect("a text path")]);
    let daemon = start_daemon("vm-0", DATA_CENTRE, platform.address, &[]);
    wait_until_ready(&daemon).await;
    let (_servers, proxy_address) = start_minimal_proxy(engine.address).await;
    let paths: &'static [CallPath] = Box::leak(Box::new([
        CallPath {
            name: "engine directly",
            address: engine.address,
            path: "/engine/generate",
            body: engine_body,
        },
        CallPath {
            name: "pass-through",
            address: proxy_address,
            path: "/engine/generate",
            body: engine_body,
        },
        CallPath {
            name: "bridgevane",
            address: daemon.address,
            path: "/v1/completions",
            body: caller_body,
        },
    ]));
    println!("| way | p50 us | p99 us | calls/s, {PARALLEL} at once |");
    println!("|---|---|---|---|");
    for call_path in paths {
        let (p50, p99) = serial(call_path).await;
        let rate = parallel(call_path).await;
        println!("| {} | {p50:.0} | {p99:.0} | {rate:.0} |", call_path.name);
    }
}

/// Measures calls with idempotency keys, by the key's home: the called daemon or another one.
async fn measure_keyed_calls() {
    let fleet = Fleet::start("latency_keyed", 1, 3).await;
    let vms: Vec<VmId> = (0..3)
        .map(|at| format!("vm-{at}").as_str().into())
        .collect();
    let address = fleet.daemons[0].address;
    let (mut own_home, mut other_home) = (Vec::new(), Vec::new());
    for at in 0..WARM_UP + CALLS {
        let key = format!("key-{at}");
        let name = format!("key/desk/grand-bay/{key}");
        let is_own_home = home_of(&name, vms.iter()) == Some(&vms[0]);
        let begun = Instant::now();
        let answer = keyed_call(address, "/svc/desk/bookings/7", &key, "piano at four").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        let took_us = begun.elapsed().as_secs_f64() * 1e6;
        if at >= WARM_UP {
            let times = if is_own_home {
                &mut own_home
            } else {
                &mut other_home
            };
            times.push(took_us);
        }
    }
    println!("| keyed call, home of the key | calls | p50 us | p99 us |");
    println!("|---|---|---|---|");
    for (name, mut times) in [("here", own_home), ("elsewhere", other_home)] {
        times.sort_by(f64::total_cmp);
        let calls = times.len();
        let (p50, p99) = (times[calls / 2], times[calls * 99 / 100]);
        println!("| {name} | {calls} | {p50:.0} | {p99:.0} |");
    }
}

fn main() {
    tokio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            measure_paths().await;
            measure_keyed_calls().await;
        });
}

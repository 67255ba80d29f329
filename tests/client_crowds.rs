//! Gateways and `serve` beside clients that send too much, or stop before the end of what they send.
//!
//! Each test starts a process with little memory or few descriptors, lets a crowd connect, and checks that
//! the process lives, stays within its memory and its descriptors, and serves an ordinary request.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/gateways.rs"]
mod gateways;
mod support;

use bridgevane_platform_emulator::{CONFIG_KEY, document, unframed_head};
use bridgevane_soak::crowd::{Crowd, Sends, Target, UsageWatch};
use crowd::{CrowdOutcome, UsageBounds, meet, only_crowd};
use gateways::{
    Gateway, GatewayFleet, has_ended, is_ready, spawn_gateway_of, start_fleet, wait_for,
};
use rustix::process::Signal;
use serde_json::json;
use std::process::{Command, Stdio};
use support::Fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The memory of a gateway. A test's build needs some 10 MB without any client.
const GATEWAY_MEMORY_MB: u64 = 48;
/// The number of clients of each crowd at a gateway.
const GATEWAY_CLIENTS: usize = 600;
/// The longest body that the gateway's configuration allows.
const GATEWAY_BODY_BYTES: usize = 256 * 1024;
/// The length of an ordinary body, which a gateway counts as small.
const ORDINARY_BODY_BYTES: usize = 60_000;
/// The time that the crowd's route and clients allow: longer than an ordinary request is tried.
const TIMEOUT_MS: u64 = 30_000;
/// The number of clients of each kind where all kinds meet a process at once.
const MIXED_CLIENTS: usize = 60;

/// The memory of `serve`. A test's build needs some 20 MB without any client.
const SERVE_MEMORY_MB: u64 = 64;
/// The number of clients of each crowd at `serve`.
const SERVE_CLIENTS: usize = 60;
/// The longest body that `serve` allows.
const SERVE_BODY_BYTES: usize = 4 << 20;

/// The number of clients that send bodies of many small values, and the number of these.
const CLIENTS_WITH_VALUES: usize = 12;
const VALUES: usize = 160_000;

/// The descriptors of a process that has few of them.
const FEW_DESCRIPTORS: usize = 256;
/// The number of clients of a crowd that uses them up.
const DESCRIPTOR_CLIENTS: usize = 400;
/// The descriptors that a process with many of them may use.
const MANY_DESCRIPTORS: usize = 4_100;

/// Returns a command that runs the program with this limit on its descriptors.
fn program(descriptors: usize) -> Command {
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
    command.args(["-c", &script, support::BINARY]);
    command
}

/// Starts a gateway with `GATEWAY_MEMORY_MB` and this many descriptors.
async fn start_gateway(descriptors: usize) -> GatewayFleet {
    let mut fleet = start_fleet(0).await;
    let mut document = document(1);
    document["limits"]["bodyBytes"] = json!(GATEWAY_BODY_BYTES);
    document["routes"][0]["timeoutMs"] = json!(TIMEOUT_MS);
    fleet.store.put(CONFIG_KEY, &document);
    let gateway = spawn_gateway_of(
        program(descriptors).into(),
        &fleet.store,
        "vm-0",
        |command| {
            let command = command.args(["--memory-mb", &GATEWAY_MEMORY_MB.to_string()]);
            command.stdout(Stdio::null())
        },
    )
    .await;
    wait_for("ready", async || is_ready(&gateway).await).await;
    fleet.gateways.push(gateway);
    fleet
}

fn process_of(gateway: &Gateway) -> u32 {
    gateway.process.id().expect("it wasn't waited for")
}

fn gateway_target(gateway: &Gateway) -> Target {
    Target {
        address: gateway.clients,
        head: |id| unframed_head("/once/x", id, TIMEOUT_MS),
        ordinary_body: "x".repeat(ORDINARY_BODY_BYTES),
        max_body_bytes: GATEWAY_BODY_BYTES,
        tiny_chunks: 4_000,
    }
}

/// Lets crowds of `clients` clients meet a gateway one after the other, and checks its bounds.
async fn check_gateway(crowds: &[(&'static str, &[Sends])], clients: usize, descriptors: usize) {
    let _only = only_crowd().await;
    let fleet = start_gateway(descriptors).await;
    let gateway = &fleet.gateways[0];
    let target = gateway_target(gateway);
    let bounds = UsageBounds {
        memory_mb: GATEWAY_MEMORY_MB,
        // Some must be left for readiness, the store, endpoints and other daemons.
        descriptors: descriptors * 3 / 4,
    };
    let mut outcomes: Vec<CrowdOutcome> = Vec::new();
    for (name, kinds) in crowds {
        outcomes.push(meet(process_of(gateway), &target, name, kinds, clients).await);
    }
    assert!(!has_ended(gateway), "{outcomes:#?}");
    assert!(is_ready(gateway).await, "{outcomes:#?}");
    let is_within = |outcome: &CrowdOutcome| outcome.is_within(bounds);
    assert!(outcomes.iter().all(is_within), "{bounds:?} {outcomes:#?}");
}

/// Guards against a gateway that goes over its memory because of many bodies of allowed size that stop short
/// of their end: connections weren't bounded beside the bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_stays_within_its_memory_beside_bodies_that_stop_short() {
    let crowds: [(&str, &[Sends]); 3] = [
        ("whole", &[Sends::WholeBody]),
        ("in pieces", &[Sends::BodyInPieces]),
        ("after asking", &[Sends::BodyAfterAsking]),
    ];
    check_gateway(&crowds, GATEWAY_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against the same with chunked bodies, whose lengths aren't known before they end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_stays_within_its_memory_beside_chunks_that_stop_short() {
    let crowds: [(&str, &[Sends]); 2] = [
        ("large chunks", &[Sends::LargeChunks]),
        ("tiny chunks", &[Sends::TinyChunks]),
    ];
    check_gateway(&crowds, GATEWAY_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against a gateway that takes in bodies beyond the limit on one body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_stays_within_its_memory_beside_bodies_far_over_the_limit() {
    let crowds: [(&str, &[Sends]); 2] = [
        ("announced", &[Sends::OverLimitAnnounced]),
        ("sent", &[Sends::OverLimitSent]),
    ];
    check_gateway(&crowds, 2 * GATEWAY_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against small bodies that stop short of their end and keep out all small requests: they took the
/// memory that is kept for small bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_serves_small_requests_beside_small_bodies_that_stop_short() {
    let crowds: [(&str, &[Sends]); 1] = [("small", &[Sends::SmallBody])];
    check_gateway(&crowds, GATEWAY_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against the memory of connections that never send a whole head.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_stays_within_its_memory_beside_connections_without_a_request() {
    let crowds: [(&str, &[Sends]); 2] = [
        ("heads without end", &[Sends::HeadWithoutEnd]),
        ("nothing", &[Sends::Nothing]),
    ];
    check_gateway(&crowds, 4 * GATEWAY_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against bounds that hold for each kind of client alone, and not for their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_stays_within_its_memory_beside_clients_of_all_kinds() {
    let crowds: [(&str, &[Sends]); 2] = [("all", &Sends::ALL), ("all again", &Sends::ALL)];
    check_gateway(&crowds, MIXED_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against clients that take all descriptors: the gateway reached no endpoint any more and accepted
/// no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_keeps_descriptors_beside_connections_without_a_request() {
    let crowds: [(&str, &[Sends]); 1] = [("nothing", &[Sends::Nothing])];
    check_gateway(&crowds, DESCRIPTOR_CLIENTS, FEW_DESCRIPTORS).await;
}

/// Guards against a planned stop that doesn't end because of clients that never end their requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_ends_beside_clients_of_all_kinds() {
    let _only = only_crowd().await;
    let mut fleet = start_gateway(MANY_DESCRIPTORS).await;
    let target = gateway_target(&fleet.gateways[0]);
    let mut crowd = Crowd::start(&target, &Sends::ALL, MIXED_CLIENTS);
    crowd.sent().await;
    gateways::signal(&fleet.gateways[0], Signal::TERM);
    let status = fleet.gateways[0].process.wait().await.expect("its status");
    assert!(status.success(), "{status}");
}

/// Starts `serve` with `SERVE_MEMORY_MB` and this many descriptors.
async fn start_serve(name: &str, descriptors: usize) -> Fleet {
    let with_little_memory = || {
        let mut command = program(descriptors);
        command.env("BRIDGEVANE_MEMORY_MB", SERVE_MEMORY_MB.to_string());
        command
    };
    Fleet::start_of(with_little_memory, name, 1, 1).await
}

fn serve_target(fleet: &Fleet) -> Target {
    Target {
        address: fleet.daemons[0].address,
        head: |_| {
            let key = support::CUSTOMER_KEY;
            format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n")
        },
        ordinary_body: json!({ "model": "tutor", "prompt": "scales [tokens=2]" }).to_string(),
        max_body_bytes: SERVE_BODY_BYTES,
        tiny_chunks: 20_000,
    }
}

/// Lets crowds of `clients` clients meet `serve` one after the other, and checks its bounds.
async fn check_serve(
    name: &str,
    crowds: &[(&'static str, &[Sends])],
    clients: usize,
    descriptors: usize,
) {
    let _only = only_crowd().await;
    let mut fleet = start_serve(name, descriptors).await;
    let target = serve_target(&fleet);
    let bounds = UsageBounds {
        memory_mb: SERVE_MEMORY_MB,
        descriptors: descriptors * 3 / 4,
    };
    let process = fleet.daemons[0].id();
    let mut outcomes: Vec<CrowdOutcome> = Vec::new();
    for (name, kinds) in crowds {
        outcomes.push(meet(process, &target, name, kinds, clients).await);
    }
    assert!(fleet.daemons[0].exit_status().is_none(), "{outcomes:#?}");
    let is_within = |outcome: &CrowdOutcome| outcome.is_within(bounds);
    assert!(outcomes.iter().all(is_within), "{bounds:?} {outcomes:#?}");
}

/// Guards against `serve` going over its memory because of many bodies of allowed size that stop short of
/// their end: nothing bounded their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_bodies_that_stop_short() {
    let crowds: [(&str, &[Sends]); 3] = [
        ("whole", &[Sends::WholeBody]),
        ("in pieces", &[Sends::BodyInPieces]),
        ("after asking", &[Sends::BodyAfterAsking]),
    ];
    check_serve("crowd_bodies", &crowds, SERVE_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against the same with chunked bodies: each chunk was kept with the buffer that it was cut from.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_chunks_that_stop_short() {
    let crowds: [(&str, &[Sends]); 2] = [
        ("large chunks", &[Sends::LargeChunks]),
        ("tiny chunks", &[Sends::TinyChunks]),
    ];
    check_serve("crowd_chunks", &crowds, 2 * SERVE_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against `serve` taking in bodies beyond the limit on one body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_bodies_far_over_the_limit() {
    let crowds: [(&str, &[Sends]); 2] = [
        ("announced", &[Sends::OverLimitAnnounced]),
        ("sent", &[Sends::OverLimitSent]),
    ];
    check_serve("crowd_over", &crowds, SERVE_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against the memory of connections that never send a whole head or a whole small body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_connections_without_a_request() {
    let crowds: [(&str, &[Sends]); 3] = [
        ("heads without end", &[Sends::HeadWithoutEnd]),
        ("nothing", &[Sends::Nothing]),
        ("small", &[Sends::SmallBody]),
    ];
    check_serve("crowd_heads", &crowds, 20 * SERVE_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against bodies of allowed size that take many times their length once they are parsed, for as long
/// as their requests run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_bodies_of_many_small_values() {
    let _only = only_crowd().await;
    let mut fleet = start_serve("crowd_values", MANY_DESCRIPTORS).await;
    let target = serve_target(&fleet);
    let usage = UsageWatch::start(fleet.daemons[0].id());
    let (before, after) = (
        r#"{"model":"tutor","max_tokens":200,"prompt":["#,
        r#""[tokens=200]"]}"#,
    );
    let values = "[],".repeat(VALUES);
    let head = (target.head)("values");
    let length = before.len() + values.len() + after.len();
    let request = format!("{head}content-length: {length}\r\n\r\n{before}{values}{after}");
    let mut clients = Vec::new();
    for _ in 0..CLIENTS_WITH_VALUES {
        let mut client = TcpStream::connect(target.address)
            .await
            .expect("a connection");
        client
            .write_all(request.as_bytes())
            .await
            .expect("it is read");
        clients.push(client);
    }
    for client in &mut clients {
        let begun = client.read_u8().await;
        begun.expect("an answer or a refusal");
    }
    assert!(target.serves().await);
    let peak_mb = usage.peak().memory_bytes.div_ceil(1 << 20);
    assert!(fleet.daemons[0].exit_status().is_none());
    assert!(peak_mb < SERVE_MEMORY_MB, "{peak_mb} MB");
}

/// Guards against bounds that hold for each kind of client alone, and not for their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_stays_within_its_memory_beside_clients_of_all_kinds() {
    let crowds: [(&str, &[Sends]); 2] = [("all", &Sends::ALL), ("all again", &Sends::ALL)];
    check_serve("crowd_all", &crowds, SERVE_CLIENTS, MANY_DESCRIPTORS).await;
}

/// Guards against clients that take all descriptors: `serve` reached no engine any more and accepted no
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_keeps_descriptors_beside_connections_without_a_request() {
    let crowds: [(&str, &[Sends]); 1] = [("nothing", &[Sends::Nothing])];
    check_serve(
        "crowd_descriptors",
        &crowds,
        DESCRIPTOR_CLIENTS,
        FEW_DESCRIPTORS,
    )
    .await;
}

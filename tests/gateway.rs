//! The gateway as separate processes with the emulated platform.

#[path = "support/full_pipe.rs"]
mod full_pipe;
#[path = "support/gateways.rs"]
mod gateways;

use bridgevane_platform_emulator::{Announcement, Behaviour, Fault, request};
use full_pipe::FullPipe;
use gateways::{
    Gateway, GatewayFleet, MAX_STARTS, exchange, has_ended, is_ready, signal, spawn_gateway_with,
    start_fleet, stop_gateway, wait_for,
};
use rustix::process::Signal;
use serde_json::Value;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::AsyncReadExt;

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
        "bridgevane_gateway_client_connections",
        "bridgevane_gateway_client_memory_bytes",
        "bridgevane_gateway_clients_turned_away",
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

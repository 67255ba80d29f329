//! The cost of control traffic between daemons, measured with real processes on loopback.
//!
//! `cargo bench --bench fleet` runs 4, 8, 16, 32 and 64 daemons of one data centre before one
//! platform stand-in, with a configuration of the design size. For each count it prints the
//! CPU time, memory and bytes per second of one daemon without requests, the calls to the
//! platform, and the time until changes are active on all daemons.

#[path = "../tests/support/mod.rs"]
mod support;

use bridgevane_types::EndpointId;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::*;

const DAEMON_COUNTS: [usize; 5] = [4, 8, 16, 32, 64];
/// The design size of one data centre: numbers of customers, tiers, services and engines.
const CUSTOMERS: usize = 1_100;
const TIERS: usize = 8;
const SERVICES: usize = 19;
const ENGINES: usize = 121;
/// The number of stand-in processes, whose addresses all configured engines share.
const ENGINE_PROCESSES: usize = 4;
/// The time per daemon until the updates of all started daemons are forwarded.
const SETTLE_TIME_PER_DAEMON: Duration = Duration::from_millis(700);
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
const CHANGES: usize = 12;

fn configuration(engines: &[SocketAddr]) -> String {
    let digest = bridgevane::modules::serve::configuration::in_force::key_digest(CUSTOMER_KEY);
    let mut text = String::new();
    for tier in 0..TIERS {
        let target = 810 * (tier + 1);
        writeln!(
            text,
            "[class.c{tier}]\ntier = {tier}\nfirst_token_target_ms = {target}"
        )
        .expect("text");
        writeln!(text, "[kind.k{tier}]\nclass = \"c{tier}\"").expect("text");
    }
    for at in 0..CUSTOMERS {
        let digest = if at == 0 {
            digest.clone()
        } else {
            format!("{at:032x}")
        };
        // The first customer sends the requests of the bench and has no limits.
        let limits = match at {
            0 => "",
            _ => "concurrency_limit = 50\nrate_limit_tps = 4000",
        };
        writeln!(text, "[customer.customer-{at}]\nkey_digest = [\"{digest}\"]\ndefault_kind = \"k{}\"\n{limits}", at % TIERS).expect("text");
    }
    for service in 0..SERVICES {
        writeln!(
            text,
            "[service.s{service}]\nkind = \"model\"\nmodels = [\"model-{service}\"]"
        )
        .expect("text");
        for engine in (service..ENGINES).step_by(SERVICES) {
            let name = EndpointId::from(format!("engine-{engine}").as_str());
            let address = engines[engine % engines.len()];
            writeln!(text, "[service.s{service}.engine.{name}]\naddress = \"{address}\"\ndata_centre = \"{DATA_CENTRE}\"\nslots = 64").expect("text");
        }
    }
    text
}

/// Returns the CPU time in milliseconds and the resident memory in kilobytes of a process.
fn process_usage(id: u32) -> (u64, u64) {
    const MS_PER_TICK: u64 = 10;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    ((ticks(11) + ticks(12)) * MS_PER_TICK, resident.unwrap_or(0))
}

/// Returns the number of bytes received on the loopback interface, including headers.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:").map(str::to_owned));
    let first = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    first.unwrap_or(0)
}

/// Returns a metric of a daemon, summed over the lines that contain `label`.
async fn metric(daemon: &Process, name: &str, label: &str) -> f64 {
    let page = send(daemon.address, http::Method::GET, "/metrics", &[], "")
        .await
        .text;
    page.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}

async fn sum_metric(daemons: &[Process], name: &str, label: &str) -> f64 {
    let mut sum = 0.0;
    for daemon in daemons {
        sum += metric(daemon, name, label).await;
    }
    sum
}

async fn wait_until_all_known(daemons: &[Process]) {
    for daemon in daemons {
        let address = daemon.address;
        let count = daemons.len();
        let operators = daemon.operators;
        eventually("all are ready", || async move {
            send(address, http::Method::GET, "/readyz", &[], "")
                .await
                .status
                == 200
        })
        .await;
        eventually("all are known", || async move {
            let rows = run_statement(operators, "show vms").await.json()["rows"].clone();
            rows.as_array().map(Vec::len) == Some(count)
        })
        .await;
    }
}

/// Returns the time from the command until the slowest daemon has the change.
async fn measure_change(daemons: &[Process], at: usize) -> Duration {
    let statement = format!("set customer customer-{at} rate_limit_tps = {}", 5_000 + at);
    let body = json!({ "statement": statement, "operation_id": format!("change-{at}") });
    let asked = &daemons[at % daemons.len()];
    let begun = Instant::now();
    let answer = post_statement(asked.operators, body).await.json();
    let version = answer["version"].as_u64().expect("the change takes effect");
    loop {
        let rows = run_statement(asked.operators, "show vms").await.json()["rows"].clone();
        let rows = rows.as_array().cloned().unwrap_or_default();
        let is_active =
            |row: &serde_json::Value| field(row, "config_version").as_u64() >= Some(version);
        if rows.len() == daemons.len() && rows.iter().all(is_active) {
            return begun.elapsed();
        }
        // A pause, since the statements cost the daemons time as well.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns what a request of `tokens` tokens costs all daemons together: CPU time in microseconds
/// and bytes between daemons.
async fn measure_request_cost(daemons: &[Process], tokens: usize) -> (f64, f64) {
    const REQUESTS: usize = 1_280;
    const AT_ONCE: usize = 128;
    let cpu = || {
        daemons
            .iter()
            .map(|daemon| process_usage(daemon.id()).0)
            .sum::<u64>()
    };
    let bytes_before = sum_metric(daemons, "bridgevane_peer_bytes", "purpose=\"request\"").await;
    let cpu_before = cpu();
    let callers: Vec<_> = (0..AT_ONCE)
        .map(|caller| {
            let addresses: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.address).collect();
            tokio::spawn(async move {
                for at in 0..REQUESTS / AT_ONCE {
                    let text = format!("caller {caller} request {at} ").repeat(50);
                    let prompt = format!("{text}[tokens={tokens}]");
                    let body = json!({
                        "model": format!("model-{}", at % SERVICES),
                        "stream": true,
                        "max_tokens": tokens,
                        "prompt": prompt,
                    });
                    let address = addresses[(caller + at) % addresses.len()];
                    let answer = post(address, "/v1/completions", body).await;
                    assert_eq!(answer.status, 200, "{}", answer.text);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("the calls end");
    }
    let cpu_after = cpu();
    let bytes_after = sum_metric(daemons, "bridgevane_peer_bytes", "purpose=\"request\"").await;
    let requests = REQUESTS as f64;
    // A frame is counted where it is sent and where it is received.
    let bytes = (bytes_after - bytes_before) / 2.0 / requests;
    ((cpu_after - cpu_before) as f64 * 1_000.0 / requests, bytes)
}

/// Measures a fleet of `count` daemons; returns a row of the table.
async fn measure(count: usize) -> String {
    let engines: Vec<Process> = (0..ENGINE_PROCESSES)
        .map(|_| start_standin(&["engine", "--slots", "64"]))
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let text = configuration(&addresses);
    let file = configuration_file("fleet_bench", &text);
    let platform = start_standin(&["platform", "--config", file.to_str().expect("a text path")]);
    let mut daemons: Vec<Process> = Vec::new();
    for at in 0..count {
        let seeds: Vec<SocketAddr> = daemons.iter().take(3).map(|daemon| daemon.peers).collect();
        daemons.push(start_daemon(
            &format!("vm-{at}"),
            DATA_CENTRE,
            platform.address,
            &seeds,
        ));
    }
    wait_until_all_known(&daemons).await;
    tokio::time::sleep(SETTLE_TIME_PER_DAEMON * count as u32).await;
    let cpu = |daemons: &[Process]| daemons.iter().map(|d| process_usage(d.id()).0).sum::<u64>();
    let control_before = sum_metric(&daemons, "bridgevane_peer_bytes", "purpose=\"control\"").await;
    let calls_before = sum_metric(&daemons, "bridgevane_platform_calls", "").await;
    let (cpu_before, bytes_before) = (cpu(&daemons), loopback_bytes());
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let (cpu_after, bytes_after) = (cpu(&daemons), loopback_bytes());
    let control_after = sum_metric(&daemons, "bridgevane_peer_bytes", "purpose=\"control\"").await;
    let calls_after = sum_metric(&daemons, "bridgevane_platform_calls", "").await;
    let resident: u64 = daemons.iter().map(|d| process_usage(d.id()).1).sum();
    let mut changes = Vec::new();
    let cpu_idle = cpu(&daemons);
    for at in 0..CHANGES {
        changes.push(measure_change(&daemons, at + 1).await.as_millis());
    }
    let cpu_changes = cpu(&daemons) - cpu_idle;
    changes.sort_unstable();
    let (cpu_short, bytes_short) = measure_request_cost(&daemons, 20).await;
    let (cpu_long, bytes_long) = measure_request_cost(&daemons, 120).await;
    let per = |value: f64| value / count as f64 / MEASUREMENT_TIME.as_secs_f64();
    // A frame is counted where it is sent and where it is received.
    format!(
        "| {count} | {:.2} | {:.1} | {:.0} | {:.0} | {:.2} | {} / {} | {:.1} | {:.0} / {:.0} | {:.0} / {:.0} |",
        per((cpu_after - cpu_before) as f64) / 10.0,
        resident as f64 / count as f64 / 1024.0,
        per(control_after - control_before) / 2.0,
        per((bytes_after - bytes_before) as f64),
        (calls_after - calls_before) / MEASUREMENT_TIME.as_secs_f64(),
        changes[changes.len() / 2],
        changes[changes.len() - 1],
        cpu_changes as f64 / count as f64 / CHANGES as f64,
        cpu_short,
        cpu_long,
        bytes_short,
        bytes_long,
    )
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let counts: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let counts = if counts.is_empty() {
        DAEMON_COUNTS.to_vec()
    } else {
        counts
    };
    println!(
        "| daemons | cpu % of a core | resident MB | peer frames B/s sent | loopback B/s | platform calls/s, all | change in force ms, median / max | cpu ms a change | cpu us a request, 20 / 120 tokens | bytes between daemons a request, 20 / 120 tokens |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for count in counts {
        println!("{}", runtime.block_on(measure(count)));
    }
}

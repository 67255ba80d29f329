//! Seven daemons in three data centres under constant load, while VMs are killed and frozen, an
//! engine crashes, and one data centre is disconnected from the platform.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use support::*;

const DATA_CENTRES: [&str; 3] = ["mi-a", "mi-b", "bo-c"];

struct DataCentre {
    daemons: Vec<Process>,
    engines: Vec<Process>,
}

/// Sends one call after the other until `stop` is set; every answer must be complete and correct,
/// or a refusal of a call that wasn't run.
async fn load(address: SocketAddr, caller: usize, stop: Arc<AtomicBool>, served: Arc<AtomicU64>) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let prompt = format!("Caller {caller} asks for the {count}th time. [tokens=25]");
        let answer = chat(address, &prompt, 50).await;
        if answer.status == 200 {
            assert_eq!(answer.streamed_text(), expected_text(&prompt));
            served.fetch_add(1, Ordering::Relaxed);
        } else {
            assert_eq!(
                answer.header("x-bridgevane-outcome"),
                "not-run",
                "{}",
                answer.text
            );
        }
    }
}

/// Returns the configuration versions of all daemons that answer, by VM.
async fn versions(operators: SocketAddr) -> BTreeMap<String, u64> {
    let rows = run_statement(operators, "show vms").await.json()["rows"].clone();
    let rows = rows.as_array().cloned().unwrap_or_default();
    let version = |row: &Value| {
        let vm = field(row, "vm").as_str().unwrap_or_default().to_owned();
        (vm, field(row, "config_version").as_u64().unwrap_or(0))
    };
    rows.iter().map(version).collect()
}

/// Records the versions and checks that none is lower than before.
async fn check_versions(seen: &mut BTreeMap<String, u64>, operators: SocketAddr) {
    for (vm, version) in versions(operators).await {
        let before = seen.entry(vm.clone()).or_default();
        assert!(version >= *before, "{vm} went from {before} to {version}");
        *before = version;
    }
}

async fn start() -> (Process, Proxy, Vec<DataCentre>) {
    let engines: Vec<Vec<Process>> = DATA_CENTRES
        .iter()
        .map(|_| (0..2).map(|_| start_standin(&["engine"])).collect())
        .collect();
    let mut placed = Vec::new();
    for (data_centre, engines) in DATA_CENTRES.iter().zip(&engines) {
        placed.extend(
            engines
                .iter()
                .map(|engine| ((*data_centre).to_owned(), engine.address)),
        );
    }
    let file = configuration_file("data_centres", &configuration_of_data_centres(&placed, &[]));
    let platform = start_standin(&["platform", "--config", file.to_str().expect("a text path")]);
    // The last data centre reaches the platform through a proxy that can be blocked.
    let proxy = Proxy::start(platform.address).await;
    let mut data_centres = Vec::new();
    for ((at, data_centre), engines) in DATA_CENTRES.iter().enumerate().zip(engines) {
        let address = if at == 2 {
            proxy.address
        } else {
            platform.address
        };
        let count = if at == 0 { 3 } else { 2 };
        let mut daemons: Vec<Process> = Vec::new();
        for vm in 0..count {
            let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.peers).collect();
            daemons.push(start_daemon(
                &format!("{data_centre}-{vm}"),
                data_centre,
                address,
                &seeds,
            ));
        }
        data_centres.push(DataCentre { daemons, engines });
    }
    let entry = |data_centre: &str, vm: usize, daemon: &Process| {
        json!({ "vm": format!("{data_centre}-{vm}"), "data_centre": data_centre,
                "peer_address": daemon.peers, "leaving": false })
    };
    let mut list = Vec::new();
    for (data_centre, here) in DATA_CENTRES.iter().zip(&data_centres) {
        list.extend(
            here.daemons
                .iter()
                .enumerate()
                .map(|(vm, daemon)| entry(data_centre, vm, daemon)),
        );
        for daemon in &here.daemons {
            wait_until_ready(daemon).await;
        }
    }
    let headers = [("content-type", "application/json")];
    let list = Value::from(list).to_string();
    send(
        platform.address,
        http::Method::POST,
        "/standin/vms",
        &headers,
        list,
    )
    .await;
    (platform, proxy, data_centres)
}

/// Guards against cut or mixed answers and against configurations that are reverted while parts
/// fail.
#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_correct_and_versions_never_fall_during_failures() {
    let (_platform, proxy, mut data_centres) = start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    // Callers use only VMs that are neither killed nor frozen.
    let callers: Vec<_> = data_centres
        .iter()
        .enumerate()
        .flat_map(|(at, data_centre)| {
            [
                (at * 2, data_centre.daemons[0].address),
                (at * 2 + 1, data_centre.daemons[1].address),
            ]
        })
        .filter(|(caller, _)| *caller != 3)
        .map(|(caller, address)| tokio::spawn(load(address, caller, stop.clone(), served.clone())))
        .collect();
    let mut seen = BTreeMap::new();
    let first = data_centres[0].daemons[0].operators;
    let disconnected = data_centres[2].daemons[0].operators;
    // The VM list, which names the daemons of other data centres, must be read before the
    // disconnection.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    proxy.set_blocked(true);
    for round in 0..3u64 {
        let statement = format!(
            "set class practice first_token_target_ms = {}",
            6_000 + round
        );
        let body = json!({ "statement": statement, "operation_id": format!("round-{round}") });
        let answer = post_statement(first, body).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        match round {
            0 => data_centres[1].daemons[1].kill(),
            1 => data_centres[0].daemons[2].signal("STOP"),
            _ => {
                let crash = json!({ "crash": true }).to_string();
                let headers = [("content-type", "application/json")];
                let engine = data_centres[2].engines[0].address;
                send(
                    engine,
                    http::Method::POST,
                    "/standin/fault",
                    &headers,
                    crash,
                )
                .await;
            }
        }
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            check_versions(&mut seen, first).await;
            check_versions(&mut seen, disconnected).await;
        }
    }
    // The disconnected data centre gets the version from the others.
    eventually(
        "the disconnected data centre has the newest version",
        || async move {
            versions(disconnected)
                .await
                .values()
                .all(|version| *version == 4)
        },
    )
    .await;
    data_centres[0].daemons[2].signal("CONT");
    proxy.set_blocked(false);
    eventually("the frozen VM has the newest version", || async move {
        let versions = versions(first).await;
        versions.len() == 3 && versions.values().all(|version| *version == 4)
    })
    .await;
    check_versions(&mut seen, first).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("every answer was whole or not run");
    }
    assert!(served.load(Ordering::Relaxed) > 20);
}

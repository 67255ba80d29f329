//! Seven daemons in three data centres under steady load, while VMs are killed and frozen, an
//! engine crashes, and one data centre is cut off from the platform.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use support::*;

const PLACES: [&str; 3] = ["mi-a", "mi-b", "bo-c"];

struct Place {
    daemons: Vec<Process>,
    engines: Vec<Process>,
}

/// Calls one after the other until it is told to stop; every answer must be whole and its own.
async fn load(address: SocketAddr, caller: usize, stop: Arc<AtomicBool>, whole: Arc<AtomicU64>) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let prompt = format!("Caller {caller} asks for the {count}th time. [tokens=25]");
        let answer = chat(address, &prompt, 50).await;
        if answer.status == 200 {
            assert_eq!(answer.streamed_text(), expected_text(&prompt));
            whole.fetch_add(1, Ordering::Relaxed);
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

/// The versions of all daemons that answer, by VM.
async fn versions(operators: SocketAddr) -> BTreeMap<String, u64> {
    let rows = ask(operators, "show vms").await.json()["rows"].clone();
    let rows = rows.as_array().cloned().unwrap_or_default();
    let version = |row: &Value| {
        let vm = field(row, "vm").as_str().unwrap_or_default().to_owned();
        (vm, field(row, "config_version").as_u64().unwrap_or(0))
    };
    rows.iter().map(version).collect()
}

/// Notes versions and checks that none ever falls.
async fn note(seen: &mut BTreeMap<String, u64>, operators: SocketAddr) {
    for (vm, version) in versions(operators).await {
        let before = seen.entry(vm.clone()).or_default();
        assert!(version >= *before, "{vm} went from {before} to {version}");
        *before = version;
    }
}

async fn start() -> (Process, Proxy, Vec<Place>) {
    let engines: Vec<Vec<Process>> = PLACES
        .iter()
        .map(|_| (0..2).map(|_| standin(&["engine"])).collect())
        .collect();
    let mut placed = Vec::new();
    for (place, engines) in PLACES.iter().zip(&engines) {
        placed.extend(
            engines
                .iter()
                .map(|engine| ((*place).to_owned(), engine.address)),
        );
    }
    let file = configuration_file("data_centres", &configuration_of(&placed, &[]));
    let platform = standin(&["platform", "--config", file.to_str().expect("a text path")]);
    // The last data centre reaches the platform by a way that can be cut.
    let way = Proxy::to(platform.address).await;
    let mut places = Vec::new();
    for ((at, place), engines) in PLACES.iter().enumerate().zip(engines) {
        let address = if at == 2 {
            way.address
        } else {
            platform.address
        };
        let count = if at == 0 { 3 } else { 2 };
        let mut daemons: Vec<Process> = Vec::new();
        for vm in 0..count {
            let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.peers).collect();
            daemons.push(daemon(&format!("{place}-{vm}"), place, address, &seeds));
        }
        places.push(Place { daemons, engines });
    }
    let entry = |place: &str, vm: usize, daemon: &Process| {
        json!({ "vm": format!("{place}-{vm}"), "data_centre": place,
                "peer_address": daemon.peers, "leaving": false })
    };
    let mut list = Vec::new();
    for (place, here) in PLACES.iter().zip(&places) {
        list.extend(
            here.daemons
                .iter()
                .enumerate()
                .map(|(vm, daemon)| entry(place, vm, daemon)),
        );
        for daemon in &here.daemons {
            ready(daemon).await;
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
    (platform, way, places)
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_cut_mixed_or_reverted_while_things_fail() {
    let (_platform, way, mut places) = start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicU64::new(0));
    // Callers use VMs that stay up; what fails is around them.
    let callers: Vec<_> = places
        .iter()
        .enumerate()
        .flat_map(|(at, place)| {
            [
                (at * 2, place.daemons[0].address),
                (at * 2 + 1, place.daemons[1].address),
            ]
        })
        .filter(|(caller, _)| *caller != 3)
        .map(|(caller, address)| tokio::spawn(load(address, caller, stop.clone(), whole.clone())))
        .collect();
    let mut seen = BTreeMap::new();
    let first = places[0].daemons[0].operators;
    let cut_off = places[2].daemons[0].operators;
    // The VM list must have been read before the cut: it names the daemons elsewhere.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    way.cut(true);
    for round in 0..3u64 {
        let statement = format!(
            "set class practice first_token_target_ms = {}",
            6_000 + round
        );
        let body = json!({ "statement": statement, "operation_id": format!("round-{round}") });
        let answer = ask_json(first, body).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        match round {
            0 => places[1].daemons[1].kill(),
            1 => places[0].daemons[2].signal("STOP"),
            _ => {
                let crash = json!({ "crash": true }).to_string();
                let headers = [("content-type", "application/json")];
                let engine = places[2].engines[0].address;
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
            note(&mut seen, first).await;
            note(&mut seen, cut_off).await;
        }
    }
    // The data centre without the platform has learnt it from the others.
    eventually(
        "the cut-off data centre has the newest version",
        || async move {
            versions(cut_off)
                .await
                .values()
                .all(|version| *version == 4)
        },
    )
    .await;
    places[0].daemons[2].signal("CONT");
    way.cut(false);
    eventually("the frozen VM has the newest version", || async move {
        let versions = versions(first).await;
        versions.len() == 3 && versions.values().all(|version| *version == 4)
    })
    .await;
    note(&mut seen, first).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("every answer was whole or not run");
    }
    assert!(whole.load(Ordering::Relaxed) > 20);
}

//! Rollouts of model versions: by whom, in which order, and what a dead or frozen holder does.

mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::*;

async fn roll_out(fleet: &Fleet, statement: &str) {
    let operators = fleet.daemons[0].operators;
    let body = json!({ "statement": statement, "operation_id": statement });
    let answer = ask_json(operators, body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

async fn rollouts(operators: std::net::SocketAddr) -> Vec<Value> {
    let answer = ask(operators, "show rollouts").await.json();
    answer["rows"].as_array().cloned().unwrap_or_default()
}

async fn reaches(operators: std::net::SocketAddr, stage: &'static str) {
    eventually("the rollout gets there", || async move {
        let rows = rollouts(operators).await;
        rows.iter().any(|row| field(row, "stage") == stage)
    })
    .await;
}

/// The orders that an engine took: fence, generation, version.
async fn orders(engine: &Process) -> Vec<(u64, u64, u64)> {
    let answer = send(
        engine.address,
        http::Method::POST,
        "/standin/orders",
        &[],
        "",
    )
    .await;
    let order = |order: &Value| {
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        let version = &order["order"]["load_model"]["model_version"];
        (
            number(&order["fence"]),
            number(&order["generation"]),
            number(version),
        )
    };
    answer
        .json()
        .as_array()
        .expect("orders")
        .iter()
        .map(order)
        .collect()
}

async fn holder(fleet: &Fleet) -> usize {
    let rows = rollouts(fleet.daemons[0].operators).await;
    let vm = field(&rows[0], "vm");
    let at = (0..fleet.daemons.len()).find(|at| vm == format!("vm-{at}").as_str());
    at.expect("one of the daemons holds it")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_reaches_every_engine_batch_by_batch() {
    let fleet = Fleet::start("rollout", 3, 2).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 300ms").await;
    reaches(fleet.daemons[1].operators, "done").await;
    for engine in &fleet.engines {
        let taken = orders(engine).await;
        assert_eq!(taken.len(), 1, "{taken:?}");
        assert_eq!(taken[0].2, 2);
    }
    // The next one goes on from there, under a higher generation.
    roll_out(&fleet, "roll out tutor version 3 batch 3 watch 100ms").await;
    eventually("every engine has version 3", || async {
        let mut versions = Vec::new();
        for engine in &fleet.engines {
            versions.push(orders(engine).await.last().map(|order| order.2));
        }
        versions.iter().all(|version| *version == Some(3))
    })
    .await;
    let answer = ask(fleet.daemons[0].operators, "roll out nobody version 2").await;
    assert_eq!(answer.status, 400, "{}", answer.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_carries_a_rollout_on_after_its_holder_died() {
    let mut fleet = Fleet::start("rollout_death", 3, 3).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 2s").await;
    reaches(fleet.daemons[0].operators, "watching").await;
    let dead = holder(&fleet).await;
    fleet.daemons.remove(dead).kill();
    reaches_eventually_done(&fleet).await;
    for engine in &fleet.engines {
        let taken = orders(engine).await;
        assert!(taken.iter().all(|order| order.2 == 2), "{taken:?}");
        assert!(
            taken.is_sorted_by_key(|order| order.0),
            "fences only rise: {taken:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_frozen_past_its_lease_does_no_harm() {
    let fleet = Fleet::start("rollout_frozen", 3, 3).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 2s").await;
    reaches(fleet.daemons[0].operators, "watching").await;
    let frozen = holder(&fleet).await;
    fleet.daemons[frozen].signal("STOP");
    let other = fleet.daemons[(frozen + 1) % 3].operators;
    for _ in 0..4 {
        // Longer than one wait of the helper: dead, lease over, taken over, watched anew.
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        if rollouts(other)
            .await
            .iter()
            .any(|row| field(row, "stage") == "done")
        {
            break;
        }
    }
    reaches(other, "done").await;
    let mut before = Vec::new();
    for engine in &fleet.engines {
        before.push(orders(engine).await);
    }
    fleet.daemons[frozen].signal("CONT");
    fleet.all_see(3).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for (engine, before) in fleet.engines.iter().zip(before) {
        let after = orders(engine).await;
        let new: Vec<_> = after[before.len()..].to_vec();
        let highest = before.iter().map(|order| order.0).max();
        assert!(
            new.iter().all(|order| Some(order.0) > highest),
            "{before:?} {after:?}"
        );
        assert!(after.iter().all(|order| order.2 == 2), "{after:?}");
    }
}

async fn reaches_eventually_done(fleet: &Fleet) {
    let operators = fleet.daemons[0].operators;
    for _ in 0..3 {
        if rollouts(operators)
            .await
            .iter()
            .any(|row| field(row, "stage") == "done")
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(6_000)).await;
    }
    reaches(operators, "done").await;
}

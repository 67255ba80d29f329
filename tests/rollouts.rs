//! Rollouts of model versions: their order, and the death or freeze of the daemon that holds one.

mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::*;

async fn roll_out(fleet: &Fleet, statement: &str) {
    let operators = fleet.daemons[0].operators;
    let body = json!({ "statement": statement, "operation_id": statement });
    let answer = post_statement(operators, body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

async fn rollouts(operators: std::net::SocketAddr) -> Vec<Value> {
    let answer = run_statement(operators, "show rollouts").await.json();
    answer["rows"].as_array().cloned().unwrap_or_default()
}

async fn wait_for_stage(operators: std::net::SocketAddr, stage: &'static str) {
    eventually("the rollout reaches the stage", || async move {
        let rows = rollouts(operators).await;
        rows.iter().any(|row| field(row, "stage") == stage)
    })
    .await;
}

/// Returns the orders that an engine accepted: fencing token, generation, version.
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

async fn holder_index(fleet: &Fleet) -> usize {
    let rows = rollouts(fleet.daemons[0].operators).await;
    let vm = field(&rows[0], "vm");
    let at = (0..fleet.daemons.len()).find(|at| vm == format!("vm-{at}").as_str());
    at.expect("one of the daemons holds the rollout")
}

/// Guards against engines that a rollout misses or orders twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_reaches_every_engine_once() {
    let fleet = Fleet::start("rollout", 3, 2).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 300ms").await;
    wait_for_stage(fleet.daemons[1].operators, "done").await;
    for engine in &fleet.engines {
        let accepted = orders(engine).await;
        assert_eq!(accepted.len(), 1, "{accepted:?}");
        assert_eq!(accepted[0].2, 2);
    }
    // A second rollout follows with a higher generation.
    roll_out(&fleet, "roll out tutor version 3 batch 3 watch 100ms").await;
    eventually("every engine has version 3", || async {
        let mut versions = Vec::new();
        for engine in &fleet.engines {
            versions.push(orders(engine).await.last().map(|order| order.2));
        }
        versions.iter().all(|version| *version == Some(3))
    })
    .await;
    let answer = run_statement(fleet.daemons[0].operators, "roll out nobody version 2").await;
    assert_eq!(answer.status, 400, "{}", answer.text);
}

/// Guards against a rollout that stops when its holder is killed, and against orders with a lower
/// fencing token after the takeover.
#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_completes_a_rollout_after_its_holder_was_killed() {
    let mut fleet = Fleet::start("rollout_death", 3, 3).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 2s").await;
    wait_for_stage(fleet.daemons[0].operators, "watching").await;
    let dead = holder_index(&fleet).await;
    fleet.daemons.remove(dead).kill();
    wait_until_done(&fleet).await;
    for engine in &fleet.engines {
        let accepted = orders(engine).await;
        assert!(accepted.iter().all(|order| order.2 == 2), "{accepted:?}");
        assert!(
            accepted.is_sorted_by_key(|order| order.0),
            "fencing tokens never fall: {accepted:?}"
        );
    }
}

/// Guards against a former holder that wakes after its lease has expired and sends outdated orders.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_frozen_past_its_lease_sends_no_outdated_orders() {
    let fleet = Fleet::start("rollout_frozen", 3, 3).await;
    roll_out(&fleet, "roll out tutor version 2 batch 1 watch 2s").await;
    wait_for_stage(fleet.daemons[0].operators, "watching").await;
    let frozen = holder_index(&fleet).await;
    fleet.daemons[frozen].signal("STOP");
    let other = fleet.daemons[(frozen + 1) % 3].operators;
    for _ in 0..4 {
        // Longer than one wait of `eventually`: the holder must be found dead and its lease expire;
        // then another daemon takes over and watches the batch again.
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        if rollouts(other)
            .await
            .iter()
            .any(|row| field(row, "stage") == "done")
        {
            break;
        }
    }
    wait_for_stage(other, "done").await;
    let mut before = Vec::new();
    for engine in &fleet.engines {
        before.push(orders(engine).await);
    }
    fleet.daemons[frozen].signal("CONT");
    fleet.wait_for_members_everywhere(3).await;
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

async fn wait_until_done(fleet: &Fleet) {
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
    wait_for_stage(operators, "done").await;
}

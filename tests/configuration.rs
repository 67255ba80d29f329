//! The configuration in force: changes, races, lost answers, outages, starts during outages.

mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use support::*;

async fn change(operators: SocketAddr, operation: &str, statement: &str) -> Answer {
    ask_json(
        operators,
        json!({ "statement": statement, "operation_id": operation }),
    )
    .await
}

async fn version_at(operators: SocketAddr) -> Vec<Value> {
    let answer = ask(operators, "show vms").await.json();
    let rows = answer["rows"].as_array().cloned().unwrap_or_default();
    rows.iter()
        .map(|row| field(row, "config_version"))
        .collect()
}

async fn in_force_everywhere(fleet: &Fleet, version: u64) {
    let operators = fleet.daemons[0].operators;
    let count = fleet.daemons.len();
    eventually("the version is in force everywhere", || async move {
        let versions = version_at(operators).await;
        versions.len() == count && versions.iter().all(|found| *found == version)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_every_vm_and_safe_to_send_twice() {
    let fleet = Fleet::start("change", 1, 4).await;
    let statement = "set class practice first_token_target_ms = 7000";
    let answer = change(fleet.daemons[1].operators, "op-1", statement).await;
    assert_eq!(
        answer.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    in_force_everywhere(&fleet, 2).await;
    // The same operation again, through another daemon.
    let again = change(fleet.daemons[3].operators, "op-1", statement).await;
    assert_eq!(
        again.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    let same = change(fleet.daemons[3].operators, "op-2", statement).await;
    assert_eq!(same.json(), json!({ "result": "no-change" }));
    let wrong = change(
        fleet.daemons[0].operators,
        "op-3",
        "set class practise tier = 1",
    )
    .await;
    assert_eq!(wrong.status, 400);
    assert!(
        wrong.text.contains("there are booking, practice, report"),
        "{}",
        wrong.text
    );
    let invalid = change(
        fleet.daemons[0].operators,
        "op-4",
        "set class practice min_share = 0.9",
    )
    .await;
    assert_eq!(invalid.status, 400);
    assert!(invalid.text.contains("0.5 or less"), "{}", invalid.text);
    let history = ask(fleet.daemons[2].operators, "show history").await.json();
    assert_eq!(history["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(field(&history["rows"][0], "operator"), "nadia");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_at_once_one_wins_and_the_other_is_told() {
    let fleet = Fleet::start("race", 1, 2).await;
    let config = async |operators: SocketAddr| {
        let bearer = format!("Bearer {}", OPERATOR.split_once(':').expect("a token").1);
        let headers = [("authorization", bearer.as_str())];
        send(operators, http::Method::GET, "/v1/config", &headers, "")
            .await
            .json()
    };
    let base = config(fleet.daemons[0].operators).await;
    let edited = |from: &str, to: &str| {
        let document = base["document"]
            .as_str()
            .expect("a document")
            .replace(from, to);
        json!({ "document": document, "base_version": base["version"] })
    };
    let propose = |at: usize, operation: &str, mut body: Value| {
        body["operation_id"] = operation.into();
        let operators = fleet.daemons[at].operators;
        async move { ask_json(operators, body).await }
    };
    let target = "first_token_target_ms = 5000";
    let (one, two) = tokio::join!(
        propose(0, "a", edited(target, "first_token_target_ms = 6000")),
        propose(1, "b", edited(target, "first_token_target_ms = 4000")),
    );
    let statuses = [one.status, two.status];
    assert!(
        statuses == [200, 409] || statuses == [409, 200],
        "{one:?} {two:?}"
    );
    let loser = if one.status == 409 { one } else { two }.json();
    assert_eq!(loser["result"], "conflict");
    assert_eq!(loser["meanwhile"][0]["changed"], json!(["class.practice"]));
    // Changes of different sections don't conflict.
    let (one, two) = tokio::join!(
        change(fleet.daemons[0].operators, "c", "set class report tier = 3"),
        change(
            fleet.daemons[1].operators,
            "d",
            "set class practice tier = 4"
        ),
    );
    assert_eq!([one.status, two.status], [200, 200], "{one:?} {two:?}");
    in_force_everywhere(&fleet, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_and_never_guessed() {
    let fleet = Fleet::start("lost_answer", 1, 2).await;
    fleet
        .fault(&fleet.platform, json!({ "lose_answers": 1 }))
        .await;
    let operators = fleet.daemons[0].operators;
    let answer = change(operators, "op", "set class practice tier = 5").await;
    assert_eq!(
        answer.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    in_force_everywhere(&fleet, 2).await;
    fleet
        .fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    let answer = change(operators, "op-2", "set class practice tier = 6").await;
    assert_eq!(answer.status, 503);
    assert!(
        answer.text.contains("did not take effect"),
        "{}",
        answer.text
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_goes_on_without_the_platform_and_a_new_vm_learns_from_its_peers() {
    let mut fleet = Fleet::start("outage", 1, 2).await;
    let operators = fleet.daemons[0].operators;
    let answer = change(operators, "op", "set class practice tier = 5").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    in_force_everywhere(&fleet, 2).await;
    fleet
        .fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    fleet.add_daemon("vm-2");
    ready(&fleet.daemons[2]).await;
    in_force_everywhere(&fleet, 2).await;
    for daemon in &fleet.daemons {
        let answer = chat(daemon.address, "Still here. [tokens=3]", 10).await;
        assert_eq!(
            answer.streamed_text(),
            expected_text("Still here. [tokens=3]")
        );
    }
    // All of the first ones are replaced, one after the other, while the platform is away.
    fleet.daemons.remove(0).kill();
    fleet.daemons.remove(0).kill();
    fleet.add_daemon("vm-3");
    ready(&fleet.daemons[1]).await;
    let answer = chat(fleet.daemons[1].address, "Still here. [tokens=3]", 10).await;
    assert_eq!(
        answer.streamed_text(),
        expected_text("Still here. [tokens=3]")
    );
    // The platform comes back, holding what was accepted.
    fleet.fault(&fleet.platform, json!({})).await;
    let operators = fleet.daemons[1].operators;
    eventually("changes are possible again", || async move {
        change(operators, "op-9", "set class practice tier = 6")
            .await
            .status
            == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_platform_and_peers_takes_no_requests() {
    let fleet = Fleet::start("alone", 1, 1).await;
    fleet
        .fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    let alone = daemon("vm-x", DATA_CENTRE, fleet.platform.address, &[]);
    let answer = chat(alone.address, "Too early.", 10).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-bridgevane-outcome"), "not-run");
    assert_ne!(answer.header("retry-after"), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_name_the_vms_that_did_not_answer() {
    let fleet = Fleet::start("missing", 1, 3).await;
    fleet.daemons[2].signal("STOP");
    let answer = ask(fleet.daemons[0].operators, "show vms").await.json();
    fleet.daemons[2].signal("CONT");
    assert_eq!(answer["answered"], json!(["vm-0", "vm-1"]));
    assert_eq!(answer["missing"], json!(["vm-2"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_is_refused_by_operators_and_daemons() {
    let fleet = Fleet::start("stranger", 1, 1).await;
    let headers = [
        ("authorization", "Bearer wrong-token"),
        ("content-type", "application/json"),
    ];
    let body = json!({ "statement": "show vms" }).to_string();
    let operators = fleet.daemons[0].operators;
    let answer = send(operators, http::Method::POST, "/v1/ask", &headers, body).await;
    assert_eq!(answer.status, 401);
    let stranger = std::process::Command::new(BINARY)
        .args(["serve", "--vm-id", "vm-0", "--data-centre", DATA_CENTRE])
        .args(["--peer-key", "short"])
        .output()
        .expect("the binary runs");
    assert_eq!(stranger.status.code(), Some(2));
    let text = String::from_utf8_lossy(&stranger.stderr).into_owned();
    for flag in [
        "caller-address",
        "operator-address",
        "platform-address",
        "peer-address",
        "peer-key",
    ] {
        assert!(
            text.contains(&format!("--{flag} (BRIDGEVANE_")),
            "{flag}: {text}"
        );
    }
}

//! The active configuration: changes, concurrent changes, lost answers, outages, and starts during
//! an outage.

mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use support::*;

async fn propose_change(operators: SocketAddr, operation: &str, statement: &str) -> Answer {
    post_statement(
        operators,
        json!({ "statement": statement, "operation_id": operation }),
    )
    .await
}

async fn versions_seen_by(operators: SocketAddr) -> Vec<Value> {
    let answer = run_statement(operators, "show vms").await.json();
    let rows = answer["rows"].as_array().cloned().unwrap_or_default();
    rows.iter()
        .map(|row| field(row, "config_version"))
        .collect()
}

async fn wait_until_active_everywhere(fleet: &Fleet, version: u64) {
    let operators = fleet.daemons[0].operators;
    let count = fleet.daemons.len();
    eventually("the version is active on every daemon", || async move {
        let versions = versions_seen_by(operators).await;
        versions.len() == count && versions.iter().all(|found| *found == version)
    })
    .await;
}

/// Guards against changes that some daemons miss, and against an operation that is repeated through
/// another daemon and applied twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_activated_on_every_vm_and_applied_once_when_repeated() {
    let fleet = Fleet::start("change", 1, 4).await;
    let statement = "set class practice first_token_target_ms = 7000";
    let answer = propose_change(fleet.daemons[1].operators, "op-1", statement).await;
    assert_eq!(
        answer.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    wait_until_active_everywhere(&fleet, 2).await;
    // The same operation again, through another daemon.
    let again = propose_change(fleet.daemons[3].operators, "op-1", statement).await;
    assert_eq!(
        again.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    let same = propose_change(fleet.daemons[3].operators, "op-2", statement).await;
    assert_eq!(same.json(), json!({ "result": "no-change" }));
    let wrong = propose_change(
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
    let invalid = propose_change(
        fleet.daemons[0].operators,
        "op-4",
        "set class practice min_share = 0.9",
    )
    .await;
    assert_eq!(invalid.status, 400);
    assert!(invalid.text.contains("0.5 or less"), "{}", invalid.text);
    let history = run_statement(fleet.daemons[2].operators, "show history")
        .await
        .json();
    assert_eq!(history["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(field(&history["rows"][0], "operator"), "nadia");
}

/// Guards against a lost update: two operators edit the same section on the same base version.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_of_a_section_one_conflicts() {
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
        async move { post_statement(operators, body).await }
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
        propose_change(fleet.daemons[0].operators, "c", "set class report tier = 3"),
        propose_change(
            fleet.daemons[1].operators,
            "d",
            "set class practice tier = 4"
        ),
    );
    assert_eq!([one.status, two.status], [200, 200], "{one:?} {two:?}");
    wait_until_active_everywhere(&fleet, 4).await;
}

/// Guards against a wrong result for a change whose answer from the platform was lost.
#[tokio::test(flavor = "multi_thread")]
async fn the_result_of_a_change_is_known_although_the_platforms_answer_was_lost() {
    let fleet = Fleet::start("lost_answer", 1, 2).await;
    fleet
        .set_fault(&fleet.platform, json!({ "lose_answers": 1 }))
        .await;
    let operators = fleet.daemons[0].operators;
    let answer = propose_change(operators, "op", "set class practice tier = 5").await;
    assert_eq!(
        answer.json(),
        json!({ "result": "took-effect", "version": 2 })
    );
    wait_until_active_everywhere(&fleet, 2).await;
    fleet
        .set_fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    let answer = propose_change(operators, "op-2", "set class practice tier = 6").await;
    assert_eq!(answer.status, 503);
    assert!(
        answer.text.contains("did not take effect"),
        "{}",
        answer.text
    );
}

/// Guards against requests that fail while the platform is down, also through daemons that started
/// during the outage and got the configuration from their peers.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_and_start_during_a_platform_outage() {
    let mut fleet = Fleet::start("outage", 1, 2).await;
    let operators = fleet.daemons[0].operators;
    let answer = propose_change(operators, "op", "set class practice tier = 5").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    wait_until_active_everywhere(&fleet, 2).await;
    fleet
        .set_fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    fleet.add_daemon("vm-2");
    wait_until_ready(&fleet.daemons[2]).await;
    wait_until_active_everywhere(&fleet, 2).await;
    for daemon in &fleet.daemons {
        let answer = chat(daemon.address, "Still here. [tokens=3]", 10).await;
        assert_eq!(
            answer.streamed_text(),
            expected_text("Still here. [tokens=3]")
        );
    }
    // The first daemons are killed during the outage, so that only daemons started in it remain.
    fleet.daemons.remove(0).kill();
    fleet.daemons.remove(0).kill();
    fleet.add_daemon("vm-3");
    wait_until_ready(&fleet.daemons[1]).await;
    let answer = chat(fleet.daemons[1].address, "Still here. [tokens=3]", 10).await;
    assert_eq!(
        answer.streamed_text(),
        expected_text("Still here. [tokens=3]")
    );
    // The platform recovers with the changes that it accepted before.
    fleet.set_fault(&fleet.platform, json!({})).await;
    let operators = fleet.daemons[1].operators;
    eventually("changes are possible again", || async move {
        propose_change(operators, "op-9", "set class practice tier = 6")
            .await
            .status
            == 200
    })
    .await;
}

/// Guards against a daemon that accepts requests before it has a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_platform_and_peers_refuses_requests() {
    let fleet = Fleet::start("alone", 1, 1).await;
    fleet
        .set_fault(&fleet.platform, json!({ "is_down": true }))
        .await;
    let alone = start_daemon("vm-x", DATA_CENTRE, fleet.platform.address, &[]);
    let answer = chat(alone.address, "Too early.", 10).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-bridgevane-outcome"), "not-run");
    assert_ne!(answer.header("retry-after"), "");
}

/// Guards against an answer that looks complete although a frozen VM is missing in it.
#[tokio::test(flavor = "multi_thread")]
async fn answers_to_operators_name_the_vms_that_did_not_answer() {
    let fleet = Fleet::start("missing", 1, 3).await;
    fleet.daemons[2].signal("STOP");
    let answer = run_statement(fleet.daemons[0].operators, "show vms")
        .await
        .json();
    fleet.daemons[2].signal("CONT");
    assert_eq!(answer["answered"], json!(["vm-0", "vm-1"]));
    assert_eq!(answer["missing"], json!(["vm-2"]));
}

/// Guards against operators with a wrong token, and against daemons that start without required
/// settings or with a short peer key.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_operator_tokens_and_missing_settings_are_refused() {
    let fleet = Fleet::start("stranger", 1, 1).await;
    let headers = [
        ("authorization", "Bearer wrong-token"),
        ("content-type", "application/json"),
    ];
    let body = json!({ "statement": "show vms" }).to_string();
    let operators = fleet.daemons[0].operators;
    let answer = send(operators, http::Method::POST, "/v1/ask", &headers, body).await;
    assert_eq!(answer.status, 401);
    let refused_start = std::process::Command::new(BINARY)
        .args(["serve", "--vm-id", "vm-0", "--data-centre", DATA_CENTRE])
        .args(["--peer-key", "short"])
        .output()
        .expect("the binary runs");
    assert_eq!(refused_start.status.code(), Some(2));
    let text = String::from_utf8_lossy(&refused_start.stderr).into_owned();
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

/// Guards against an error that lists the field it rejects among the fields that are set.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_field_is_not_listed_as_set() {
    let fleet = Fleet::start("wrong_field", 1, 1).await;
    let statement = "set class practice made_up = 3";
    let answer = propose_change(fleet.daemons[0].operators, "op-1", statement).await;
    assert_eq!(answer.status, 400, "{}", answer.text);
    let (_, listed) = answer
        .text
        .split_once("the fields set now are")
        .expect("a list of fields");
    assert!(listed.contains("tier"), "{}", answer.text);
    assert!(!listed.contains("made_up"), "{}", answer.text);
}

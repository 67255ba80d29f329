//! The whole path of a request through separate processes: platform, two engines, a plain service
//! and two daemons.

mod support;

use expect_test::expect;
use std::fmt::Write as _;
use support::*;

/// Replaces the request ids and times, which differ from run to run.
fn masked(text: &str) -> String {
    let mut masked = String::new();
    for line in text.lines() {
        let mut line = line.to_owned();
        while let Some(at) = line.find("req-") {
            line.replace_range(at..at + 36, "<request>");
        }
        if let Some(at) = line.find("\"created\":") {
            let digits = line[at + 10..].find(',').unwrap_or(0);
            line.replace_range(at + 10..at + 10 + digits, "0");
        }
        writeln!(masked, "{line}").expect("writing into a text");
    }
    masked
}

/// Guards against any change of the answers that clients get for streamed, whole, plain and refused
/// calls.
#[tokio::test]
async fn answers_of_every_kind_of_call_are_as_recorded() {
    let engines = [start_standin(&["engine"]), start_standin(&["engine"])];
    let plain = start_standin(&["plain"]);
    let text = configuration(
        "rose-hill",
        &[engines[0].address, engines[1].address],
        &[plain.address],
    );
    let file = configuration_file("thin_path", &text);
    let platform = start_standin(&["platform", "--config", file.to_str().expect("a text path")]);
    let daemons = [
        start_daemon("vm-1", "rose-hill", platform.address, &[]),
        start_daemon("vm-2", "rose-hill", platform.address, &[]),
    ];
    let mut session = String::new();
    for daemon in &daemons {
        wait_until_ready(daemon).await;
    }

    let answer = chat(
        daemons[0].address,
        "Draft the report of Anaïs. [tokens=5]",
        64,
    )
    .await;
    writeln!(session, "-- streamed, through vm-1: {}", answer.status).expect("text");
    session.push_str(&masked(&answer.text));

    let body = serde_json::json!({ "model": "tutor", "prompt": "Three scales. [tokens=9]", "max_tokens": 3 });
    let answer = post(daemons[1].address, "/v1/completions", body).await;
    writeln!(session, "-- whole, through vm-2: {}", answer.status).expect("text");
    session.push_str(&masked(&answer.text));

    let body = serde_json::json!({ "pupil": "Anaïs" });
    let answer = post(daemons[1].address, "/svc/desk/bookings/12", body).await;
    writeln!(
        session,
        "-- plain: {} {}",
        answer.status,
        answer.header("x-bridgevane-outcome")
    )
    .expect("text");
    session.push_str(&masked(&answer.text));

    let body = serde_json::json!({ "model": "unknown", "prompt": "x" });
    let answer = post(daemons[0].address, "/v1/completions", body).await;
    writeln!(
        session,
        "-- unknown model: {} {}",
        answer.status,
        answer.header("x-bridgevane-outcome")
    )
    .expect("text");
    session.push_str(&masked(&answer.text));

    expect![[r#"
        -- streamed, through vm-1: 200
        data: {"choices":[{"delta":{"content":"bow0-cb83 ","role":"assistant"},"finish_reason":null,"index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{"content":"rhythm1-cb83 "},"finish_reason":null,"index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{"content":"valve2-cb83 "},"finish_reason":null,"index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{"content":"hitch3-cb83 "},"finish_reason":null,"index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{"content":"axle4-cb83 "},"finish_reason":null,"index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{},"finish_reason":"stop","index":0}],"created":0,"id":"<request>","model":"tutor","object":"chat.completion.chunk"}

        data: [DONE]

        -- whole, through vm-2: 200
        {"choices":[{"finish_reason":"length","index":0,"text":"axle0-4409 pupil1-4409 field2-4409 "}],"created":0,"id":"<request>","model":"tutor","object":"text_completion","usage":{"completion_tokens":3,"prompt_tokens":6,"total_tokens":9}}
        -- plain: 200 ran
        {"bytes":18,"path":"/bookings/12","run":1}
        -- unknown model: 404 not-run
        {"error":{"code":"model_not_found","message":"model_not_found: the request was not run","outcome":"not-run","param":null,"request_id":"<request>","type":"invalid_request_error"}}
    "#]].assert_eq(&session);
}

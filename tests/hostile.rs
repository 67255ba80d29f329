//! Invalid and hostile input: every request gets a typed answer, no data of one caller reaches
//! another, and other callers are still served.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes as they are and reads until the daemon closes the connection or 3 s have passed.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The daemon may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(3), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n{extra}\r\n"
    )
}

async fn assert_serves(fleet: &Fleet) {
    let prompt = "Still well? [tokens=3]";
    let answer = chat(fleet.daemons[0].address, prompt, 10).await;
    assert_eq!(answer.streamed_text(), expected_text(prompt));
}

type Headers<'a> = Vec<(&'a str, &'a str)>;
/// Name, path, headers, body, status, code.
type BadCase<'a> = (&'a str, &'a str, Headers<'a>, &'a str, u16, &'a str);

/// Guards against an invalid request that gets an untyped error, or one that doesn't say that it
/// wasn't run.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_typed_errors() {
    let fleet = Fleet::start("bad_requests", 1, 1).await;
    let address = fleet.daemons[0].address;
    let bearer = format!("Bearer {CUSTOMER_KEY}");
    let good = bearer.as_str();
    let chat_path = "/v1/chat/completions";
    let huge = "x".repeat(5 << 20);
    let unknown_kind = [("authorization", good), ("x-bridgevane-kind", "nonsense")];
    let table: Vec<BadCase<'_>> = vec![
        ("no key", chat_path, vec![], "{}", 401, "invalid_api_key"),
        (
            "wrong key",
            chat_path,
            vec![("authorization", "Bearer nobody")],
            "{}",
            401,
            "invalid_api_key",
        ),
        (
            "not a bearer",
            chat_path,
            vec![("authorization", "Basic eDp5")],
            "{}",
            401,
            "invalid_api_key",
        ),
        (
            "not JSON",
            chat_path,
            vec![("authorization", good)],
            "{\"model\": ",
            400,
            "invalid_body",
        ),
        (
            "no messages",
            chat_path,
            vec![("authorization", good)],
            "{\"model\":\"tutor\"}",
            400,
            "invalid_body",
        ),
        (
            "wrong types",
            chat_path,
            vec![("authorization", good)],
            "{\"model\":5,\"messages\":3}",
            400,
            "invalid_body",
        ),
        (
            "no prompt",
            "/v1/completions",
            vec![("authorization", good)],
            "{\"model\":\"tutor\"}",
            400,
            "invalid_body",
        ),
        (
            "unknown model",
            "/v1/completions",
            vec![("authorization", good)],
            "{\"model\":\"x\",\"prompt\":\"y\"}",
            404,
            "model_not_found",
        ),
        (
            "unknown kind",
            chat_path,
            unknown_kind.to_vec(),
            "{}",
            403,
            "kind_not_allowed",
        ),
        (
            "huge body",
            chat_path,
            vec![("authorization", good)],
            &huge,
            413,
            "body_too_large",
        ),
        (
            "unknown service",
            "/svc/nobody/x",
            vec![("authorization", good)],
            "",
            404,
            "service_not_found",
        ),
        (
            "a model pool as a plain service",
            "/svc/tutor/x",
            vec![("authorization", good)],
            "",
            404,
            "service_not_found",
        ),
        (
            "unknown route",
            "/svc/desk/secrets",
            vec![("authorization", good)],
            "",
            404,
            "route_not_found",
        ),
    ];
    for (name, path, headers, body, status, code) in table {
        let answer = send(address, http::Method::POST, path, &headers, body.to_owned()).await;
        assert_eq!(answer.status, status, "{name}: {}", answer.text);
        let error = &answer.json()["error"];
        assert_eq!(error["code"], code, "{name}");
        assert_eq!(error["outcome"], "not-run", "{name}");
        assert_eq!(answer.header("x-bridgevane-outcome"), "not-run", "{name}");
        assert!(answer.header("x-request-id").starts_with("req-"), "{name}");
    }
    // Unknown fields are no error: client libraries send many.
    let body = serde_json::json!({
        "model": "tutor", "prompt": "p [tokens=1]", "max_tokens": 4, "temperature": 0.3,
        "seed": 7, "made_up": { "deep": [1, 2, { "x": null }] },
    });
    assert_eq!(post(address, "/v1/completions", body).await.status, 200);
    assert_serves(&fleet).await;
}

/// Guards against parts of a message that are lost, or that change the prompt, because of what stands between
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn the_text_of_a_message_is_that_of_its_parts() {
    let fleet = Fleet::start("parts", 1, 1).await;
    let address = fleet.daemons[0].address;
    let contents = [
        serde_json::json!("one two [tokens=4]"),
        serde_json::json!(["one ", "two ", "[tokens=4]"]),
        serde_json::json!([
            { "type": "text", "text": "one " }, { "type": "image_url", "image_url": { "url": "x" } },
            [["two "], 5, null, true, -1, 0.5], { "text": ["[tokens=4]"], "cache": { "text": "no" } },
        ]),
    ];
    let mut answers = Vec::new();
    for content in contents {
        let messages = [
            serde_json::json!({ "role": "system", "content": null }),
            serde_json::json!({ "role": "tool", "content": { "text": "not a part" } }),
            serde_json::json!({ "role": "user", "content": content }),
        ];
        let body = serde_json::json!({ "model": "tutor", "max_tokens": 9, "messages": messages });
        let answer = post(address, "/v1/chat/completions", body).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        answers.push(answer.json()["choices"][0]["message"]["content"].clone());
    }
    assert!(
        answers.iter().all(|answer| *answer == answers[0]),
        "{answers:?}"
    );
}

/// Guards against request smuggling, and against answers to pipelined requests in the wrong order.
#[tokio::test(flavor = "multi_thread")]
async fn smuggled_requests_are_not_run_and_pipelined_ones_are_answered_in_order() {
    let fleet = Fleet::start("smuggled", 1, 1).await;
    let address = fleet.daemons[0].address;
    // Two contradicting lengths: the bytes after the head must not be run as a second request with
    // the key that they contain.
    let smuggled = format!(
        "{}0\r\n\r\nGET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\r\n",
        head("content-length: 5\r\ntransfer-encoding: chunked\r\n"),
    );
    let answer = send_raw(address, smuggled.as_bytes()).await;
    assert!(!answer.contains("\"object\":\"list\""), "{answer}");
    let twice = head("content-length: 5\r\ncontent-length: 6\r\n") + "hello!";
    let answer = send_raw(address, twice.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let long_head = head(&format!("x-long: {}\r\n", "y".repeat(200 << 10)));
    let answer = send_raw(address, long_head.as_bytes()).await;
    assert!(
        answer.starts_with("HTTP/1.1 431"),
        "{}",
        &answer[..answer.len().min(200)]
    );
    let garbage = send_raw(
        address,
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 not http at all\r\n\r\n",
    )
    .await;
    assert!(
        garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"),
        "{garbage}"
    );
    // Pipelined requests are answered in their order, each with its own answer.
    let one = |prompt: &str| {
        let body =
            serde_json::json!({ "model": "tutor", "prompt": prompt, "max_tokens": 9 }).to_string();
        format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let pipelined = one("first [tokens=2]") + &one("second [tokens=1]");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(pipelined.as_bytes()).await.expect("sent");
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while text.matches("finish_reason").count() < 2 {
        let count = stream.read(&mut buffer).await.expect("an answer");
        assert_ne!(count, 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let first = bridgevane_standins::token_text("first [tokens=2]", 0);
    let second = bridgevane_standins::token_text("second [tokens=1]", 0);
    let offsets = (text.find(first.trim()), text.find(second.trim()));
    assert!(
        matches!(offsets, (Some(one), Some(two)) if one < two),
        "{text}"
    );
    assert_serves(&fleet).await;
}

/// Guards against requests that keep running for a disconnected caller, and against slow senders
/// that block other callers.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_and_slow_callers_hold_no_engine() {
    let fleet = Fleet::start("vanishing", 1, 1).await;
    let address = fleet.daemons[0].address;
    let body = serde_json::json!({
        "model": "tutor", "stream": true, "max_tokens": 100_000,
        "prompt": "long [tokens=100000]",
    })
    .to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut disconnected = TcpStream::connect(address).await.expect("a connection");
    disconnected
        .write_all(request.as_bytes())
        .await
        .expect("sent");
    let mut buffer = [0; 256];
    assert_ne!(
        disconnected.read(&mut buffer).await.expect("a first piece"),
        0
    );
    drop(disconnected);
    let operators = fleet.daemons[0].operators;
    eventually("its request has ended", || async move {
        let rows = run_statement(operators, "show requests").await.json()["rows"].clone();
        rows.as_array().is_some_and(Vec::is_empty)
    })
    .await;
    // Callers that never complete their body don't delay others.
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let partial_request = head("content-length: 1000\r\n") + "{\"model\":";
        stream
            .write_all(partial_request.as_bytes())
            .await
            .expect("sent");
        slow.push(stream);
    }
    assert_serves(&fleet).await;
    // A caller with a complete request and an unread answer doesn't disturb others.
    let mut half = TcpStream::connect(address).await.expect("a connection");
    let body = serde_json::json!({ "model": "tutor", "prompt": "half [tokens=2]" }).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    half.write_all(request.as_bytes()).await.expect("sent");
    assert_serves(&fleet).await;
    drop(slow);
}

/// Guards against a daemon that fails or forgets its peers after invalid bytes on its peer address.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_bytes_on_the_peer_address_do_no_harm() {
    let fleet = Fleet::start("peer_strangers", 1, 2).await;
    let peers = fleet.daemons[0].peers;
    let oversized = [0xff, 0xff, 0xff, 0xff, 1, 2, 3];
    let inputs: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &oversized,
        &[0, 0, 0, 1, 0x0a],
        &[0; 64],
    ];
    for input in inputs {
        send_raw(peers, input).await;
    }
    fleet.wait_for_members_everywhere(2).await;
    assert_serves(&fleet).await;
}

//! The demo's load: seeded arrivals in an open loop over the real HTTP path.

use super::system::DemoSystem;
use super::{DemoArguments, User};
use bridgevane_adapters::HttpClient;
use bridgevane_standins::{answer_length, token_text};
use bridgevane_types::ClassName;
use http_body_util::{BodyExt, Full};
use indicatif::ProgressBar;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// One kind of request in the mixed load.
struct LoadPart {
    kind: &'static str,
    customers: &'static [&'static str],
    /// The share of all requests.
    share: f64,
    /// The minimum and maximum number of characters of a prompt.
    prompt_chars: (usize, usize),
    /// The length of the prefix that requests of one subject share, in characters.
    shared_chars: usize,
    median_tokens: f64,
    sigma: f64,
}

const RAVATON: [LoadPart; 3] = [
    LoadPart {
        kind: "question",
        customers: &["port-louis-school", "curepipe-school", "rose-hill-school"],
        share: 0.5,
        prompt_chars: (800, 2_400),
        shared_chars: 0,
        median_tokens: 60.0,
        sigma: 0.7,
    },
    LoadPart {
        kind: "report",
        customers: &["reports-desk", "port-louis-school"],
        share: 0.2,
        prompt_chars: (8_000, 24_000),
        shared_chars: 7_680,
        median_tokens: 220.0,
        sigma: 0.9,
    },
    LoadPart {
        kind: "plan",
        customers: &["grand-bay-studio", "mahebourg-studio", "flacq-studio"],
        share: 0.3,
        prompt_chars: (800, 2_400),
        shared_chars: 0,
        median_tokens: 150.0,
        sigma: 0.8,
    },
];

const SOLCATA: [LoadPart; 3] = [
    LoadPart {
        kind: "fault",
        customers: &["lodi-workshop", "piacenza-workshop"],
        share: 0.25,
        prompt_chars: (1_600, 4_800),
        shared_chars: 1_280,
        median_tokens: 90.0,
        sigma: 0.7,
    },
    LoadPart {
        kind: "query",
        customers: &[
            "cremona-dealer",
            "mantova-dealer",
            "parma-dealer",
            "head-office",
        ],
        share: 0.45,
        prompt_chars: (1_600, 4_800),
        shared_chars: 1_280,
        median_tokens: 90.0,
        sigma: 0.7,
    },
    LoadPart {
        kind: "note",
        customers: &["pavia-agronomist", "ferrara-agronomist"],
        share: 0.3,
        prompt_chars: (1_600, 4_800),
        shared_chars: 1_280,
        median_tokens: 140.0,
        sigma: 0.9,
    },
];

/// The number of plain calls per model request.
const PLAIN_RATIO: f64 = 0.5;
/// The duration of a step of a stand-in engine whose slots are all in use.
const FULL_STEP_MS: f64 = 32.8;
/// The number of prompt characters that a stand-in engine processes per millisecond.
const PREFILL_CHARS_PER_MS: f64 = 32.0;
/// The maximum length of an answer.
const MAX_TOKENS: u64 = 512;

/// The result of one request from its caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerResult {
    /// The answer is complete.
    Complete {
        first_token_ms: u64,
        total_ms: u64,
        tokens: u64,
    },
    /// The request was refused before any part of an answer arrived.
    Refused,
    /// The answer broke off.
    Cut,
    /// The answer isn't the one to this request.
    Wrong,
}

/// A finished request.
#[derive(Clone, Debug)]
pub(super) struct FinishedCall {
    pub(super) class: ClassName,
    pub(super) result: CallerResult,
}

/// Sends the load and returns the result of each request.
pub(super) async fn run(
    system: &DemoSystem,
    arguments: &DemoArguments,
    bar: &ProgressBar,
) -> Vec<FinishedCall> {
    let parts = match arguments.user {
        User::Ravaton => &RAVATON,
        User::Solcata => &SOLCATA,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(arguments.seed);
    let service_ms: f64 = parts
        .iter()
        .map(|part| part.share * part.mean_service_ms())
        .sum();
    let rate_per_ms = arguments.load * system.slots() / service_ms;
    let client = HttpClient::new(system.context.config.caller_address);
    let mut calls = JoinSet::new();
    let started = Instant::now();
    let duration_ms = arguments.seconds as f64 * 1000.0;
    let mut now_ms = 0.0;
    let mut count = 0u64;
    loop {
        now_ms += -(1.0 - rng.random::<f64>()).ln() / (rate_per_ms * (1.0 + PLAIN_RATIO));
        if now_ms >= duration_ms {
            break;
        }
        let due = started + Duration::from_micros((now_ms * 1000.0) as u64);
        tokio::time::sleep_until(due.into()).await;
        bar.set_position(now_ms as u64 / 1000);
        bar.set_message(format!("{count} requests"));
        count += 1;
        if rng.random_bool(PLAIN_RATIO / (1.0 + PLAIN_RATIO)) {
            calls.spawn(plain_call(
                client.clone(),
                new_plain_call(system, &mut rng, count),
            ));
        } else {
            let part = pick(parts, &mut rng);
            calls.spawn(model_call(client.clone(), part.call(system, &mut rng)));
        }
    }
    bar.set_message("waiting for the last answers");
    let mut finished = Vec::new();
    while let Some(call) = calls.join_next().await {
        // A call that panics is a bug in the demo itself.
        finished.extend(call.ok());
    }
    finished
}

fn pick<'a>(parts: &'a [LoadPart], rng: &mut Pcg64Mcg) -> &'a LoadPart {
    let mut at = rng.random::<f64>();
    for part in parts {
        if at < part.share {
            return part;
        }
        at -= part.share;
    }
    &parts[parts.len() - 1]
}

struct DemoModelCall {
    class: ClassName,
    kind: &'static str,
    key: String,
    body: Value,
    prompt: String,
}

impl LoadPart {
    fn mean_service_ms(&self) -> f64 {
        let tokens = self.median_tokens * (self.sigma * self.sigma / 2.0).exp();
        let chars = (self.prompt_chars.0 + self.prompt_chars.1) as f64 / 2.0;
        tokens * FULL_STEP_MS + chars / PREFILL_CHARS_PER_MS
    }

    fn call(&self, system: &DemoSystem, rng: &mut Pcg64Mcg) -> DemoModelCall {
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let tokens = (self.median_tokens * (self.sigma * normal).exp()) as u64;
        let tokens = tokens.clamp(1, MAX_TOKENS);
        let prompt = self.prompt(rng, tokens);
        let customer = self.customers[rng.random_range(0..self.customers.len())];
        let kind = bridgevane_types::KindName::from(self.kind);
        let class = system.document.kind[&kind].class.clone();
        let body = json!({
            "model": system.model,
            "stream": true,
            "max_tokens": MAX_TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        DemoModelCall {
            class,
            kind: self.kind,
            key: system.key_of(customer),
            body,
            prompt: format!("user: {prompt}\n"),
        }
    }

    /// Returns a prompt that starts with its subject's shared prefix and determines the answer's
    /// length.
    fn prompt(&self, rng: &mut Pcg64Mcg, tokens: u64) -> String {
        let subject = rng.random_range(0..40u32);
        let chars = rng.random_range(self.prompt_chars.0..=self.prompt_chars.1);
        let mut prompt = String::with_capacity(chars + 64);
        while prompt.len() < self.shared_chars {
            prompt.push_str(&format!("lesson {subject}.{} ", prompt.len()));
        }
        let unique = rng.random::<u64>();
        while prompt.len() < chars {
            prompt.push_str(&format!("note {unique:x}.{} ", prompt.len()));
        }
        prompt.push_str(&format!("[tokens={tokens}]"));
        prompt
    }
}

async fn model_call(client: HttpClient, call: DemoModelCall) -> FinishedCall {
    let result = stream(&client, &call).await.unwrap_or(CallerResult::Cut);
    FinishedCall {
        class: call.class,
        result,
    }
}

/// Sends a call and reads its stream. Returns `None` if it broke off.
async fn stream(client: &HttpClient, call: &DemoModelCall) -> Option<CallerResult> {
    let request = client
        .request(http::Method::POST, "/v1/chat/completions")
        .header("authorization", format!("Bearer {}", call.key))
        .header("x-bridgevane-kind", call.kind)
        .header("content-type", "application/json")
        .body(Full::new(call.body.to_string().into()))
        .ok()?;
    let started = Instant::now();
    let response = client.send(request).await.ok()?;
    if response.status() != http::StatusCode::OK {
        return Some(CallerResult::Refused);
    }
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    let mut first_token_ms = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        reader.push(&data);
        if reader.tokens > 0 {
            first_token_ms.get_or_insert(started.elapsed().as_millis() as u64);
        }
    }
    if !reader.is_done {
        return None;
    }
    let length = answer_length(&call.prompt);
    let expected: String = (0..length).map(|at| token_text(&call.prompt, at)).collect();
    if reader.text != expected {
        return Some(CallerResult::Wrong);
    }
    let total_ms = started.elapsed().as_millis() as u64;
    Some(CallerResult::Complete {
        first_token_ms: first_token_ms.unwrap_or(total_ms),
        total_ms,
        tokens: reader.tokens,
    })
}

/// Reads server-sent events.
#[derive(Default)]
struct EventReader {
    buffer: Vec<u8>,
    text: String,
    tokens: u64,
    is_done: bool,
}

impl EventReader {
    fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(event) = line.strip_prefix(b"data: ") {
                self.on_event(event.trim_ascii_end());
            }
        }
    }

    fn on_event(&mut self, event: &[u8]) {
        if event == b"[DONE]" {
            self.is_done = true;
            return;
        }
        let piece: Value = serde_json::from_slice(event).unwrap_or_default();
        if let Some(text) = piece["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.tokens += 1;
        }
    }
}

struct DemoPlainCall {
    class: ClassName,
    path: String,
    key: String,
    /// The idempotency key of a call that may not be repeated.
    idempotency_key: Option<String>,
}

fn new_plain_call(system: &DemoSystem, rng: &mut Pcg64Mcg, count: u64) -> DemoPlainCall {
    let service = &system.document.service[&system.plain_service];
    let route = &service.route[rng.random_range(0..service.route.len())];
    DemoPlainCall {
        class: route.class.clone(),
        path: format!("/svc/{}{}/{count}", system.plain_service, route.prefix),
        key: system.any_key(),
        idempotency_key: (!route.repeatable).then(|| format!("demo-{count}")),
    }
}

/// Sends a plain call twice, like a caller that didn't get the first answer; it must run only once.
async fn plain_call(client: HttpClient, call: DemoPlainCall) -> FinishedCall {
    let mut result = CallerResult::Cut;
    for attempt in 0..2 {
        let started = Instant::now();
        let mut request = client
            .request(http::Method::POST, &call.path)
            .header("authorization", format!("Bearer {}", call.key));
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new("{}".into()));
        let Ok(request) = request else { break };
        let Ok(response) = client.send(request).await else {
            break;
        };
        let elapsed_ms = started.elapsed().as_millis() as u64;
        if attempt == 0 {
            result = match response.status().is_success() {
                true => CallerResult::Complete {
                    first_token_ms: elapsed_ms,
                    total_ms: elapsed_ms,
                    tokens: 1,
                },
                false => CallerResult::Refused,
            };
        }
    }
    FinishedCall {
        class: call.class,
        result,
    }
}

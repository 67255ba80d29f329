//! The plain service stand-in, which counts how often each call ran.

use crate::fault::StandinFault;
use axum::body::Bytes;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{any, post};
use axum::{Json, Router};
use bridgevane_adapters::LoadReport;
use bridgevane_types::Slots;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct PlainState {
    runs_of_key: BTreeMap<String, u64>,
    answers: BTreeMap<String, u64>,
    runs: u64,
    running: u32,
    reports: u64,
    fault: StandinFault,
}

/// The plain service stand-in; clones share one state.
#[derive(Clone, Default)]
pub struct PlainStandin {
    plain: Arc<Mutex<PlainState>>,
    deduplicates: bool,
}

impl PlainStandin {
    /// Creates a service; with `deduplicates` it runs a call of a known idempotency key only once.
    pub fn new(deduplicates: bool) -> Self {
        Self {
            plain: Arc::default(),
            deduplicates,
        }
    }

    /// Returns the stand-in's routes.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/service/load", post(load))
            .route("/standin/fault", post(set_fault))
            .route("/standin/runs", post(read_runs))
            .fallback(any(call))
            .with_state(self.clone())
    }

    /// Returns how often the calls of each idempotency key ran.
    pub fn runs_of_key(&self) -> BTreeMap<String, u64> {
        self.lock().runs_of_key.clone()
    }

    /// Sets the faults; replaces those set before.
    pub fn set_fault(&self, fault: StandinFault) {
        self.lock().fault = fault;
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.plain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a call; returns the run's number and whether its answer is lost.
    fn run(&self, key: Option<&str>) -> (u64, bool) {
        let mut plain = self.lock();
        let known_answer = key.and_then(|key| plain.answers.get(key).copied());
        if let (true, Some(answer)) = (self.deduplicates, known_answer) {
            return (answer, false);
        }
        plain.runs += 1;
        let run = plain.runs;
        if let Some(key) = key {
            *plain.runs_of_key.entry(key.to_owned()).or_default() += 1;
            plain.answers.insert(key.to_owned(), run);
        }
        (
            run,
            StandinFault::consume_one(&mut plain.fault.lose_answers),
        )
    }
}

async fn call(State(standin): State<PlainStandin>, request: Request) -> Response {
    let fault = standin.lock().fault;
    if fault.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let key = idempotency_key(&request);
    let path = request.uri().path().to_owned();
    let body: Bytes = match axum::body::to_bytes(request.into_body(), 1 << 20).await {
        Ok(body) => body,
        Err(_) => return StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    };
    let (run, is_answer_lost) = standin.run(key.as_deref());
    standin.lock().running += 1;
    if fault.delay_ms.0 > 0 {
        tokio::time::sleep(fault.delay_ms.as_std()).await;
    }
    standin.lock().running -= 1;
    if is_answer_lost {
        return cut_answer();
    }
    Json(json!({ "path": path, "run": run, "bytes": body.len() })).into_response()
}

async fn load(State(standin): State<PlainStandin>) -> Result<Json<LoadReport>, StatusCode> {
    let mut plain = standin.lock();
    if plain.fault.is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    plain.reports += 1;
    Ok(Json(LoadReport {
        sequence: plain.reports,
        running: Slots(plain.running),
        ..LoadReport::default()
    }))
}

fn idempotency_key(request: &Request) -> Option<String> {
    let value = request.headers().get("idempotency-key")?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns an answer whose connection breaks before its end.
fn cut_answer() -> Response {
    let cut = futures_util::stream::once(async {
        Err::<Bytes, _>(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
    });
    axum::body::Body::from_stream(cut).into_response()
}

async fn set_fault(State(standin): State<PlainStandin>, Json(fault): Json<StandinFault>) {
    standin.set_fault(fault);
}

async fn read_runs(State(standin): State<PlainStandin>) -> Json<BTreeMap<String, u64>> {
    Json(standin.runs_of_key())
}

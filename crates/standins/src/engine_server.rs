//! The engine stand-in: [`EngineModel`] driven by the clock, behind HTTP.

use crate::answer_text::{answer_length, prompt_blocks, prompt_tokens, token_text};
use crate::engine_model::{EngineModel, EngineSpec, Job, ModelEvent};
use crate::fault::StandinFault;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bridgevane_adapters::{
    CacheEvent, EndReason, FencedOrder, GenerateCall, LoadReport, OrderReply, Piece, PieceEvent,
};
use bridgevane_types::{AttemptNumber, DurationMs, FenceToken, RequestId, Tokens};
use derive_more::{Display, Error};
use serde::Deserialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Duration, Instant};

/// The exit code of a process that ended on a prompt with the text of `ends_on`.
const CRASH_EXIT_CODE: i32 = 70;

/// The settings of an engine stand-in.
#[derive(Clone, Debug, Default)]
pub struct EngineStandinSettings {
    /// The engine's speed and size.
    pub spec: EngineSpec,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
    /// The text that crashes the process when a prompt contains it.
    pub ends_on: Option<String>,
}

type Key = (RequestId, AttemptNumber);
type PieceSender = mpsc::UnboundedSender<Result<Bytes, BrokenStream>>;

/// The error with which a fault breaks a stream.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
struct BrokenStream;

struct Stream {
    prompt: String,
    sender: PieceSender,
    cut_after: Option<u64>,
    /// Whether the next two pieces are still to be swapped.
    is_swapping: bool,
    /// The first piece of a swap, sent after the second one.
    held_piece: Option<Bytes>,
}

impl Stream {
    /// Sends a piece, or holds it until the next one is sent; returns false if the client is gone.
    fn send(&mut self, piece: Bytes) -> bool {
        if std::mem::take(&mut self.is_swapping) {
            self.held_piece = Some(piece);
            return true;
        }
        let is_delivered = self.sender.send(Ok(piece)).is_ok();
        if let Some(held_piece) = self.held_piece.take() {
            let _ = self.sender.send(Ok(held_piece));
        }
        is_delivered
    }
}

struct Engine {
    model: EngineModel,
    streams: HashMap<Key, Stream>,
    reports: VecDeque<(Instant, LoadReport)>,
    report_sequence: u64,
    fault: StandinFault,
    highest_fence: FenceToken,
    highest_generation: u64,
    orders: Vec<FencedOrder>,
}

/// The engine stand-in; clones share one engine.
#[derive(Clone)]
pub struct EngineStandin {
    engine: Arc<Mutex<Engine>>,
    wake: Arc<Notify>,
    started: Instant,
    settings: EngineStandinSettings,
}

/// The number of past load reports kept; `load_lag_ms` serves old ones.
const MAX_LOAD_REPORTS: usize = 512;
/// The interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct CancelBody {
    request: String,
    attempt: AttemptNumber,
}

#[derive(Deserialize)]
struct CacheEventsBody {
    sequence: u64,
}

impl EngineStandin {
    /// Creates an idle engine; spawns tasks for its steps and its load reports.
    pub fn new(settings: EngineStandinSettings) -> Self {
        let engine = Engine {
            model: EngineModel::new(settings.spec),
            streams: HashMap::new(),
            reports: VecDeque::new(),
            report_sequence: 0,
            fault: StandinFault::default(),
            highest_fence: FenceToken(0),
            highest_generation: 0,
            orders: Vec::new(),
        };
        let standin = Self {
            engine: Arc::new(Mutex::new(engine)),
            wake: Arc::new(Notify::new()),
            started: Instant::now(),
            settings,
        };
        tokio::spawn(standin.clone().run_steps());
        tokio::spawn(standin.clone().make_reports());
        standin
    }

    /// Returns the stand-in's routes.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/engine/generate", post(generate))
            .route("/engine/cancel", post(cancel))
            .route("/engine/load", post(load))
            .route("/engine/cache-events", post(cache_events))
            .route("/engine/order", post(order))
            .route("/standin/fault", post(set_fault))
            .route("/standin/orders", post(read_orders))
            .with_state(self.clone())
    }

    /// Sets the faults, replacing those set before; a crash breaks all streams.
    pub fn set_fault(&self, fault: StandinFault) {
        let mut engine = self.lock();
        engine.fault = fault;
        let slowdown = if fault.slowdown > 0.0 {
            fault.slowdown
        } else {
            1.0
        };
        engine.model.set_slowdown(slowdown);
        if fault.crash {
            engine.model.clear();
            for (_, stream) in engine.streams.drain() {
                let _ = stream.sender.send(Err(BrokenStream));
            }
        }
    }

    /// Returns the number of answer tokens produced so far.
    pub fn decoded_tokens(&self) -> Tokens {
        self.lock().model.decoded_tokens()
    }

    /// Returns the number of prompt tokens processed so far.
    pub fn prefilled_tokens(&self) -> Tokens {
        self.lock().model.prefilled_tokens()
    }

    /// Returns the orders that it accepted.
    pub fn orders(&self) -> Vec<FencedOrder> {
        self.lock().orders.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Runs the model's steps at their times and delivers their pieces.
    async fn run_steps(self) {
        let mut events = Vec::new();
        loop {
            let step_ends_us = self.lock().model.step_ends_us();
            let Some(step_ends_us) = step_ends_us else {
                self.wake.notified().await;
                continue;
            };
            let deadline = self.started + Duration::from_micros(step_ends_us);
            if deadline > Instant::now() {
                tokio::time::sleep_until(deadline).await;
            } else {
                // The timer's resolution is a millisecond; a sleep would delay shorter steps.
                tokio::task::yield_now().await;
            }
            let mut engine = self.lock();
            if engine.model.step_ends_us() != Some(step_ends_us) {
                continue;
            }
            events.clear();
            engine.model.step(step_ends_us, &mut events);
            engine.deliver(&events);
        }
    }

    /// Records a load report every [`REPORT_INTERVAL`].
    async fn make_reports(self) {
        loop {
            {
                let mut engine = self.lock();
                engine.report_sequence += 1;
                let mut report = engine.model.load();
                report.sequence = engine.report_sequence;
                engine.reports.push_back((Instant::now(), report));
                if engine.reports.len() > MAX_LOAD_REPORTS {
                    engine.reports.pop_front();
                }
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Delays a call as the fault says; refuses it while the engine is down or has crashed.
    async fn admit(&self) -> Result<(), StatusCode> {
        let fault = self.lock().fault;
        if fault.is_down || fault.crash {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if fault.delay_ms.0 > 0 {
            tokio::time::sleep(fault.delay_ms.as_std()).await;
        }
        Ok(())
    }
}

impl Engine {
    /// Sends the pieces of a step to their streams; cancels attempts whose stream broke.
    fn deliver(&mut self, events: &[ModelEvent]) {
        for event in events {
            let (key, offset) = match event {
                ModelEvent::Token {
                    request,
                    attempt,
                    offset,
                }
                | ModelEvent::End {
                    request,
                    attempt,
                    offset,
                    ..
                } => ((*request, *attempt), *offset),
            };
            let Some(stream) = self.streams.get_mut(&key) else {
                continue;
            };
            let content = match event {
                ModelEvent::Token { .. } => PieceEvent::Token(token_text(&stream.prompt, offset)),
                ModelEvent::End { reason, .. } => PieceEvent::End(*reason),
            };
            let is_end = matches!(content, PieceEvent::End(_));
            let is_cut = stream.cut_after.is_some_and(|limit| offset >= limit);
            let is_delivered = if is_cut {
                stream.sender.send(Err(BrokenStream)).is_ok()
            } else {
                stream.send(piece_line(key, offset, content))
            };
            if is_end || is_cut {
                self.streams.remove(&key);
            }
            if is_cut || !is_delivered {
                self.streams.remove(&key);
                self.model.cancel(key.0, key.1);
            }
        }
    }

    /// Sends the faulty pieces with which a stream begins; returns the offset at which it breaks.
    fn inject_stream_faults(
        &mut self,
        key: Key,
        call: &GenerateCall,
        sender: &PieceSender,
    ) -> Option<u64> {
        let first = PieceEvent::Token(token_text(&call.prompt, call.resume_from.0));
        if StandinFault::consume_one(&mut self.fault.cross_pieces) {
            let other = (RequestId(key.0.0 ^ 1), key.1);
            let _ = sender.send(Ok(piece_line(other, 0, first.clone())));
        }
        if StandinFault::consume_one(&mut self.fault.duplicate_pieces) {
            let _ = sender.send(Ok(piece_line(key, call.resume_from.0, first)));
        }
        self.fault.cut_after_tokens.take()
    }
}

/// Encodes a piece as a line of the answer.
fn piece_line(key: Key, offset: u64, event: PieceEvent) -> Bytes {
    let piece = Piece {
        request: key.0,
        attempt: key.1,
        offset: Tokens(offset),
        event,
    };
    let mut text = serde_json::to_vec(&piece).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

/// Converts a call to a job of the model.
fn job_of_call(call: &GenerateCall) -> Job {
    let length = answer_length(&call.prompt);
    let is_limited = length > call.max_tokens.0;
    Job {
        request: call.request,
        attempt: call.attempt,
        priority: call.priority,
        blocks: prompt_blocks(&call.prompt),
        prompt_tokens: prompt_tokens(&call.prompt),
        resume_from: call.resume_from.0,
        total_tokens: length.min(call.max_tokens.0),
        end: if is_limited {
            EndReason::Length
        } else {
            EndReason::Stop
        },
    }
}

async fn generate(
    State(standin): State<EngineStandin>,
    Json(call): Json<GenerateCall>,
) -> Result<Response, StatusCode> {
    standin.admit().await?;
    let ends_on = standin.settings.ends_on.as_ref();
    if ends_on.is_some_and(|text| call.prompt.contains(text)) {
        std::process::exit(CRASH_EXIT_CODE);
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    {
        let mut engine = standin.lock();
        let key = (call.request, call.attempt);
        let cut_after = engine.inject_stream_faults(key, &call, &sender);
        let now_us = standin.now_us();
        engine.model.submit(now_us, job_of_call(&call));
        let prompt = call.prompt;
        let stream = Stream {
            prompt,
            sender,
            cut_after,
            is_swapping: StandinFault::consume_one(&mut engine.fault.swap_pieces),
            held_piece: None,
        };
        engine.streams.insert(key, stream);
    }
    standin.wake.notify_one();
    let pieces = tokio_stream::wrappers::UnboundedReceiverStream::new(receiver);
    Ok(Body::from_stream(pieces).into_response())
}

async fn cancel(
    State(standin): State<EngineStandin>,
    Json(body): Json<CancelBody>,
) -> Result<Json<()>, StatusCode> {
    standin.admit().await?;
    let request: RequestId = body.request.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let mut engine = standin.lock();
    engine.model.cancel(request, body.attempt);
    engine.streams.remove(&(request, body.attempt));
    Ok(Json(()))
}

async fn load(State(standin): State<EngineStandin>) -> Result<Json<LoadReport>, StatusCode> {
    standin.admit().await?;
    let engine = standin.lock();
    let latest_allowed = Instant::now() - engine.fault.load_lag_ms.as_std();
    let found = engine
        .reports
        .iter()
        .rev()
        .find(|(at, _)| *at <= latest_allowed);
    let Some((at, report)) = found.or(engine.reports.front()) else {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    };
    let age_ms = DurationMs(at.elapsed().as_millis() as u64);
    Ok(Json(LoadReport { age_ms, ..*report }))
}

async fn cache_events(
    State(standin): State<EngineStandin>,
    Json(body): Json<CacheEventsBody>,
) -> Result<Json<Vec<CacheEvent>>, StatusCode> {
    standin.admit().await?;
    let mut engine = standin.lock();
    let mut events = engine.model.cache_events_after(body.sequence);
    let lost = events.len().min(engine.fault.lose_cache_events as usize);
    engine.fault.lose_cache_events -= lost as u32;
    events.drain(..lost);
    Ok(Json(events))
}

async fn order(
    State(standin): State<EngineStandin>,
    Json(order): Json<FencedOrder>,
) -> Result<Json<OrderReply>, StatusCode> {
    standin.admit().await?;
    let mut engine = standin.lock();
    let is_outdated = order.fence < engine.highest_fence;
    if standin.settings.checks_fence && is_outdated {
        return Ok(Json(OrderReply::Fenced));
    }
    if order.generation < engine.highest_generation {
        return Ok(Json(OrderReply::Fenced));
    }
    engine.highest_fence = engine.highest_fence.max(order.fence);
    engine.highest_generation = order.generation;
    engine.orders.push(order);
    Ok(Json(OrderReply::Done))
}

async fn read_orders(State(standin): State<EngineStandin>) -> Json<Vec<FencedOrder>> {
    Json(standin.orders())
}

async fn set_fault(State(standin): State<EngineStandin>, Json(fault): Json<StandinFault>) {
    standin.set_fault(fault);
}

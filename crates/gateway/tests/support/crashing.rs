//! Engines of one service that crash when they run a certain request, and restart under new ids.

use super::endpoint::{Action, Endpoint, ReceivedRequest, answer, event, last_chunk, stream_head};
use super::source::ScriptedSource;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The body of the request that crashes every engine that runs it.
pub const CRASHING_BODY: &str = "a prompt that no engine survives";
/// How long a restart takes.
const RESTART_TIME: Duration = Duration::from_millis(150);

/// The part of prompts that crashes every engine that runs a request with it.
pub const CRASHING_PART: &str = "bad";

/// What crashes the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Requests with the body [`CRASHING_BODY`], at plain endpoints.
    Body,
    /// Requests with the part [`CRASHING_PART`] in their prompts, at endpoints that answer with
    /// streams.
    Part,
}

impl Cause {
    fn service(self) -> &'static str {
        match self {
            Self::Body => "plain",
            Self::Part => "model",
        }
    }

    /// Returns whether a request crashes the engine.
    fn is_in(self, request: &ReceivedRequest) -> bool {
        match self {
            Self::Body => request.body == CRASHING_BODY.as_bytes(),
            Self::Part => has_part(request, CRASHING_PART),
        }
    }
}

fn has_part(request: &ReceivedRequest, part: &str) -> bool {
    let parts = request.header("x-parts").unwrap_or_default();
    parts
        .split(',')
        .any(|each| each.split(':').next() == Some(part))
}

/// Engines of one service; clones share one state.
#[derive(Clone)]
pub struct CrashingEngines {
    source: ScriptedSource,
    cause: Cause,
    /// How long a request runs before it is answered or crashes the engine.
    run_time: Duration,
    started: Arc<Mutex<Vec<Endpoint>>>,
}

impl CrashingEngines {
    /// Starts `count` engines that crash by a body, each of which runs a request for `run_time`.
    pub async fn start(source: &ScriptedSource, count: usize, run_time: Duration) -> Self {
        Self::start_with(Cause::Body, source, count, run_time).await
    }

    /// Starts `count` engines that crash by a part of prompts.
    pub async fn start_for_part(source: &ScriptedSource, count: usize, run_time: Duration) -> Self {
        Self::start_with(Cause::Part, source, count, run_time).await
    }

    async fn start_with(
        cause: Cause,
        source: &ScriptedSource,
        count: usize,
        run_time: Duration,
    ) -> Self {
        let engines = Self {
            source: source.clone(),
            cause,
            run_time,
            started: Arc::default(),
        };
        for _ in 0..count {
            let (id, endpoint) = engines.start_one().await;
            tokio::spawn(engines.clone().restart_after_crashes(id, endpoint));
        }
        engines
    }

    async fn start_one(&self) -> (String, Endpoint) {
        let run_time = self.run_time;
        let cause = self.cause;
        let script = move |_, seen: &ReceivedRequest| actions(cause, run_time, seen);
        let endpoint = Endpoint::start_by_request(script).await;
        let id = {
            let mut started = self.started.lock().unwrap();
            started.push(endpoint.clone());
            format!("e-{}", started.len())
        };
        let service = self.cause.service();
        self.source.publish_endpoint(&id, service, endpoint.address);
        (id, endpoint)
    }

    /// Restarts an engine after each crash, under a new id.
    async fn restart_after_crashes(self, mut id: String, mut endpoint: Endpoint) {
        loop {
            endpoint.crashed.cancelled().await;
            tokio::time::sleep(RESTART_TIME).await;
            self.source.remove_endpoint(&id);
            (id, endpoint) = self.start_one().await;
        }
    }

    /// Returns the number of crashes.
    pub fn crashed(&self) -> usize {
        let started = self.started.lock().unwrap();
        let crashed = started
            .iter()
            .filter(|engine| engine.crashed.is_cancelled());
        crashed.count()
    }

    /// Returns the number of requests with this body that engines have received.
    pub fn received(&self, body: &str) -> usize {
        self.count_received(|request| request.body == body.as_bytes())
    }

    /// Returns the number of requests with this part that engines have received.
    pub fn received_with_part(&self, part: &str) -> usize {
        self.count_received(|request| has_part(request, part))
    }

    fn count_received(&self, is_counted: impl Fn(&ReceivedRequest) -> bool) -> usize {
        let started = self.started.lock().unwrap();
        let received = |engine: &Endpoint| {
            let requests = engine.received.lock().unwrap();
            requests
                .iter()
                .filter(|request| is_counted(request))
                .count()
        };
        started.iter().map(received).sum()
    }
}

fn actions(cause: Cause, run_time: Duration, request: &ReceivedRequest) -> Vec<Action> {
    match (cause, cause.is_in(request)) {
        (Cause::Body, true) => vec![Action::Wait(run_time), Action::Crash],
        (Cause::Body, false) => vec![Action::Wait(run_time), answer("200 OK", "fine")],
        // It crashes when it begins to write an answer, after the head.
        (Cause::Part, true) => vec![stream_head(), Action::Wait(run_time), Action::Crash],
        (Cause::Part, false) => vec![
            stream_head(),
            Action::Wait(run_time),
            event(1),
            Action::Wait(run_time),
            event(2),
            last_chunk(),
        ],
    }
}
